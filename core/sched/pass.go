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

// pass tries to start waiting jobs. A full pass, once per fullPassInterval,
// tries all groups. Any other pass skips a group that found no room before,
// unless something was freed since then.
func (s *Scheduler) pass(now unit.Instant) {
	full := now.Sub(s.lastFullPass) >= fullPassInterval
	s.dirty = false
	clear(s.preemptCosts)
	if full {
		s.lastFullPass = now
		s.updateLive(now)
		s.reserved, s.reservedFor = block.Block{}, ""
	}
	if !s.backlog.Has(s.reservedFor) {
		s.reserved, s.reservedFor = block.Block{}, ""
	}
	s.inventory.BeginPass(s.state.Config, s.state.Witness)
	all := s.backlog.Groups()
	s.updateDemand(all)
	groups := s.eligible(all, full)
	// Guarantees are served first: otherwise a borrower that was preempted for one
	// could take the freed accelerators again.
	groups = slices.DeleteFunc(groups, func(group *backlog.Group) bool { return s.startGuaranteed(now, group) })
	s.inventory.Refresh(s.state.Config, s.state.Witness)
	s.startBorrowed(now, groups)
	s.updateStats()
}

// eligible returns the groups that the pass tries. It refuses the jobs of groups
// that can never run under the current configuration.
func (s *Scheduler) eligible(groups []*backlog.Group, full bool) []*backlog.Group {
	var out []*backlog.Group
	for _, group := range groups {
		if group.RunnableAt != s.indexedConfig {
			if reason := s.unrunnableReason(group.Oldest()); reason != "" {
				s.refuseGroup(group, reason)
				continue
			}
			group.RunnableAt = s.indexedConfig
		}
		if full || group.NoRoomAt != s.inventory.FreedCount()+1 {
			out = append(out, group)
		}
	}
	return out
}

// tryResult is the result of trying to place a job.
type tryResult int

const (
	// noRoom means that the job waits until accelerators are freed.
	noRoom tryResult = iota
	// preempting means that gangs are being stopped for the job and that their
	// block is set aside for it.
	preempting
	started
)

// startGuaranteed starts jobs of the group within guarantees. It reports whether
// the pass is done with the group.
func (s *Scheduler) startGuaranteed(now unit.Instant, group *backlog.Group) bool {
	for len(group.Jobs) > 0 {
		if s.overQuota(group.Oldest()) {
			return false
		}
		switch s.tryGuaranteed(now, group.Oldest()) {
		case noRoom:
			return false
		case preempting:
			// The block is set aside for this pass only. Every pass must therefore
			// try the group again until the job starts, even if nothing was freed
			// in between.
			group.NoRoomAt = 0
			return true
		}
	}
	return true
}

// overQuota reports whether starting the job would exceed its customer's quota.
func (s *Scheduler) overQuota(j record.Job) bool {
	c := s.state.Config.Customers[j.Customer]
	return c.Quota > 0 && s.inventory.HeldBy(j.Customer)+j.Accelerators > c.Quota
}

// startBorrowed starts jobs on borrowed accelerators, one at a time: urgent jobs
// first, then a job of the customer that holds the least in proportion to its
// weight.
func (s *Scheduler) startBorrowed(now unit.Instant, groups []*backlog.Group) {
	for len(groups) > 0 {
		i := s.next(groups)
		group := groups[i]
		result := noRoom
		if !s.overQuota(group.Oldest()) {
			result = s.tryOutsideGuarantees(now, group.Oldest())
		}
		if result == noRoom {
			group.NoRoomAt = s.inventory.FreedCount() + 1
		}
		if result != started || len(group.Jobs) == 0 {
			groups = slices.Delete(groups, i, i+1)
		}
	}
}

// next returns the index of the group to try next.
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
		cmp.Compare(s.weightedShare(a.Class.Customer), s.weightedShare(b.Class.Customer)),
		backlog.Older(a.Oldest(), b.Oldest()),
	) < 0
}

// weightedShare returns the number of accelerators that a customer holds, divided
// by its weight.
func (s *Scheduler) weightedShare(c id.Customer) float64 {
	return float64(s.inventory.HeldBy(c)) / float64(max(s.state.Config.Customers[c].Weight, 1))
}

// tryOutsideGuarantees starts the job on borrowed accelerators. If there is no
// room and the job is urgent, it tries to preempt other gangs. If the job still
// has no room, it reserves a block for the job unless one is reserved already.
func (s *Scheduler) tryOutsideGuarantees(now unit.Instant, j record.Job) tryResult {
	if s.tryBorrow(now, j) {
		return started
	}
	if j.Urgent && !j.AtMostOnce && s.preemptForUrgent(now, j) {
		return preempting
	}
	s.reserve(now, j)
	return noRoom
}

// unrunnableReason returns why a job can never run under the current
// configuration, or the empty string if it can.
func (s *Scheduler) unrunnableReason(j record.Job) string {
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
		if block.LongestRun(s.usableFor(&s.inventory.Racks[i], j)) < j.Accelerators {
			continue
		}
		if j.AtMostOnce && !s.hasGuaranteeOf(j.Customer, j.Accelerators) && !s.couldFitGuarantees(j.Accelerators) {
			return "a job that can't be stopped would leave a guarantee without a place"
		}
		return ""
	}
	if len(s.crashedOn[j.ID]) > 0 {
		return "the job crashed on every worker that could hold it"
	}
	return "no rack has that many adjacent accelerators with the cores and memory asked for"
}

// couldFitGuarantees is inventory.CouldFitGuarantees, cached for one configuration.
func (s *Scheduler) couldFitGuarantees(size int) bool {
	ok, known := s.couldFitBySize[size]
	if !known {
		ok = inventory.CouldFitGuarantees(s.state.Config, size)
		s.couldFitBySize[size] = ok
	}
	return ok
}

// hasGuaranteeOf reports whether the customer has a guarantee of at least the given
// size.
func (s *Scheduler) hasGuaranteeOf(c id.Customer, size int) bool {
	return slices.ContainsFunc(s.guarantees[c], func(g config.Guarantee) bool { return g.Size >= size })
}

// usableFor returns the accelerators of a rack whose workers have the cores and
// memory that the job requests per accelerator and on which the job has not
// crashed.
func (s *Scheduler) usableFor(r *inventory.Rack, j record.Job) uint64 {
	crashed := s.crashedOn[j.ID]
	if j.Cores == 0 && j.Memory == 0 && len(crashed) == 0 {
		return ^uint64(0)
	}
	var m uint64
	for i, w := range r.Config.Workers {
		n := min(j.Accelerators, w.Accelerators)
		if !crashed[w.ID] && j.Cores*n <= w.Cores && int64(j.Memory)*int64(n) <= int64(w.Memory) {
			m |= r.Config.WorkerBlock(i).Mask()
		}
	}
	return m
}

// refuseGroup emits an end entry with the outcome Refused for each job of a group.
func (s *Scheduler) refuseGroup(group *backlog.Group, reason string) {
	for _, j := range slices.Clone(group.Jobs) {
		s.backlog.Remove(j.ID)
		s.refusing[j.ID] = true
		s.emit(record.Entry{End: &record.End{
			Job: j.ID, Epoch: s.epoch, Attempt: s.state.Jobs[j.ID].Attempt, Outcome: record.Refused, Reason: reason,
		}})
	}
}

// startGang starts a gang, which begins to request its leases.
func (s *Scheduler) startGang(now unit.Instant, j record.Job, b block.Block, cell record.Cell, home block.Block) {
	s.leaseSeq++
	p := record.Place{
		Job: j.ID, Epoch: s.epoch, Lease: s.leaseID(), Block: b, Cell: cell, Home: home,
		Attempt: s.state.Jobs[j.ID].Attempt + 1,
	}
	s.backlog.Remove(j.ID)
	s.track(&run{Gang: gang.New(now, p, j, s.membersOn(b)), startedAt: now})
}

// leaseBits is the number of low bits of a lease ID that hold its number within
// the epoch.
const leaseBits = 20

// leaseID returns the ID of the latest lease. It contains the epoch, so that it is
// unique across epochs.
func (s *Scheduler) leaseID() id.Lease { return id.Lease(uint64(s.epoch)<<leaseBits | s.leaseSeq) }

// updateLive updates the live accelerators in the inventory and the number of
// quarantined workers.
func (s *Scheduler) updateLive(now unit.Instant) {
	s.stats.Quarantined = 0
	live := map[id.Rack]uint64{}
	for w, h := range s.workers {
		loc := s.locations[w]
		if now < h.quarantinedUntil {
			s.stats.Quarantined++
		}
		if h.available(now) {
			live[loc.rack] |= loc.span.Mask()
		}
	}
	for i := range s.inventory.Racks {
		k := s.inventory.Racks[i].ID
		s.inventory.SetLive(k, live[k])
	}
}
