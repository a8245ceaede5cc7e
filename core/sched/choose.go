package sched

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/block"
	"curlewsill.org/curlewsill/core/config"
	"curlewsill.org/curlewsill/core/gang"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/place"
	"curlewsill.org/curlewsill/core/record"
	"curlewsill.org/curlewsill/core/unit"
)

// seat is one way to give a job a place within a guarantee.
type seat struct {
	cell  record.Cell
	home  block.Block
	block block.Block
	// cost is the number of accelerators to be taken from borrowers that are not
	// stopping yet; clear is set if nobody holds any of them.
	cost  int
	clear bool
	// opens is set if the cell was not in use before; waste is how much of the
	// cell the job leaves over.
	opens bool
	waste int
}

// tryGuaranteed starts the job within a guarantee of its customer, or stops the
// borrowers that are in its way. It reports whether the job needs no other place.
func (s *Scheduler) tryGuaranteed(now unit.Instant, f *floor, j record.Job) bool {
	best, ok := s.bestSeat(f, j)
	if !ok {
		return false
	}
	if best.clear {
		s.start(now, f, j, best.block, best.cell, best.home)
		return true
	}
	s.preempt(now, best.block, "the guarantee of customer "+string(j.Customer)+" is reclaimed")
	// The place is kept for the job until the borrowers have stopped.
	f.busy[best.block.Rack] |= best.block.Mask()
	f.firm[best.home.Rack] |= best.home.Mask()
	f.homes[best.cell] = best.home
	return true
}

func (s *Scheduler) bestSeat(f *floor, j record.Job) (seat, bool) {
	var best seat
	found := false
	for _, k := range config.Sorted(s.state.Config.Guarantees) {
		g := s.state.Config.Guarantees[k]
		if g.Customer != j.Customer || g.Size < j.Accelerators {
			continue
		}
		for i := range g.Count {
			st, ok := s.seatIn(f, j, record.Cell{Guarantee: k, Index: i}, g.Size)
			if ok && (!found || st.before(best)) {
				best, found = st, true
			}
		}
	}
	return best, found
}

// before orders seats: those in cells already in use, then those that waste least,
// then those that take least from borrowers.
func (a seat) before(b seat) bool {
	if a.opens != b.opens {
		return !a.opens
	}
	return cmp.Or(cmp.Compare(a.waste, b.waste), cmp.Compare(a.cost, b.cost)) < 0
}

// seatIn looks for a place for the job in one cell.
func (s *Scheduler) seatIn(f *floor, j record.Job, cell record.Cell, size int) (seat, bool) {
	home, used := f.homes[cell]
	if !used {
		spare, ok := f.spare[cell]
		if !ok {
			return seat{}, false
		}
		home = s.cheapestHome(f, cell, spare)
	}
	free := f.live[home.Rack] & home.Mask() & s.fits(s.state.Config.Racks[home.Rack], j)
	for _, r := range s.gangs {
		// Gangs of the cell itself, and those that must not be repeated, stay.
		if r.Block.Rack == home.Rack && (r.Cell.Guarantee != "" || r.Job.Once) {
			free &^= r.Block.Mask()
		}
	}
	b, cost, ok := cheapestStart(free, f.staying(home.Rack), home.Rack, j.Accelerators)
	return seat{
		cell: cell, home: home, block: b, cost: cost, clear: b.Mask()&f.busy[b.Rack] == 0,
		opens: !used, waste: size - j.Accelerators,
	}, ok
}

// cheapestHome returns where a cell that is not in use would take least from
// borrowers, without leaving another cell without a place. The place that the
// witness has for it always qualifies.
func (s *Scheduler) cheapestHome(f *floor, cell record.Cell, spare block.Block) block.Block {
	taken := map[id.Rack]uint64{}
	for c, b := range f.spare {
		if c != cell {
			taken[b.Rack] |= b.Mask()
		}
	}
	best, lowest := spare, bits.OnesCount64(spare.Mask()&f.staying(spare.Rack))
	for _, k := range f.racks {
		free := f.live[k] &^ f.firm[k] &^ taken[k]
		b, cost, ok := cheapestStart(free, f.staying(k), k, spare.Size)
		if ok && cost < lowest {
			best, lowest = b, cost
		}
	}
	return best
}

// cheapestStart returns the run of size bits within free that overlaps busy least;
// of equals, one that starts at a multiple of the size.
func cheapestStart(free, busy uint64, rack id.Rack, size int) (block.Block, int, bool) {
	best, lowest, found := block.Block{}, 0, false
	for starts := block.Starts(free, size); starts != 0; starts &= starts - 1 {
		at := bits.TrailingZeros64(starts)
		cost := 2 * bits.OnesCount64(block.Run(at, size)&busy)
		if at%size != 0 {
			cost++
		}
		if !found || cost < lowest {
			best, lowest, found = block.Block{Rack: rack, Start: at, Size: size}, cost, true
		}
	}
	return best, lowest / 2, found
}

// tryBorrow starts the job on capacity that nobody uses now.
func (s *Scheduler) tryBorrow(now unit.Instant, f *floor, j record.Job) bool {
	avoid := f.guarded()
	var except uint64
	if f.reserved.Size > 0 && s.expected(j.Customer, j.Declared) > f.until {
		except = f.reserved.Mask()
	}
	rooms := s.rooms(f, j, except, avoid)
	choose := s.policy.Choose
	if j.Once {
		choose = func(r []place.Room, size int) (block.Block, bool) { return s.chooseFirm(f, r, size) }
	}
	b, ok := choose(rooms, j.Accelerators)
	if ok {
		s.start(now, f, j, b, record.Cell{}, block.Block{})
	}
	return ok
}

// chooseFirm chooses a block for a gang that can't be stopped: clear of every
// guarantee's place, or else where the places in its way can be had elsewhere.
func (s *Scheduler) chooseFirm(f *floor, rooms []place.Room, size int) (block.Block, bool) {
	clear := slices.Clone(rooms)
	for i := range clear {
		clear[i].Free &^= clear[i].Avoid
	}
	if b, ok := s.policy.Choose(clear, size); ok {
		return b, true
	}
	for i := range rooms {
		b, ok := s.policy.Choose(rooms[i:i+1], size)
		if !ok {
			continue
		}
		was := f.firm[b.Rack]
		f.firm[b.Rack] |= b.Mask()
		spare, err := f.find(s.state.Config, f.spare, func(k id.Rack) uint64 { return f.live[k] })
		f.firm[b.Rack] = was
		if err == nil {
			f.spare = spare
			return b, true
		}
	}
	return block.Block{}, false
}

// guarded returns the places of all guaranteed blocks, in use or not.
func (f *floor) guarded() map[id.Rack]uint64 {
	out := map[id.Rack]uint64{}
	for _, b := range f.spare {
		out[b.Rack] |= b.Mask()
	}
	for _, b := range f.homes {
		out[b.Rack] |= b.Mask()
	}
	return out
}

// preempt stops the borrowers that overlap a block.
func (s *Scheduler) preempt(now unit.Instant, b block.Block, reason string) {
	for _, name := range config.Sorted(s.gangs) {
		r := s.gangs[name]
		if r.Cell.Guarantee != "" || r.Job.Once || !r.Block.Overlaps(b) {
			continue
		}
		if r.State == gang.Stopping || r.State == gang.Released {
			continue
		}
		r.End(now, gang.Cancel, record.Requeued, reason)
		s.stats.Preempted++
		s.dirty = true
		s.wake(r)
	}
}

// makeRoom stops borrowers for an urgent job, as few accelerators as it can.
func (s *Scheduler) makeRoom(now unit.Instant, f *floor, j record.Job) bool {
	var best block.Block
	lowest, found := 0, false
	for _, k := range f.racks {
		free := f.live[k] &^ f.firm[k] & s.fits(s.state.Config.Racks[k], j)
		for _, r := range s.gangs {
			if r.Block.Rack == k && r.Job.Urgent {
				free &^= r.Block.Mask()
			}
		}
		b, cost, ok := cheapestStart(free, f.staying(k), k, j.Accelerators)
		if ok && (!found || cost < lowest) {
			best, lowest, found = b, cost, true
		}
	}
	if !found {
		return false
	}
	if best.Mask()&f.busy[best.Rack] == 0 {
		return false
	}
	s.preempt(now, best, "an urgent job needs the room")
	f.busy[best.Rack] |= best.Mask()
	return true
}

// reserve keeps a block for the oldest job that found no room: the one that is
// expected to be free first.
func (s *Scheduler) reserve(now unit.Instant, f *floor, j record.Job) {
	if f.reserved.Size > 0 {
		return
	}
	first := time.Duration(-1)
	for _, k := range f.racks {
		frees := s.frees(now, k)
		room := f.live[k] & s.fits(s.state.Config.Racks[k], j)
		for starts := block.Starts(room, j.Accelerators); starts != 0; starts &= starts - 1 {
			at := bits.TrailingZeros64(starts)
			wait := slices.Max(frees[at : at+j.Accelerators])
			if first < 0 || wait < first {
				first = wait
				f.reserved = block.Block{Rack: k, Start: at, Size: j.Accelerators}
			}
		}
	}
	f.until = first
}

// frees returns for each accelerator of a rack how long it is expected to be busy.
func (s *Scheduler) frees(now unit.Instant, k id.Rack) [block.MaxSize]time.Duration {
	var out [block.MaxSize]time.Duration
	for _, r := range s.gangs {
		if r.Block.Rack != k {
			continue
		}
		left := s.remaining(now, r)
		for i := range r.Block.Size {
			out[r.Block.Start+i] = max(out[r.Block.Start+i], left)
		}
	}
	return out
}
