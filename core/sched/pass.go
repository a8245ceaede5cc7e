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
	"curlewsill.org/curlewsill/core/state"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/core/witness"
)

// floor is what a pass knows of the accelerators. It is made once for each pass and
// kept up to date as the pass places gangs.
type floor struct {
	// racks is in ascending order.
	racks []id.Rack
	// live has the accelerators that exist, are not drained and answer.
	live map[id.Rack]uint64
	// busy has those held by any gang that was not released.
	busy map[id.Rack]uint64
	// leaving has those of busy whose gang is stopping.
	leaving map[id.Rack]uint64
	// firm has those that can't be taken back: homes of cells in use, and gangs
	// that must not be repeated.
	firm map[id.Rack]uint64
	// homes has the place of each cell in use.
	homes map[record.Cell]block.Block
	// spare is a place for each cell that is not in use.
	spare witness.Witness
	// held counts the accelerators that each customer's gangs hold.
	held map[id.Customer]int
	// reserved is the block kept for the oldest job without room, and until when
	// others may use it.
	reserved block.Block
	until    time.Duration
}

// pass walks the queue once.
func (s *Scheduler) pass(now unit.Instant) {
	f := s.survey(now)
	jobs := s.queue(f)
	s.stats.Pending = len(jobs)
	// Guarantees go first: a borrower that was stopped for one would otherwise be
	// the first to take the room again.
	var rest []record.Job
	for _, j := range jobs {
		if s.mayRun(f, j.Spec) && !s.tryGuaranteed(now, f, j.Spec) {
			rest = append(rest, j.Spec)
		}
	}
	for _, j := range rest {
		if s.mayRun(f, j) {
			s.tryElsewhere(now, f, j)
		}
	}
	s.measure(f, jobs)
}

// survey looks at all racks and gangs.
func (s *Scheduler) survey(now unit.Instant) *floor {
	f := &floor{
		racks: config.Sorted(s.state.Config.Racks),
		live:  map[id.Rack]uint64{}, busy: map[id.Rack]uint64{}, firm: map[id.Rack]uint64{},
		leaving: map[id.Rack]uint64{},
		homes:   map[record.Cell]block.Block{}, held: map[id.Customer]int{},
	}
	s.stats.Quarantined = 0
	for _, k := range f.racks {
		r := s.state.Config.Racks[k]
		for i, w := range r.Workers {
			h := s.workers[w.ID]
			if now < h.banned {
				s.stats.Quarantined++
			}
			if !w.Drained && h.alive(now) {
				f.live[k] |= r.Span(i).Mask()
			}
		}
	}
	for _, r := range s.gangs {
		f.add(r)
	}
	f.spare, s.stats.AtRisk = s.spare(f)
	return f
}

// add notes what a gang holds.
func (f *floor) add(r *run) {
	f.busy[r.Block.Rack] |= r.Block.Mask()
	f.held[r.Job.Customer] += r.Block.Size
	if r.State == gang.Stopping || r.State == gang.Released {
		f.leaving[r.Block.Rack] |= r.Block.Mask()
	}
	switch {
	case r.Cell.Guarantee != "":
		f.firm[r.Home.Rack] |= r.Home.Mask()
		f.homes[r.Cell] = r.Home
	case r.Job.Once:
		f.firm[r.Block.Rack] |= r.Block.Mask()
	}
}

// staying returns the accelerators of a rack whose gangs were not told to stop.
func (f *floor) staying(k id.Rack) uint64 { return f.busy[k] &^ f.leaving[k] }

// spare finds a place for each cell not in use, on live workers if that can be.
func (s *Scheduler) spare(f *floor) (w witness.Witness, atRisk bool) {
	w, err := f.find(s.state.Config, s.state.Spare, func(k id.Rack) uint64 { return f.live[k] })
	if err == nil {
		return w, false
	}
	// Lost workers took the room. Plan as if they were back, and say so.
	w, _ = f.find(s.state.Config, s.state.Spare, func(k id.Rack) uint64 { return state.Usable(s.state.Config, k) })
	return w, true
}

// find looks for a place for each cell that is not in use.
func (f *floor) find(c config.Config, old witness.Witness, usable func(id.Rack) uint64) (witness.Witness, error) {
	rooms := make([]witness.Room, 0, len(f.racks))
	for _, k := range f.racks {
		rooms = append(rooms, witness.Room{Rack: k, Free: usable(k) &^ f.firm[k]})
	}
	var needs []witness.Need
	for _, k := range config.Sorted(c.Guarantees) {
		g := c.Guarantees[k]
		for i := range g.Count {
			cell := record.Cell{Guarantee: k, Index: i}
			if _, used := f.homes[cell]; !used {
				needs = append(needs, witness.Need{Cell: cell, Size: g.Size})
			}
		}
	}
	return witness.Keep(rooms, old, needs)
}

// queue returns the pending jobs in the order in which they are tried: urgent ones
// first, then those of the customer that holds least for its weight, then the
// oldest.
func (s *Scheduler) queue(f *floor) []*state.Job {
	var out []*state.Job
	for name, j := range s.state.Jobs {
		if j.State == state.Pending && s.gangs[name] == nil && !s.ends[name] {
			out = append(out, j)
		}
	}
	share := map[id.Customer]float64{}
	for k, c := range s.state.Config.Customers {
		share[k] = float64(f.held[k]) / float64(c.Weight)
	}
	slices.SortFunc(out, func(a, b *state.Job) int {
		if a.Spec.Urgent != b.Spec.Urgent {
			if a.Spec.Urgent {
				return -1
			}
			return 1
		}
		return cmp.Or(
			cmp.Compare(share[a.Spec.Customer], share[b.Spec.Customer]),
			cmp.Compare(a.Spec.Submitted, b.Spec.Submitted),
			cmp.Compare(a.Spec.ID, b.Spec.ID),
		)
	})
	return out
}

// mayRun reports whether the job could be started now as far as its customer is
// concerned. A job that can never run is refused.
func (s *Scheduler) mayRun(f *floor, j record.Job) bool {
	if s.ends[j.ID] {
		return false
	}
	if reason := s.never(j); reason != "" {
		s.refuse(j, reason)
		return false
	}
	c := s.state.Config.Customers[j.Customer]
	return c.Quota == 0 || f.held[j.Customer]+j.Accelerators <= c.Quota
}

// tryElsewhere starts the job on borrowed accelerators, makes room for it if it is
// urgent, or leaves it waiting.
func (s *Scheduler) tryElsewhere(now unit.Instant, f *floor, j record.Job) {
	if s.tryBorrow(now, f, j) {
		return
	}
	if j.Urgent && !j.Once && s.makeRoom(now, f, j) {
		return
	}
	s.reserve(now, f, j)
}

// never returns why a job can't run under this configuration however long it
// waits, or the empty string.
func (s *Scheduler) never(j record.Job) string {
	c, ok := s.state.Config.Customers[j.Customer]
	switch {
	case !ok:
		return "there is no customer " + string(j.Customer)
	case j.Accelerators < 1 || j.Accelerators > block.MaxSize:
		return "a gang has 1 to 64 accelerators"
	case c.Quota > 0 && j.Accelerators > c.Quota:
		return "the gang is larger than the customer's quota"
	}
	for _, r := range s.state.Config.Racks {
		if block.LongestRun(s.fits(r, j)) < j.Accelerators {
			continue
		}
		if j.Once && !s.ownsCell(j.Customer, j.Accelerators) && !s.couldBeFirm(j.Accelerators) {
			return "a job that can't be stopped would leave a guarantee without a place"
		}
		return ""
	}
	if len(s.bad[j.ID]) > 0 {
		return "the job crashed on every worker that could hold it"
	}
	return "no rack has that many adjacent accelerators with the cores and memory asked for"
}

// couldBeFirm reports whether a gang of the size that can't be stopped could be
// placed on an empty floor so that every guarantee still has a place.
func (s *Scheduler) couldBeFirm(size int) bool {
	if ok, known := s.firmSizes[size]; known {
		return ok
	}
	c := s.state.Config
	ok := false
	for _, k := range config.Sorted(c.Racks) {
		// The first place of the size in a rack leaves the longest run behind.
		starts := block.Starts(state.Usable(c, k), size)
		if starts == 0 {
			continue
		}
		f := floor{racks: config.Sorted(c.Racks), firm: map[id.Rack]uint64{
			k: block.Run(bits.TrailingZeros64(starts), size),
		}}
		if _, err := f.find(c, nil, func(r id.Rack) uint64 { return state.Usable(c, r) }); err == nil {
			ok = true
			break
		}
	}
	s.firmSizes[size] = ok
	return ok
}

// ownsCell reports whether the customer has a guarantee that holds the size.
func (s *Scheduler) ownsCell(c id.Customer, size int) bool {
	for _, g := range s.state.Config.Guarantees {
		if g.Customer == c && g.Size >= size {
			return true
		}
	}
	return false
}

// fits returns the accelerators of a rack whose workers have the cores and memory
// that the job asks for with each accelerator, and on which the job has not crashed.
func (s *Scheduler) fits(r config.Rack, j record.Job) uint64 {
	var m uint64
	bad := s.bad[j.ID]
	for i, w := range r.Workers {
		if bad[w.ID] {
			continue
		}
		n := min(j.Accelerators, w.Accelerators)
		if j.Cores*n <= w.Cores && int64(j.Memory)*int64(n) <= int64(w.Memory) {
			m |= r.Span(i).Mask()
		}
	}
	return m
}

func (s *Scheduler) refuse(j record.Job, reason string) {
	s.ends[j.ID] = true
	s.emit(record.Entry{End: &record.End{
		Job: j.ID, Epoch: s.epoch, Attempt: s.state.Jobs[j.ID].Attempt, Outcome: record.Refused, Reason: reason,
	}})
}

// start begins to ask for the leases of a gang.
func (s *Scheduler) start(now unit.Instant, f *floor, j record.Job, b block.Block, cell record.Cell, home block.Block) {
	s.asked++
	p := record.Place{
		Job: j.ID, Epoch: s.epoch, Lease: s.lease(), Block: b, Cell: cell, Home: home,
		Attempt: s.state.Jobs[j.ID].Attempt + 1,
	}
	r := &run{Gang: gang.New(now, p, j, s.members(b))}
	s.gangs[j.ID] = r
	f.add(r)
	s.wake(r)
}

// leaseBits is the width of the number within an epoch.
const leaseBits = 20

// lease returns the name of the latest asking. No other epoch has the same.
func (s *Scheduler) lease() id.Lease { return id.Lease(uint64(s.epoch)<<leaseBits | s.asked) }

// measure computes the fragmentation: the share of free accelerators that no gang
// of the sizes in demand could use, averaged over those sizes.
func (s *Scheduler) measure(f *floor, jobs []*state.Job) {
	sizes := map[int]bool{}
	for _, g := range s.state.Config.Guarantees {
		sizes[g.Size] = true
	}
	for _, j := range jobs {
		sizes[j.Spec.Accelerators] = true
	}
	free := make([]uint64, 0, len(f.racks))
	for _, k := range f.racks {
		free = append(free, f.live[k]&^f.busy[k])
	}
	s.stats.Fragmentation = Fragmentation(free, config.Sorted(sizes))
}

// Fragmentation returns the share of free accelerators that can't serve gangs of
// the given sizes, averaged over the sizes, from 0 to 1. Each element of free is
// one rack. Without free accelerators or sizes it is 0.
func Fragmentation(free []uint64, sizes []int) float64 {
	total := 0
	for _, m := range free {
		total += bits.OnesCount64(m)
	}
	if total == 0 || len(sizes) == 0 {
		return 0
	}
	lost := 0.0
	for _, n := range sizes {
		usable := 0
		for _, m := range free {
			usable += servable(m, n)
		}
		lost += float64(total-usable) / float64(total)
	}
	return lost / float64(len(sizes))
}

// servable returns how many accelerators of one rack gangs of size n could use.
func servable(free uint64, n int) int {
	got := 0
	for free != 0 {
		run := block.RunAt(free, bits.TrailingZeros64(free))
		got += bits.OnesCount64(run) / n * n
		free &^= run
	}
	return got
}

// rooms returns what the racks offer to a job that borrows.
func (s *Scheduler) rooms(f *floor, j record.Job, except uint64, avoid map[id.Rack]uint64) []place.Room {
	out := make([]place.Room, 0, len(f.racks))
	for _, k := range f.racks {
		free := f.live[k] &^ f.busy[k] & s.fits(s.state.Config.Racks[k], j)
		if k == f.reserved.Rack {
			free &^= except
		}
		out = append(out, place.Room{Rack: k, Free: free, Avoid: avoid[k]})
	}
	return out
}
