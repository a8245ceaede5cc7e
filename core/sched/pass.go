package sched

import (
	"cmp"
	"slices"

	"curlewsill.org/curlewsill/core/backlog"
	"curlewsill.org/curlewsill/core/block"
	"curlewsill.org/curlewsill/core/config"
	"curlewsill.org/curlewsill/core/gang"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/inventory"
	"curlewsill.org/curlewsill/core/record"
	"curlewsill.org/curlewsill/core/unit"
)

// pass walks the queue once. A walk for an event leaves out the groups that failed when
// no more room was free than now; from time to time all are tried.
func (s *Scheduler) pass(now unit.Instant) {
	all := now.Sub(s.passed) >= passEvery
	s.dirty = false
	clear(s.prices)
	if all {
		s.passed = now
		s.noteLive(now)
		s.reserved, s.reservedFor = block.Block{}, ""
	}
	if !s.backlog.Has(s.reservedFor) {
		s.reserved, s.reservedFor = block.Block{}, ""
	}
	s.inventory.Begin(s.state.Config, s.state.Spare)
	every := s.backlog.Groups()
	s.noteDemand(every)
	groups := s.able(every, all)
	// Guarantees go first: a borrower that was stopped for one would otherwise be
	// the first to take the room again.
	groups = slices.DeleteFunc(groups, func(l *backlog.Group) bool { return s.fill(now, l) })
	s.inventory.Refresh(s.state.Config, s.state.Spare)
	s.borrow(now, groups)
	s.measure()
}

// able returns the groups to be tried. It refuses the jobs of classes that can never
// run.
func (s *Scheduler) able(groups []*backlog.Group, all bool) []*backlog.Group {
	var out []*backlog.Group
	for _, l := range groups {
		if l.Checked != s.seenConfig {
			if reason := s.never(l.Head()); reason != "" {
				s.refuse(l, reason)
				continue
			}
			l.Checked = s.seenConfig
		}
		if all || l.Failed != s.inventory.Room()+1 {
			out = append(out, l)
		}
	}
	return out
}

// outcome is what became of trying a job.
type outcome int

const (
	// noRoom means that the job waits for whatever is freed.
	noRoom outcome = iota
	// waits means that gangs were told to stop for the job, and their place is kept.
	waits
	started
)

// fill starts jobs of the group within guarantees. It reports whether the group needs
// nothing more in this pass.
func (s *Scheduler) fill(now unit.Instant, l *backlog.Group) bool {
	for len(l.Jobs) > 0 {
		if s.overQuota(l.Head()) {
			return false
		}
		switch s.tryGuaranteed(now, l.Head()) {
		case noRoom:
			return false
		case waits:
			// Every pass has to keep the place.
			l.Failed = 0
			return true
		}
	}
	return true
}

// overQuota reports whether the job would take its customer above its quota.
func (s *Scheduler) overQuota(j record.Job) bool {
	c := s.state.Config.Customers[j.Customer]
	return c.Quota > 0 && s.inventory.Held(j.Customer)+j.Accelerators > c.Quota
}

// borrow starts jobs on borrowed accelerators: urgent ones first, then always one of
// the customer that holds least for its weight.
func (s *Scheduler) borrow(now unit.Instant, groups []*backlog.Group) {
	for len(groups) > 0 {
		i := s.next(groups)
		l := groups[i]
		got := noRoom
		if !s.overQuota(l.Head()) {
			got = s.tryElsewhere(now, l.Head())
		}
		if got == noRoom {
			l.Failed = s.inventory.Room() + 1
		}
		if got != started || len(l.Jobs) == 0 {
			groups = slices.Delete(groups, i, i+1)
		}
	}
}

// next returns the group whose turn it is.
func (s *Scheduler) next(groups []*backlog.Group) int {
	best := 0
	for i := range groups {
		if s.before(groups[i], groups[best]) {
			best = i
		}
	}
	return best
}

func (s *Scheduler) before(a, b *backlog.Group) bool {
	if a.Class.Urgent != b.Class.Urgent {
		return a.Class.Urgent
	}
	return cmp.Or(
		cmp.Compare(s.share(a.Class.Customer), s.share(b.Class.Customer)),
		backlog.Older(a.Head(), b.Head()),
	) < 0
}

// share returns what a customer holds for its weight.
func (s *Scheduler) share(c id.Customer) float64 {
	return float64(s.inventory.Held(c)) / float64(max(s.state.Config.Customers[c].Weight, 1))
}

// tryElsewhere starts the job on borrowed accelerators, makes room for it if it is
// urgent, or leaves it waiting with a block reserved.
func (s *Scheduler) tryElsewhere(now unit.Instant, j record.Job) outcome {
	if s.tryBorrow(now, j) {
		return started
	}
	if j.Urgent && !j.Once && s.makeRoom(now, j) {
		return waits
	}
	s.reserve(now, j)
	return noRoom
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
	for i := range s.inventory.Racks {
		if block.LongestRun(s.fits(&s.inventory.Racks[i], j)) < j.Accelerators {
			continue
		}
		if j.Once && !s.ownsCell(j.Customer, j.Accelerators) && !s.couldClear(j.Accelerators) {
			return "a job that can't be stopped would leave a guarantee without a place"
		}
		return ""
	}
	if len(s.bad[j.ID]) > 0 {
		return "the job crashed on every worker that could hold it"
	}
	return "no rack has that many adjacent accelerators with the cores and memory asked for"
}

// couldClear is inventory.CouldClear, remembered for one configuration.
func (s *Scheduler) couldClear(size int) bool {
	ok, known := s.firmSizes[size]
	if !known {
		ok = inventory.CouldClear(s.state.Config, size)
		s.firmSizes[size] = ok
	}
	return ok
}

// ownsCell reports whether the customer has a guarantee that holds the size.
func (s *Scheduler) ownsCell(c id.Customer, size int) bool {
	return slices.ContainsFunc(s.cells[c], func(g config.Guarantee) bool { return g.Size >= size })
}

// fits returns the accelerators of a rack whose workers have the cores and memory
// that the job asks for with each accelerator, and on which the job has not crashed.
func (s *Scheduler) fits(r *inventory.Rack, j record.Job) uint64 {
	bad := s.bad[j.ID]
	if j.Cores == 0 && j.Memory == 0 && len(bad) == 0 {
		return ^uint64(0)
	}
	var m uint64
	for i, w := range r.Config.Workers {
		n := min(j.Accelerators, w.Accelerators)
		if !bad[w.ID] && j.Cores*n <= w.Cores && int64(j.Memory)*int64(n) <= int64(w.Memory) {
			m |= r.Config.Span(i).Mask()
		}
	}
	return m
}

// refuse ends all jobs of a group that can never run.
func (s *Scheduler) refuse(l *backlog.Group, reason string) {
	for _, j := range slices.Clone(l.Jobs) {
		s.backlog.Remove(j.ID)
		s.ends[j.ID] = true
		s.emit(record.Entry{End: &record.End{
			Job: j.ID, Epoch: s.epoch, Attempt: s.state.Jobs[j.ID].Attempt, Outcome: record.Refused, Reason: reason,
		}})
	}
}

// start begins to ask for the leases of a gang.
func (s *Scheduler) start(now unit.Instant, j record.Job, b block.Block, cell record.Cell, home block.Block) {
	s.asked++
	p := record.Place{
		Job: j.ID, Epoch: s.epoch, Lease: s.lease(), Block: b, Cell: cell, Home: home,
		Attempt: s.state.Jobs[j.ID].Attempt + 1,
	}
	s.backlog.Remove(j.ID)
	s.keep(&run{Gang: gang.New(now, p, j, s.members(b)), began: now})
}

// leaseBits is the width of the number within an epoch.
const leaseBits = 20

// lease returns the name of the latest asking. No other epoch has the same.
func (s *Scheduler) lease() id.Lease { return id.Lease(uint64(s.epoch)<<leaseBits | s.asked) }

// noteLive tells the inventory which workers answer.
func (s *Scheduler) noteLive(now unit.Instant) {
	s.stats.Quarantined = 0
	live := map[id.Rack]uint64{}
	for w, h := range s.workers {
		at := s.where[w]
		if now < h.banned {
			s.stats.Quarantined++
		}
		if h.alive(now) {
			live[at.rack] |= at.span.Mask()
		}
	}
	for i := range s.inventory.Racks {
		k := s.inventory.Racks[i].ID
		s.inventory.SetLive(k, live[k])
	}
}
