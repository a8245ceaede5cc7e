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

// knownAfter is how long after it has shrunk an owner must know a worker's room, by the platform's pages.
const capacityGrace = 4500 * time.Millisecond

// clockLead is what a worker's clock shows when the world begins: it must not be 0.
const initialClock = 100 * time.Second

// machine is one worker of the site through all its lives.
type machine struct {
	Worker
	world *World
	// life counts its starts; name is the id of the present life. Names counts the starts under a name of their own.
	incarnation, idCount int
	currentID            id.Worker
	up                   bool
	// lead is what its clock was ahead of the world's when the present life began to count anew.
	clockOffset time.Duration
	// runs holds what runs, in the order of its starts.
	runs []*run
	used job.Resources
	// ends holds the ends that the owner has not taken note of.
	ends    []listedEnd
	seq     uint64
	highest map[job.Task]job.Run
	// rate is how fast its clock is, by ours.
	clockRate  float64
	leaseUntil fleet.Clock
	fence      fleet.Fence
	// held answers the renewal that waits for an end; nil if none does.
	answerHeld func()
	// apartUntil is until when hosts can't connect to it and the list doesn't hear of it,
	// silentUntil is until when it hears and says nothing, failsUntil until when all that it
	// starts fails, busyUntil until when it refuses to start anything, muteUntil until when it leaves
	// orders to start unanswered, slowUntil until when it works slowBy times slower.
	partitionedUntil, silentUntil, failsUntil, busyUntil, muteUntil, slowUntil unit.Instant
	slowBy                                                                     float64
	// still holds when what ran there made no progress, in order of their beginnings.
	stalls []interval
	// whole is its room while it isn't smaller, formerUntil until when an owner may not know its present room.
	fullCapacity       job.Resources
	capacityGraceUntil unit.Instant
	// earlier is the entry of the life before the present one; without an id before the second.
	previousListing fleet.Listing
}

// span is a time.
type interval struct{ from, to unit.Instant }

// stoodStill returns for how long what ran on the worker made no progress within a time.
func (m *machine) stalledTime(from, to unit.Instant) time.Duration {
	sum := time.Duration(0)
	for _, s := range m.stalls {
		begin, end := max(from, s.from), min(to, s.to)
		sum += max(0, end.Sub(begin))
		from = max(from, end) // spans may overlap
	}
	return sum
}

// end is one end that a worker lists.
type listedEnd struct {
	fleet.End
	job *submittedJob
	at  unit.Instant
	// lapsed is set once the worker's lease has run out since: the owner may have given the
	// run up, and taking note of its end comes too late to bind it.
	leaseLapsed bool
}

// addMachine adds a worker, which is up and idle.
func (w *World) addMachine(i int, x Worker) {
	m := &machine{Worker: x, fullCapacity: x.Capacity, world: w, clockRate: 1 - w.setup.Times.Drift*w.draw("clock", i)}
	w.machines = append(w.machines, m)
	m.startIncarnation(newID)
	w.listed = append(w.listed, m.listing())
}

// naming says under which id a worker begins a life.
type idChoice int

const (
	// ownName is an id that no life before had.
	newID idChoice = iota
	// sameName is the id of the life before. Its clock begins anew, too.
	sameID
)

// begin starts a life of the worker, which knows nothing of those before.
func (m *machine) startIncarnation(n idChoice) {
	m.incarnation++
	switch n {
	case newID:
		m.idCount++
	case sameID:
		m.clockOffset = m.world.drawClockOffset(m)
	}
	m.currentID = m.ID
	if m.idCount > 1 {
		m.currentID = id.Worker(fmt.Sprintf("%s.%d", m.ID, m.idCount))
	}
	if w := m.world; w.setup.TellStart {
		m.currentID = fleet.Life(id.WorkerName(m.currentID), w.drawStart(m))
	}
	m.up, m.fence, m.leaseUntil = true, fleet.Fence{}, 0
	m.ends, m.seq, m.highest = nil, 0, map[job.Task]job.Run{}
	m.world.byIncarnation[m.currentID] = m
}

// start draws what a life tells of its start, by a time of day that may be set back by minutes between two lives.
func (w *World) drawStart(m *machine) fleet.Start {
	ahead := scale(10*time.Minute, w.draw("start", m.ID, m.incarnation))
	return fleet.Start(time.Duration(w.now.Add(ahead)).Milliseconds())
}

// listing is the worker's entry in the platform's list.
func (m *machine) listing() fleet.Listing {
	return fleet.Listing{
		ID: m.currentID, Machine: id.Machine(m.ID), Address: string(m.ID), Service: m.Service, Domain: m.Domain, Rack: m.Rack,
		Labels: []string{string(m.Rack)}, Capacity: m.Capacity, Clock: m.clock(),
	}
}

// carries reports whether the worker has a label; every worker has the empty one.
func (m *machine) hasLabel(label string) bool { return label == "" || label == string(m.Rack) }

// list changes the platform's list, of which the owner hears later.
func (w *World) list(l fleet.Listing) {
	at := slices.IndexFunc(w.listed, func(o fleet.Listing) bool { return fleet.NameOf(o.ID) == fleet.NameOf(l.ID) })
	before := l.ID
	if at >= 0 {
		before = w.listed[at].ID
		w.listed[at] = l
	} else {
		w.listed = append(w.listed, l)
	}
	w.Plan(w.setup.Times.Listing, func() {
		if w.owner == nil {
			return
		}
		w.owner.enqueueEvent(func(o *owner) {
			if before != l.ID {
				o.core.Unlist(w.now, before) // one entry stands under a name
			}
			o.core.List(w.now, l)
		})
	})
}

// unlist drops a life from the platform's list, of which the owner hears later.
func (w *World) unlist(name id.Worker) {
	w.listed = slices.DeleteFunc(w.listed, func(l fleet.Listing) bool { return l.ID == name })
	w.Plan(w.setup.Times.Listing, func() {
		if w.owner != nil {
			w.owner.enqueueEvent(func(o *owner) { o.core.Unlist(w.now, name) })
		}
	})
}

// clock is what the worker's clock shows.
func (m *machine) clock() fleet.Clock {
	return fleet.Clock(scale(m.world.now.Sub(Begin), m.clockRate) + initialClock + m.clockOffset)
}

// lead draws how far a life that counts anew is ahead of the world: its clock may show more or less than that of the life before.
func (w *World) drawClockOffset(m *machine) time.Duration {
	shows := scale(2*initialClock, w.draw("lead", m.ID, m.incarnation)) + time.Millisecond
	return shows - initialClock - scale(w.now.Sub(Begin), m.clockRate)
}

// silent reports whether the worker hears and says nothing.
func (m *machine) silent() bool { return m.world.now < m.silentUntil }

// listens reports whether orders reach the worker.
func (m *machine) reachable() bool { return m.up && m.world.now >= m.partitionedUntil }

// meet says what becomes of an order as far as the worker itself goes: Carried if it listens and obeys.
func (m *machine) receiveOrder(t dispatch.Target) fleet.Verdict {
	if !m.reachable() {
		return fleet.Unreachable
	}
	return m.admitOrder(t)
}

// obey says whether the worker's present life carries out an order that it has got: Carried if so.
func (m *machine) admitOrder(t dispatch.Target) fleet.Verdict {
	switch {
	case fleet.NameOf(m.currentID) != fleet.NameOf(t.Worker):
		return fleet.Replaced
	case t.Fence.Below(m.fence):
		return fleet.Fenced
	}
	m.fence = t.Fence
	return fleet.Carried
}

// start begins a run.
func (m *machine) startRun(o dispatch.Start) fleet.Verdict {
	r := m.findRun(o.Task)
	switch {
	case m.world.now < m.muteUntil:
		return fleet.Unknown
	case o.Until <= m.clock():
		return fleet.Expired
	case r != nil && r.number == o.Run:
		return fleet.Carried
	case o.Run <= m.highest[o.Task]:
		return fleet.Stale
	case m.world.now < m.busyUntil:
		return fleet.Busy
	}
	w := m.world
	s := w.jobs[o.Task.Job]
	if s == nil {
		w.recordViolation(fmt.Sprintf("%s was started, which nobody handed in", o.Task))
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
	m.highest[o.Task] = o.Run
	m.extendLease(o.Until)
	m.addRun(s, o, need)
	return fleet.Carried
}

// stop ends a run, or keeps one from starting.
func (m *machine) stopRun(o dispatch.Stop) fleet.Verdict {
	if r := m.findRun(o.Task); r != nil && r.number == o.Run {
		r.stop()
	}
	m.highest[o.Task] = max(m.highest[o.Task], o.Run)
	return fleet.Carried
}

// find returns the run of a task, or nil.
func (m *machine) findRun(t job.Task) *run {
	for _, r := range m.runs {
		if r.task == t {
			return r
		}
	}
	return nil
}

// lease makes all that runs last until a time, and ends it then.
func (m *machine) extendLease(until fleet.Clock) {
	if most := m.world.setup.Times.MaxLease; most > 0 {
		until = min(until, m.clock()+fleet.Clock(most))
	}
	if until <= m.leaseUntil {
		return
	}
	m.leaseUntil = until
	life := m.incarnation
	m.world.Plan(scale(time.Duration(until-m.clock()), 1/m.clockRate)+1, func() {
		if m.leaseUntil != until || m.incarnation != life || !m.up {
			return
		}
		for i := range m.ends {
			m.ends[i].leaseLapsed = true
		}
		m.endAll(fleet.EndLapsed)
	})
}

// endAll ends all that runs.
func (m *machine) endAll(how fleet.How) {
	for len(m.runs) > 0 {
		m.runs[0].finish(how)
	}
}

// renew takes a renewal and answers it at an end, or after the time that it may wait.
func (m *machine) renew(o dispatch.Renew, answer func(fleet.Report)) {
	m.extendLease(o.Until)
	// A number that this life has not given yet is none of its own: as on the users' workers, it drops nothing until it is.
	for o.Told <= m.seq && len(m.ends) > 0 && m.ends[0].Seq <= o.Told {
		m.world.checkAcknowledged(m.ends[0])
		m.ends = m.ends[1:]
	}
	life, answered := m.incarnation, false
	report := func() {
		if answered || m.incarnation != life || !m.up {
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
	m.world.Plan(o.Wait, report)
}

// report is what the worker says of itself.
func (m *machine) report() fleet.Report {
	rep := fleet.Report{Life: m.currentID, Clock: m.clock()}
	for _, r := range m.runs {
		rep.Running = append(rep.Running, fleet.Running{Task: r.task, Run: r.number, Percent: r.percent(), Checkpoint: r.checkpoint()})
	}
	for _, e := range m.ends {
		rep.Ended = append(rep.Ended, e.End)
	}
	return rep
}

// die ends the worker's life: what ran there is gone, and nobody says how. It comes back after
// some time, or never if that is 0.
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
	old, life := m.currentID, m.incarnation
	w.Plan(w.setup.Times.MemberTTL, func() {
		if next == newID || m.incarnation == life {
			w.unlist(old)
		}
	})
	if down > 0 {
		w.Plan(down, func() {
			if m.incarnation == life {
				m.startIncarnation(next)
				w.list(m.listing())
			}
		})
	}
}

// part cuts the worker off from the hosts and from the list, which drops it after a while and shows it again
// when it is back.
func (m *machine) partition(lasts time.Duration) {
	if !m.up {
		return
	}
	w, life := m.world, m.incarnation
	m.partitionedUntil = max(m.partitionedUntil, w.now.Add(lasts))
	w.Plan(w.setup.Times.MemberTTL, func() {
		if m.incarnation == life && w.now < m.partitionedUntil {
			w.unlist(m.currentID)
		}
	})
	w.Plan(lasts, func() {
		if m.incarnation == life && m.up && w.now >= m.partitionedUntil {
			w.list(m.listing())
		}
	})
}

// shrink makes the worker smaller for a while. What runs there goes on.
func (m *machine) shrink(lasts time.Duration, by float64) {
	m.Capacity = job.Resources{
		CPU: job.MilliCPU(float64(m.fullCapacity.CPU) / by), Memory: unit.Bytes(float64(m.fullCapacity.Memory) / by),
		Accelerators: int(float64(m.fullCapacity.Accelerators) / by),
	}
	m.capacityGraceUntil = m.world.now.Add(capacityGrace)
	m.publishListing()
	m.world.Plan(lasts, func() {
		m.Capacity = m.fullCapacity
		m.publishListing()
	})
}

// tell writes the worker's entry anew, if it is up.
func (m *machine) publishListing() {
	if m.up && m.world.now >= m.partitionedUntil {
		m.world.list(m.listing())
	}
}

// showEarlier lets the list show the life before the present one for as long as an entry stands.
func (m *machine) showPreviousListing() {
	if m.previousListing.ID == "" {
		return
	}
	old := m.previousListing
	m.world.list(old)
	m.world.Plan(m.world.setup.Times.MemberTTL, func() {
		m.world.unlist(old.ID)
		m.publishListing() // where both have one name, the present life writes its entry again
	})
}

// readList lets the owner read the whole list, in the order of names backwards.
func (w *World) readList() {
	if w.owner == nil {
		return
	}
	all := slices.Clone(w.listed)
	slices.SortFunc(all, func(a, b fleet.Listing) int { return cmp.Compare(b.ID, a.ID) })
	w.owner.enqueueEvent(func(o *owner) {
		for _, l := range all {
			o.core.List(w.now, l)
		}
	})
}

// drain announces that the worker leaves, lets it leave then, and brings it back after a while, or
// never if that is 0.
func (m *machine) drain(remaining, back time.Duration) {
	if !m.up {
		return
	}
	l := m.listing()
	l.Draining, l.Remaining = true, remaining
	m.world.list(l)
	life := m.incarnation
	m.world.Plan(remaining, func() {
		if m.incarnation == life {
			m.endIncarnation(back, newID)
		}
	})
}
