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

// option is one way to give a job a place within a guarantee.
type option struct {
	cell  record.Cell
	home  block.Block
	block block.Block
	// cost is the work that borrowers would lose; clear is set if nobody holds any
	// of the accelerators.
	cost  int
	clear bool
	// opens is set if the cell was not in use before; waste is how much of the
	// cell the job leaves over.
	opens bool
	waste int
}

// before orders options: those in cells already in use, then those that waste least,
// then those that take least from borrowers.
func (a option) before(b option) bool {
	if a.opens != b.opens {
		return !a.opens
	}
	return cmp.Or(cmp.Compare(a.waste, b.waste), cmp.Compare(a.cost, b.cost)) < 0
}

// tryGuaranteed starts the job within a guarantee of its customer. If borrowers are in
// its way, it stops them and keeps the place.
func (s *Scheduler) tryGuaranteed(now unit.Instant, j record.Job) outcome {
	best, ok := s.bestOption(now, j)
	if !ok {
		return noRoom
	}
	if best.clear {
		s.start(now, j, best.block, best.cell, best.home)
		s.inventory.Refresh(s.state.Config, s.state.Spare)
		return started
	}
	s.preempt(now, best.block, "the guarantee of customer "+string(j.Customer)+" is reclaimed")
	s.inventory.Keep(best.block, best.cell, best.home)
	return waits
}

func (s *Scheduler) bestOption(now unit.Instant, j record.Job) (option, bool) {
	var best option
	found := false
	for _, g := range s.cells[j.Customer] {
		if g.Size < j.Accelerators {
			continue
		}
		fresh := false
		for i := range g.Count {
			cell := record.Cell{Guarantee: g.ID, Index: i}
			_, used := s.inventory.Home(cell)
			if !used && fresh {
				// The cells that are not in use are all alike.
				continue
			}
			st, ok := s.optionIn(now, j, cell, g.Size)
			fresh = fresh || !used && ok
			if ok && (!found || st.before(best)) {
				best, found = st, true
			}
		}
	}
	return best, found
}

// optionIn looks for a place for the job in one cell.
func (s *Scheduler) optionIn(now unit.Instant, j record.Job, cell record.Cell, size int) (option, bool) {
	home, used := s.inventory.Home(cell)
	if !used {
		spare, ok := s.inventory.Spare(cell)
		if !ok {
			return option{}, false
		}
		home = s.cheapestHome(now, spare)
	}
	r := s.inventory.Rack(home.Rack)
	if r == nil {
		return option{}, false
	}
	free := r.Live & home.Mask() &^ r.Pinned & s.fits(r, j)
	b, cost, ok := s.cheapestStart(now, free, r, j.Accelerators)
	return option{
		cell: cell, home: home, block: b, cost: cost, clear: b.Mask()&r.Taken() == 0,
		opens: !used, waste: size - j.Accelerators,
	}, ok
}

// cheapestHome returns where a cell that is not in use would take least from
// borrowers, without moving the place of another cell. Its own place always
// qualifies.
func (s *Scheduler) cheapestHome(now unit.Instant, spare block.Block) block.Block {
	best, lowest := spare, math.MaxInt
	for i := range s.inventory.Racks {
		r := &s.inventory.Racks[i]
		guarded := r.Guarded()
		if r.ID == spare.Rack {
			guarded &^= spare.Mask()
		}
		b, cost, ok := s.cheapestStart(now, r.Live&^guarded, r, spare.Size)
		if ok && cost < lowest {
			best, lowest = b, cost
		}
	}
	return best
}

// cheapestStart returns the run of size bits within free whose borrowers would lose the
// least work; of equals, one that starts at a multiple of the size.
func (s *Scheduler) cheapestStart(now unit.Instant, free uint64, r *inventory.Rack, size int) (block.Block, int, bool) {
	best, lowest, found := block.Block{}, 0, false
	starts := block.Starts(free, size)
	if starts == 0 {
		return best, 0, false
	}
	prices := s.pricesOf(now, r)
	for ; starts != 0; starts &= starts - 1 {
		at := bits.TrailingZeros64(starts)
		cost := 2 * (prices[at+size] - prices[at])
		if at%size != 0 {
			cost++
		}
		if !found || cost < lowest {
			best, lowest, found = block.Block{Rack: r.ID, Start: at, Size: size}, cost, true
		}
	}
	return best, lowest, found
}

// prices has at i the work that would be lost if the gangs on the accelerators before i
// were stopped, in accelerator-minutes.
type prices [block.MaxSize + 1]int

// pricesOf returns the prices of a rack, which are kept for one pass.
func (s *Scheduler) pricesOf(now unit.Instant, r *inventory.Rack) *prices {
	if p := s.prices[r.ID]; p != nil && p.staying == r.Staying() {
		return &p.prices
	}
	var each [block.MaxSize]int
	for i := range each {
		each[i] = int(r.Staying() >> i & 1)
	}
	for _, g := range s.inRack(r.ID) {
		for i := range g.Block.Size {
			at := g.Block.Start + i
			each[at] *= 1 + int(now.Sub(g.began)/time.Minute)
		}
	}
	p := &priced{staying: r.Staying()}
	for i, x := range each {
		p.prices[i+1] = p.prices[i] + x
	}
	s.prices[r.ID] = p
	return &p.prices
}

// priced is the prices of a rack with what they were computed for.
type priced struct {
	prices
	staying uint64
}

// tryBorrow starts the job on capacity that nobody uses now.
func (s *Scheduler) tryBorrow(now unit.Instant, j record.Job) bool {
	var except uint64
	if s.reserved.Size > 0 && s.reservedFor != j.ID && s.expected(j.Customer, j.Declared) > s.until {
		except = s.reserved.Mask()
	}
	rooms := make([]place.Room, 0, len(s.inventory.Racks))
	for i := range s.inventory.Racks {
		r := &s.inventory.Racks[i]
		free := r.Live &^ r.Taken() & s.fits(r, j)
		if r.ID == s.reserved.Rack {
			free &^= except
		}
		if free != 0 {
			rooms = append(rooms, place.Room{Rack: r.ID, Free: free, Avoid: r.Guarded()})
		}
	}
	choose := s.policy.Choose
	if j.Once {
		choose = s.chooseFirm
	}
	b, ok := choose(rooms, j.Accelerators, s.demand)
	if ok {
		s.start(now, j, b, record.Cell{}, block.Block{})
	}
	return ok
}

// chooseFirm chooses a block for a gang that can't be stopped: clear of every
// guarantee's place, or else where the places in its way can be had elsewhere.
func (s *Scheduler) chooseFirm(rooms []place.Room, size int, demand []int) (block.Block, bool) {
	apart := slices.Clone(rooms)
	for i := range apart {
		apart[i].Free &^= apart[i].Avoid
	}
	if b, ok := s.policy.Choose(apart, size, demand); ok {
		return b, true
	}
	for i := range rooms {
		room := rooms[i : i+1]
		// Homes in use can't be moved.
		room[0].Free &^= s.inventory.Rack(room[0].Rack).Firm
		if b, ok := s.policy.Choose(room, size, demand); ok && s.inventory.Clears(s.state.Config, b) {
			return b, true
		}
	}
	return block.Block{}, false
}

// preempt stops the borrowers that overlap a block.
func (s *Scheduler) preempt(now unit.Instant, b block.Block, reason string) {
	for _, name := range config.Sorted(s.inRack(b.Rack)) {
		r := s.gangs[name]
		if r.Cell.Guarantee != "" || r.Job.Once || !r.Block.Overlaps(b) {
			continue
		}
		if r.State == gang.Stopping || r.State == gang.Released {
			continue
		}
		s.end(now, r, gang.Cancel, record.Requeued, reason)
		s.stats.Preempted++
		s.dirty = true
	}
}

// inRack returns the gangs of one rack.
func (s *Scheduler) inRack(k id.Rack) map[id.Job]*run {
	out := map[id.Job]*run{}
	for _, w := range s.state.Config.Racks[k].Workers {
		for name, r := range s.tasks[w.ID] {
			out[name] = r
		}
	}
	return out
}

// makeRoom stops borrowers for an urgent job, as few accelerators as it can.
func (s *Scheduler) makeRoom(now unit.Instant, j record.Job) bool {
	var best block.Block
	var rack *inventory.Rack
	lowest := math.MaxInt
	for i := range s.inventory.Racks {
		r := &s.inventory.Racks[i]
		free := r.Live &^ r.Firm &^ r.Urgent & s.fits(r, j)
		b, cost, ok := s.cheapestStart(now, free, r, j.Accelerators)
		if ok && cost < lowest {
			best, lowest, rack = b, cost, r
		}
	}
	if rack == nil || best.Mask()&rack.Taken() == 0 {
		return false
	}
	s.preempt(now, best, "an urgent job needs the room")
	s.inventory.Keep(best, record.Cell{}, block.Block{})
	return true
}

// reserve keeps a block for the oldest job that found no room: the one that is
// expected to be free first.
func (s *Scheduler) reserve(now unit.Instant, j record.Job) {
	if s.reserved.Size > 0 {
		return
	}
	first := time.Duration(-1)
	for i := range s.inventory.Racks {
		r := &s.inventory.Racks[i]
		room := r.Live & s.fits(r, j)
		starts := block.Starts(room, j.Accelerators)
		if starts == 0 {
			continue
		}
		frees := s.frees(now, r.ID)
		for ; starts != 0; starts &= starts - 1 {
			at := bits.TrailingZeros64(starts)
			wait := slices.Max(frees[at : at+j.Accelerators])
			if first < 0 || wait < first {
				first = wait
				s.reserved = block.Block{Rack: r.ID, Start: at, Size: j.Accelerators}
			}
		}
	}
	if first >= 0 {
		s.until, s.reservedFor = first, j.ID
	}
}

// frees returns for each accelerator of a rack how long it is expected to be busy.
func (s *Scheduler) frees(now unit.Instant, k id.Rack) [block.MaxSize]time.Duration {
	var out [block.MaxSize]time.Duration
	for _, r := range s.inRack(k) {
		left := s.remaining(now, r)
		for i := range r.Block.Size {
			out[r.Block.Start+i] = max(out[r.Block.Start+i], left)
		}
	}
	return out
}
