package sched

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/block"
	"curlewsill.org/curlewsill/core/config"
	"curlewsill.org/curlewsill/core/gang"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/inventory"
	"curlewsill.org/curlewsill/core/place"
	"curlewsill.org/curlewsill/core/record"
	"curlewsill.org/curlewsill/core/unit"
)

// option is one possible placement of a job within a cell of a guarantee.
type option struct {
	cell record.Cell
	// home is the block of the cell, and block the part of it for the job.
	home  block.Block
	block block.Block
	// cost is the work that borrowers would lose. vacant is set if the
	// accelerators of block are free: no gang holds any of them, and none is
	// set aside.
	cost   int
	vacant bool
	// newCell is set if the cell is not in use yet; waste is the number of the
	// cell's accelerators that the job leaves unused.
	newCell bool
	waste   int
}

// before orders options: first those in cells already in use, then those with the
// least waste, then those with the least cost to borrowers.
func (a option) before(b option) bool {
	if a.newCell != b.newCell {
		return !a.newCell
	}
	return cmp.Or(cmp.Compare(a.waste, b.waste), cmp.Compare(a.cost, b.cost)) < 0
}

// tryGuaranteed starts the job within a guarantee of its customer. If borrowers
// occupy the chosen block, it preempts them and sets the block aside, which means
// that inventory.Reserve keeps other jobs off it for the rest of the pass.
func (s *Scheduler) tryGuaranteed(now unit.Instant, j record.Job) tryResult {
	best, ok := s.bestOption(now, j)
	if !ok {
		return noRoom
	}
	if best.vacant {
		s.startGang(now, j, best.block, best.cell, best.home)
		s.inventory.Refresh(s.state.Config, s.state.Witness)
		return started
	}
	s.preempt(now, best.block, "the guarantee of customer "+string(j.Customer)+" is reclaimed")
	s.inventory.Reserve(best.block, best.cell, best.home)
	return preempting
}

func (s *Scheduler) bestOption(now unit.Instant, j record.Job) (option, bool) {
	var best option
	found := false
	for _, g := range s.guarantees[j.Customer] {
		if g.Size < j.Accelerators {
			continue
		}
		unusedFound := false
		for i := range g.Count {
			cell := record.Cell{Guarantee: g.ID, Index: i}
			_, used := s.inventory.Home(cell)
			if !used && unusedFound {
				// The unused cells of a guarantee give equal options, so trying one
				// of them is enough.
				continue
			}
			o, ok := s.optionIn(now, j, cell, g.Size)
			unusedFound = unusedFound || !used && ok
			if ok && (!found || o.before(best)) {
				best, found = o, true
			}
		}
	}
	return best, found
}

// optionIn returns the cheapest placement of the job in one cell, and whether
// there is any.
func (s *Scheduler) optionIn(now unit.Instant, j record.Job, cell record.Cell, size int) (option, bool) {
	home, used := s.inventory.Home(cell)
	if !used {
		planned, ok := s.inventory.UnusedCellPlace(cell)
		if !ok {
			return option{}, false
		}
		home = s.cheapestHome(now, planned)
	}
	r := s.inventory.Rack(home.Rack)
	if r == nil {
		return option{}, false
	}
	free := r.Live & home.Mask() &^ r.NonPreemptible & s.usableFor(r, j)
	b, cost, ok := s.cheapestStart(now, free, r, j.Accelerators)
	return option{
		cell: cell, home: home, block: b, cost: cost, vacant: b.Mask()&r.Taken() == 0,
		newCell: !used, waste: size - j.Accelerators,
	}, ok
}

// cheapestHome returns the block for a cell that is not in use at which borrowers
// lose the least work, without moving the block of any other cell. The block
// currently planned for the cell always qualifies.
func (s *Scheduler) cheapestHome(now unit.Instant, planned block.Block) block.Block {
	best, lowest := planned, math.MaxInt
	for i := range s.inventory.Racks {
		r := &s.inventory.Racks[i]
		guarded := r.Guarded()
		if r.ID == planned.Rack {
			guarded &^= planned.Mask()
		}
		b, cost, ok := s.cheapestStart(now, r.Live&^guarded, r, planned.Size)
		if ok && cost < lowest {
			best, lowest = b, cost
		}
	}
	return best
}

// cheapestStart returns the run of size bits within free at which borrowers lose
// the least work. Among equals, it prefers a start that is a multiple of size.
func (s *Scheduler) cheapestStart(now unit.Instant, free uint64, r *inventory.Rack, size int) (block.Block, int, bool) {
	best, lowest, found := block.Block{}, 0, false
	starts := block.Starts(free, size)
	if starts == 0 {
		return best, 0, false
	}
	sums := s.costSumsOf(now, r)
	for ; starts != 0; starts &= starts - 1 {
		at := bits.TrailingZeros64(starts)
		// The work counts twice so that alignment decides only among equals.
		cost := 2 * (sums[at+size] - sums[at])
		if at%size != 0 {
			cost++
		}
		if !found || cost < lowest {
			best, lowest, found = block.Block{Rack: r.ID, Start: at, Size: size}, cost, true
		}
	}
	return best, lowest, found
}

// costSums has at index i the work that would be lost if the gangs on the
// accelerators before i were stopped, in accelerator-minutes. An accelerator
// that is held or set aside counts at least 1. An accelerator that is free, or
// whose gang is stopping already, counts 0 unless it is set aside.
type costSums [block.MaxSize + 1]int

// costSumsOf returns the preemption costs of a rack. It caches them until the
// next pass. It also recomputes them when r.Staying changes, which is the set
// of accelerators that are set aside or held by gangs that aren't stopping.
func (s *Scheduler) costSumsOf(now unit.Instant, r *inventory.Rack) *costSums {
	if p := s.preemptCosts[r.ID]; p != nil && p.staying == r.Staying() {
		return &p.costSums
	}
	var perAccelerator [block.MaxSize]int
	for i := range perAccelerator {
		perAccelerator[i] = int(r.Staying() >> i & 1)
	}
	for _, g := range s.gangsInRack(r.ID) {
		for i := range g.Block.Size {
			at := g.Block.Start + i
			perAccelerator[at] *= 1 + int(now.Sub(g.startedAt)/time.Minute)
		}
	}
	p := &rackCosts{staying: r.Staying()}
	for i, x := range perAccelerator {
		p.costSums[i+1] = p.costSums[i] + x
	}
	s.preemptCosts[r.ID] = p
	return &p.costSums
}

// rackCosts has the preemption costs of a rack and the value of Rack.Staying for
// which they were computed.
type rackCosts struct {
	costSums
	staying uint64
}

// tryBorrow starts the job on accelerators that no gang holds and that are not
// set aside. It may use the block s.reserved only if this block is reserved for
// the job, or if the job is expected to end before the block is free.
func (s *Scheduler) tryBorrow(now unit.Instant, j record.Job) bool {
	var excluded uint64
	if s.reserved.Size > 0 && s.reservedFor != j.ID && s.expectedRunTime(j.Customer, j.Declared) > s.reservedFreeIn {
		excluded = s.reserved.Mask()
	}
	spaces := make([]place.RackSpace, 0, len(s.inventory.Racks))
	for i := range s.inventory.Racks {
		r := &s.inventory.Racks[i]
		free := r.Live &^ r.Taken() & s.usableFor(r, j)
		if r.ID == s.reserved.Rack {
			free &^= excluded
		}
		if free != 0 {
			spaces = append(spaces, place.RackSpace{Rack: r.ID, Free: free, Avoid: r.Guarded()})
		}
	}
	choose := s.policy.Choose
	if j.AtMostOnce {
		choose = s.chooseForNonPreemptible
	}
	b, ok := choose(spaces, j.Accelerators, s.demand)
	if ok {
		s.startGang(now, j, b, record.Cell{}, block.Block{})
	}
	return ok
}

// chooseForNonPreemptible chooses a block for a gang that can't be preempted.
// It prefers a block that overlaps no place of a guarantee. If there is none,
// it takes a block that overlaps only places of unused cells, provided that
// these places can be moved elsewhere.
func (s *Scheduler) chooseForNonPreemptible(spaces []place.RackSpace, size int, demand []int) (block.Block, bool) {
	unguarded := slices.Clone(spaces)
	for i := range unguarded {
		unguarded[i].Free &^= unguarded[i].Avoid
	}
	if b, ok := s.policy.Choose(unguarded, size, demand); ok {
		return b, true
	}
	for i := range spaces {
		single := spaces[i : i+1]
		// The blocks of cells in use can't be moved.
		single[0].Free &^= s.inventory.Rack(single[0].Rack).Firm
		if b, ok := s.policy.Choose(single, size, demand); ok && s.inventory.FitsGuarantees(s.state.Config, b) {
			return b, true
		}
	}
	return block.Block{}, false
}

// preempt stops the gangs that overlap a block and can be preempted.
func (s *Scheduler) preempt(now unit.Instant, b block.Block, reason string) {
	for _, jobID := range config.SortedKeys(s.gangsInRack(b.Rack)) {
		r := s.gangs[jobID]
		if r.Cell.Guarantee != "" || r.Job.AtMostOnce || !r.Block.Overlaps(b) {
			continue
		}
		if r.State == gang.Stopping || r.State == gang.Released {
			continue
		}
		s.stopGang(now, r, gang.Cancel, record.Requeued, reason)
		s.stats.Preempted++
		s.dirty = true
	}
}

// gangsInRack returns the gangs that have a member in rack k.
func (s *Scheduler) gangsInRack(k id.Rack) map[id.Job]*run {
	out := map[id.Job]*run{}
	for _, w := range s.state.Config.Racks[k].Workers {
		for jobID, r := range s.runsOn[w.ID] {
			out[jobID] = r
		}
	}
	return out
}

// preemptForUrgent chooses the block for an urgent job on which the least work is
// lost, preempts the gangs on it, and sets it aside. It spares the blocks of
// guarantees in use, gangs that must not be repeated, and urgent gangs. It reports
// false if there is no such block or if the cheapest one is free already.
func (s *Scheduler) preemptForUrgent(now unit.Instant, j record.Job) bool {
	var best block.Block
	var rack *inventory.Rack
	lowest := math.MaxInt
	for i := range s.inventory.Racks {
		r := &s.inventory.Racks[i]
		free := r.Live &^ r.Firm &^ r.Urgent & s.usableFor(r, j)
		b, cost, ok := s.cheapestStart(now, free, r, j.Accelerators)
		if ok && cost < lowest {
			best, lowest, rack = b, cost, r
		}
	}
	if rack == nil || best.Mask()&rack.Taken() == 0 {
		return false
	}
	s.preempt(now, best, "an urgent job needs the room")
	s.inventory.Reserve(best, record.Cell{}, block.Block{})
	return true
}

// reserve reserves for the job the block that is expected to be free first,
// unless a block is reserved already.
func (s *Scheduler) reserve(now unit.Instant, j record.Job) {
	if s.reserved.Size > 0 {
		return
	}
	shortest := time.Duration(-1)
	for i := range s.inventory.Racks {
		r := &s.inventory.Racks[i]
		usable := r.Live & s.usableFor(r, j)
		starts := block.Starts(usable, j.Accelerators)
		if starts == 0 {
			continue
		}
		busy := s.busyFor(now, r.ID)
		for ; starts != 0; starts &= starts - 1 {
			at := bits.TrailingZeros64(starts)
			wait := slices.Max(busy[at : at+j.Accelerators])
			if shortest < 0 || wait < shortest {
				shortest = wait
				s.reserved = block.Block{Rack: r.ID, Start: at, Size: j.Accelerators}
			}
		}
	}
	if shortest >= 0 {
		s.reservedFreeIn, s.reservedFor = shortest, j.ID
	}
}

// busyFor returns, for each accelerator of a rack, how much longer it is expected
// to be held.
func (s *Scheduler) busyFor(now unit.Instant, k id.Rack) [block.MaxSize]time.Duration {
	var out [block.MaxSize]time.Duration
	for _, r := range s.gangsInRack(k) {
		left := s.remainingRunTime(now, r)
		for i := range r.Block.Size {
			out[r.Block.Start+i] = max(out[r.Block.Start+i], left)
		}
	}
	return out
}
