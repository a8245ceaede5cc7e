package world

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/unit"
)

// capacityGrace is how long after a worker's capacity has shrunk an owner may
// still send orders for the former capacity, by the platform's specification.
const capacityGrace = 4500 * time.Millisecond

// initialClock is the reading of a worker's clock when the simulation begins.
// It must not be 0, because a dispatcher interprets a reading of 0 as a clock
// that it has not read.
const initialClock = 100 * time.Second

// machine is one worker of the site through all its incarnations.
type machine struct {
	Worker
	world *World
	// incarnation counts the starts of the worker. currentID is the id of the
	// present incarnation. idCount counts the starts under a new id.
	incarnation, idCount int
	currentID            id.Worker
	up                   bool
	// clockOffset is the difference between the clock and one that has run
	// since the simulation began. It is positive if the clock is ahead, and 0
	// if the clock has never restarted.
	clockOffset time.Duration
	// runs holds the current runs in the order of their starts.
	runs []*run
	used job.Resources
	// ends holds the ends that the owner has not acknowledged.
	ends       []listedEnd
	lastSeq    uint64
	highestRun map[job.TaskID]job.RunNumber
	// clockRate is the rate of the worker's clock relative to virtual time.
	clockRate  float64
	leaseUntil fleet.ClockReading
	fence      fleet.Fence
	// answerHeld answers the renewal that is waiting at the worker for a run to
	// end; nil if none waits.
	answerHeld func()
	// The following times are the ends of faults. Until partitionedUntil, hosts
	// can't connect to the worker and the list of workers gets no updates from
	// it. Until silentUntil, it neither receives nor answers orders. Until
	// failsUntil, all runs that it starts fail. Until busyUntil, it refuses
	// start orders. Until muteUntil, it neither executes nor answers start
	// orders. Until slowUntil, runs start at a speed that is divided by slowBy.
	partitionedUntil, silentUntil, failsUntil, busyUntil, muteUntil, slowUntil unit.Instant
	slowBy                                                                     float64
	// speedChanges holds the periods in which the runs work at another speed,
	// past ones included.
	speedChanges []speedChange
	// progressFault says how the worker misreports the progress of its runs
	// until progressFaultUntil.
	progressFault      FaultKind
	progressFaultUntil unit.Instant
	// fullCapacity is the capacity when the worker isn't shrunk.
	// capacityGraceUntil is until when an owner may still send orders for the
	// former capacity.
	fullCapacity       job.Resources
	capacityGraceUntil unit.Instant
	// previousListing is the entry of the previous incarnation. Its id is empty
	// before the second incarnation.
	previousListing fleet.Listing
}

// listedEnd is one end that a worker reports.
type listedEnd struct {
	fleet.End
	job     *submittedJob
	endedAt unit.Instant
	// leaseLapsed is set once the worker's lease has expired after the end. The
	// owner may have given up the run by then, so a later acknowledgement of
	// the end isn't checked.
	leaseLapsed bool
}

// addMachine adds a worker, which is up and idle.
func (w *World) addMachine(i int, x Worker) {
	m := &machine{Worker: x, fullCapacity: x.Capacity, world: w, clockRate: 1 - w.setup.Times.MaxDrift*w.draw("clock", i)}
	w.machines = append(w.machines, m)
	m.startIncarnation(newID)
	w.listings = append(w.listings, m.listing())
}

// idChoice says under which id a worker starts an incarnation.
type idChoice int

const (
	// newID is an id that no earlier incarnation had.
	newID idChoice = iota
	// sameID is the id of the previous incarnation. The clock restarts, too.
	sameID
)

// startIncarnation starts an incarnation of the worker, which has no state of
// earlier ones.
func (m *machine) startIncarnation(choice idChoice) {
	m.incarnation++
	switch choice {
	case newID:
		m.idCount++
	case sameID:
		m.clockOffset = m.world.drawClockOffset(m)
	}
	m.currentID = m.ID
	if m.idCount > 1 {
		m.currentID = id.Worker(fmt.Sprintf("%s.%d", m.ID, m.idCount))
	}
	if w := m.world; w.setup.ReportStart {
		m.currentID = fleet.IncarnationID(id.WorkerName(m.currentID), w.drawStart(m))
	}
	m.up, m.fence, m.leaseUntil = true, fleet.Fence{}, 0
	m.ends, m.lastSeq, m.highestRun = nil, 0, map[job.TaskID]job.RunNumber{}
	m.world.byIncarnation[m.currentID] = m
}

// drawStart draws the start time that an incarnation reports. Its wall clock
// may be set back by minutes between two incarnations.
func (w *World) drawStart(m *machine) fleet.StartTime {
	offset := scale(10*time.Minute, w.draw("start", m.ID, m.incarnation))
	return fleet.StartTime(time.Duration(w.now.Add(offset)).Milliseconds())
}

// listing returns the worker's entry in the platform's list of workers.
func (m *machine) listing() fleet.Listing {
	return fleet.Listing{
		ID: m.currentID, Machine: id.Machine(m.ID), Address: string(m.ID), Service: m.Service, Domain: m.Domain, Rack: m.Rack,
		Labels: []string{string(m.Rack)}, Capacity: m.Capacity, Clock: m.clock(),
	}
}

// hasLabel reports whether the worker has a label. Every worker has the empty
// label.
func (m *machine) hasLabel(label string) bool { return label == "" || label == string(m.Rack) }

// list adds or replaces an entry in the platform's list of workers. The owner
// learns of it later.
func (w *World) list(l fleet.Listing) {
	if w.inOutage() {
		return // the worker writes its entry when the store is back
	}
	index := slices.IndexFunc(w.listings, func(o fleet.Listing) bool { return fleet.NameOf(o.ID) == fleet.NameOf(l.ID) })
	previousID := l.ID
	if index >= 0 {
		previousID = w.listings[index].ID
		w.listings[index] = l
	} else {
		w.listings = append(w.listings, l)
	}
	w.Schedule(w.setup.Times.ListingDelay, func() {
		if w.owner == nil {
			return
		}
		w.owner.enqueueEvent(func(o *owner) {
			if previousID != l.ID {
				// The list has one entry for each name, so the new entry
				// replaces that of the other incarnation.
				o.dispatcher.Unlist(w.now, previousID)
			}
			o.dispatcher.List(w.now, l)
		})
	})
}

// unlist removes an incarnation from the platform's list of workers. The owner
// learns of it later.
func (w *World) unlist(workerID id.Worker) {
	if w.inOutage() {
		return // all entries lapse
	}
	w.listings = slices.DeleteFunc(w.listings, func(l fleet.Listing) bool { return l.ID == workerID })
	w.Schedule(w.setup.Times.ListingDelay, func() {
		if w.owner != nil {
			w.owner.enqueueEvent(func(o *owner) { o.dispatcher.Unlist(w.now, workerID) })
		}
	})
}

// clock returns the reading of the worker's clock.
func (m *machine) clock() fleet.ClockReading {
	return fleet.ClockReading(scale(m.world.now.Sub(Begin), m.clockRate) + initialClock + m.clockOffset)
}

// drawClockOffset draws the offset of a clock that restarts. The new clock may
// read more or less than the clock of the previous incarnation.
func (w *World) drawClockOffset(m *machine) time.Duration {
	shown := scale(2*initialClock, w.draw("lead", m.ID, m.incarnation)) + time.Millisecond
	return shown - initialClock - scale(w.now.Sub(Begin), m.clockRate)
}

// silent reports whether the worker neither receives nor answers orders.
func (m *machine) silent() bool { return m.world.now < m.silentUntil }

// reachable reports whether hosts can connect to the worker.
func (m *machine) reachable() bool { return m.up && m.world.now >= m.partitionedUntil }

// receiveOrder checks an order on arrival. It returns CarriedOut if the worker
// can be reached and admits the order.
func (m *machine) receiveOrder(t dispatch.Target) fleet.Verdict {
	if !m.reachable() {
		return fleet.Unreachable
	}
	return m.admitOrder(t)
}

// admitOrder checks the name and the fence of an order against the present
// incarnation, and raises its fence. It returns CarriedOut for an order to
// execute.
func (m *machine) admitOrder(t dispatch.Target) fleet.Verdict {
	switch {
	case fleet.NameOf(m.currentID) != fleet.NameOf(t.Worker):
		return fleet.Replaced
	case t.Fence.Below(m.fence):
		return fleet.Fenced
	}
	m.fence = t.Fence
	return fleet.CarriedOut
}

// startRun executes a start order.
func (m *machine) startRun(o dispatch.Start) fleet.Verdict {
	r := m.findRun(o.Task)
	switch {
	case m.world.now < m.muteUntil:
		return fleet.Unknown
	case o.Until <= m.clock():
		return fleet.LeaseExpired
	case r != nil && r.number == o.Run:
		return fleet.CarriedOut
	case o.Run <= m.highestRun[o.Task]:
		return fleet.Stale
	case m.world.now < m.busyUntil:
		return fleet.Busy
	}
	w := m.world
	s := w.jobs[o.Task.Job]
	if s == nil {
		w.recordViolation(fmt.Sprintf("%s was started, but its job was never submitted", o.Task))
		return fleet.Invalid
	}
	need := s.Spec.Steps[o.Task.Step].Reserved()
	if !need.Fits(m.Capacity.Sub(m.used)) && w.now < m.capacityGraceUntil {
		return fleet.NoRoom
	}
	if !need.Fits(m.Capacity.Sub(m.used)) {
		w.recordViolation(fmt.Sprintf("%s takes %s past its capacity", o.Task, m.currentID))
		return fleet.NoRoom
	}
	w.checkStart(s, o)
	w.checkDomain(m, o)
	m.highestRun[o.Task] = o.Run
	m.extendLease(o.Until)
	m.addRun(s, o, need)
	return fleet.CarriedOut
}

// stopRun executes a stop order: it stops the run, or keeps it from starting
// later.
func (m *machine) stopRun(o dispatch.Stop) fleet.Verdict {
	if r := m.findRun(o.Task); r != nil && r.number == o.Run {
		r.stop()
	}
	m.highestRun[o.Task] = max(m.highestRun[o.Task], o.Run)
	return fleet.CarriedOut
}

// findRun returns the run of a task, or nil.
func (m *machine) findRun(t job.TaskID) *run {
	for _, r := range m.runs {
		if r.task == t {
			return r
		}
	}
	return nil
}

// extendLease extends the lease of all runs. When the lease expires, it ends
// the runs.
func (m *machine) extendLease(until fleet.ClockReading) {
	if maxLease := m.world.setup.Times.MaxLease; maxLease > 0 {
		until = min(until, m.clock()+fleet.ClockReading(maxLease))
	}
	if until <= m.leaseUntil {
		return
	}
	m.leaseUntil = until
	incarnation := m.incarnation
	m.world.Schedule(scale(time.Duration(until-m.clock()), 1/m.clockRate)+1, func() {
		if m.leaseUntil != until || m.incarnation != incarnation || !m.up {
			return
		}
		for i := range m.ends {
			m.ends[i].leaseLapsed = true
		}
		m.endAll(fleet.EndLeaseExpired)
	})
}

// endAll ends all runs.
func (m *machine) endAll(reason fleet.EndReason) {
	for len(m.runs) > 0 {
		m.runs[0].finish(reason)
	}
}

// renew extends the lease, drops the acknowledged ends and answers with a
// report. It answers at once if an unacknowledged end remains or the renewal
// must not wait. Otherwise it answers when a run ends, or after o.Wait at the
// latest.
func (m *machine) renew(o dispatch.Renew, answer func(fleet.Report)) {
	m.extendLease(o.Until)
	// If AckedEnd is higher than any sequence number that this incarnation has
	// issued, it refers to ends of another incarnation. It then acknowledges no
	// ends here. Real workers behave in the same way.
	for o.AckedEnd <= m.lastSeq && len(m.ends) > 0 && m.ends[0].Seq <= o.AckedEnd {
		m.world.checkAcknowledged(m.ends[0])
		m.ends = m.ends[1:]
	}
	incarnation, answered := m.incarnation, false
	report := func() {
		if answered || m.incarnation != incarnation || !m.up {
			return
		}
		answered, m.answerHeld = true, nil
		answer(m.report())
	}
	if o.Wait == 0 || len(m.ends) > 0 {
		report()
		return
	}
	m.answerHeld = report
	m.world.Schedule(o.Wait, report)
}

// report returns the worker's report.
func (m *machine) report() fleet.Report {
	rep := fleet.Report{Incarnation: m.currentID, Clock: m.clock()}
	for _, r := range m.runs {
		rep.Running = append(rep.Running, fleet.Running{Task: r.task, Run: r.number, Percent: m.reportedPercent(r), Checkpoint: r.checkpoint()})
	}
	for _, e := range m.ends {
		rep.Ended = append(rep.Ended, e.End)
	}
	return rep
}

// reportedPercent returns the progress of a run as the worker reports it.
func (m *machine) reportedPercent(r *run) int {
	w, percent := m.world, r.percent()
	if w.now >= m.progressFaultUntil {
		return percent
	}
	switch {
	case m.progressFault == ProgressZero, m.progressFault == ProgressGaps && w.draw("gap", m.ID, w.now) < 0.5:
		return 0
	case m.progressFault == ProgressFalling:
		return 100 - percent
	case m.progressFault == ProgressExcess:
		return 101 + percent
	}
	return percent
}

// endIncarnation ends the worker's incarnation. Its runs vanish, and their ends
// are never reported. The next incarnation starts after the time down, under
// the id that next selects. If down is 0, there is no next incarnation.
func (m *machine) endIncarnation(down time.Duration, next idChoice) {
	if !m.up {
		return
	}
	w := m.world
	m.up = false
	for len(m.runs) > 0 {
		m.runs[0].vanish()
	}
	m.answerHeld = nil
	m.previousListing = m.listing()
	oldID, incarnation := m.currentID, m.incarnation
	w.Schedule(w.setup.Times.MemberTTL, func() {
		if next == newID || m.incarnation == incarnation {
			w.unlist(oldID)
		}
	})
	if down > 0 {
		w.Schedule(down, func() {
			if m.incarnation == incarnation {
				m.startIncarnation(next)
				w.list(m.listing())
			}
		})
	}
}

// partition cuts the worker off from the hosts and from the list of workers.
// The list drops the worker after a while and shows it again when the partition
// ends.
func (m *machine) partition(duration time.Duration) {
	if !m.up {
		return
	}
	w, incarnation := m.world, m.incarnation
	m.partitionedUntil = max(m.partitionedUntil, w.now.Add(duration))
	w.Schedule(w.setup.Times.MemberTTL, func() {
		if m.incarnation == incarnation && w.now < m.partitionedUntil {
			w.unlist(m.currentID)
		}
	})
	w.Schedule(duration, func() {
		if m.incarnation == incarnation && m.up && w.now >= m.partitionedUntil {
			w.list(m.listing())
		}
	})
}

// shrink reduces the worker's capacity for a while. Runs in progress continue.
func (m *machine) shrink(duration time.Duration, factor float64) {
	m.Capacity = job.Resources{
		CPU: job.MilliCPU(float64(m.fullCapacity.CPU) / factor), Memory: unit.Bytes(float64(m.fullCapacity.Memory) / factor),
		Accelerators: int(float64(m.fullCapacity.Accelerators) / factor),
	}
	m.capacityGraceUntil = m.world.now.Add(capacityGrace)
	m.publishListing()
	m.world.Schedule(duration, func() {
		m.Capacity = m.fullCapacity
		m.publishListing()
	})
}

// publishListing updates the worker's entry in the list, if it is up and not
// partitioned.
func (m *machine) publishListing() {
	if m.up && m.world.now >= m.partitionedUntil {
		m.world.list(m.listing())
	}
}

// showPreviousListing makes the list show the previous incarnation until that
// entry expires.
func (m *machine) showPreviousListing() {
	if m.previousListing.ID == "" {
		return
	}
	old := m.previousListing
	m.world.list(old)
	m.world.Schedule(m.world.setup.Times.MemberTTL, func() {
		m.world.unlist(old.ID)
		// If both incarnations have the same name, the previous entry has
		// replaced the present one. This call restores the present entry.
		m.publishListing()
	})
}

// readList makes the owner read the whole list, in descending order of ids.
func (w *World) readList() {
	if w.owner == nil {
		return
	}
	all := slices.Clone(w.listings)
	slices.SortFunc(all, func(a, b fleet.Listing) int { return cmp.Compare(b.ID, a.ID) })
	w.owner.enqueueEvent(func(o *owner) {
		for _, l := range all {
			o.dispatcher.LoadListing(w.now, l)
		}
	})
}

// drain announces that the worker will leave, and ends its incarnation after
// the time remaining. The next incarnation starts after another time, back. If
// back is 0, there is no next incarnation.
func (m *machine) drain(remaining, back time.Duration) {
	if !m.up {
		return
	}
	l := m.listing()
	l.Draining, l.Remaining = true, remaining
	m.world.list(l)
	incarnation := m.incarnation
	m.world.Schedule(remaining, func() {
		if m.incarnation == incarnation {
			m.endIncarnation(back, newID)
		}
	})
}
