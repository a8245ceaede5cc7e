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
const knownAfter = 4500 * time.Millisecond

// clockLead is what a worker's clock shows when the world begins: it must not be 0.
const clockLead = 100 * time.Second

// machine is one worker of the site through all its lives.
type machine struct {
	Worker
	world *World
	// life counts its starts; name is the id of the present life. Names counts the starts under a name of their own.
	life, names int
	name        id.Worker
	up          bool
	// lead is what its clock was ahead of the world's when the present life began to count anew.
	lead time.Duration
	// runs holds what runs, in the order of its starts.
	runs []*run
	used job.Resources
	// ends holds the ends that the owner has not taken note of.
	ends    []end
	seq     uint64
	highest map[job.Task]job.Run
	// rate is how fast its clock is, by ours.
	rate  float64
	until fleet.Clock
	fence fleet.Fence
	// held answers the renewal that waits for an end; nil if none does.
	held func()
	// apartUntil is until when hosts can't connect to it and the list doesn't hear of it,
	// silentUntil is until when it hears and says nothing, failsUntil until when all that it
	// starts fails, busyUntil until when it refuses to start anything, muteUntil until when it leaves
	// orders to start unanswered, slowUntil until when it works slowBy times slower.
	apartUntil, silentUntil, failsUntil, busyUntil, muteUntil, slowUntil unit.Instant
	slowBy                                                               float64
	// still holds when what ran there made no progress, in order of their beginnings.
	still []span
	// whole is its room while it isn't smaller, formerUntil until when an owner may not know its present room.
	whole       job.Resources
	formerUntil unit.Instant
	// earlier is the entry of the life before the present one; without an id before the second.
	earlier fleet.Listing
}

// span is a time.
type span struct{ from, to unit.Instant }

// stoodStill returns for how long what ran on the worker made no progress within a time.
func (m *machine) stoodStill(from, to unit.Instant) time.Duration {
	sum := time.Duration(0)
	for _, s := range m.still {
		begin, end := max(from, s.from), min(to, s.to)
		sum += max(0, end.Sub(begin))
		from = max(from, end) // spans may overlap
	}
	return sum
}

// end is one end that a worker lists.
type end struct {
	fleet.End
	job *submitted
	at  unit.Instant
	// lapsed is set once the worker's lease has run out since: the owner may have given the
	// run up, and taking note of its end comes too late to bind it.
	lapsed bool
}

// addMachine adds a worker, which is up and idle.
func (w *World) addMachine(i int, x Worker) {
	m := &machine{Worker: x, whole: x.Capacity, world: w, rate: 1 - w.setup.Times.Drift*w.chance("clock", i)}
	w.machines = append(w.machines, m)
	m.begin(ownName)
	w.listed = append(w.listed, m.listing())
}

// naming says under which id a worker begins a life.
type naming int

const (
	// ownName is an id that no life before had.
	ownName naming = iota
	// sameName is the id of the life before. Its clock begins anew, too.
	sameName
)

// begin starts a life of the worker, which knows nothing of those before.
func (m *machine) begin(n naming) {
	m.life++
	switch n {
	case ownName:
		m.names++
	case sameName:
		m.lead = m.world.lead(m)
	}
	m.name = m.ID
	if m.names > 1 {
		m.name = id.Worker(fmt.Sprintf("%s.%d", m.ID, m.names))
	}
	if w := m.world; w.setup.TellStart {
		m.name = fleet.Life(id.WorkerName(m.name), w.start(m))
	}
	m.up, m.fence, m.until = true, fleet.Fence{}, 0
	m.ends, m.seq, m.highest = nil, 0, map[job.Task]job.Run{}
	m.world.byLife[m.name] = m
}

// start draws what a life tells of its start, by a time of day that may be set back by minutes between two lives.
func (w *World) start(m *machine) fleet.Start {
	ahead := stretch(10*time.Minute, w.chance("start", m.ID, m.life))
	return fleet.Start(time.Duration(w.now.Add(ahead)).Milliseconds())
}

// listing is the worker's entry in the platform's list.
func (m *machine) listing() fleet.Listing {
	return fleet.Listing{
		ID: m.name, Machine: id.Machine(m.ID), Address: string(m.ID), Service: m.Service, Domain: m.Domain, Rack: m.Rack,
		Labels: []string{string(m.Rack)}, Capacity: m.Capacity, Clock: m.clock(),
	}
}

// carries reports whether the worker has a label; every worker has the empty one.
func (m *machine) carries(label string) bool { return label == "" || label == string(m.Rack) }

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
		w.owner.take(func(o *owner) {
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
			w.owner.take(func(o *owner) { o.core.Unlist(w.now, name) })
		}
	})
}

// clock is what the worker's clock shows.
func (m *machine) clock() fleet.Clock {
	return fleet.Clock(stretch(m.world.now.Sub(Begin), m.rate) + clockLead + m.lead)
}

// lead draws how far a life that counts anew is ahead of the world: its clock may show more or less than that of the life before.
func (w *World) lead(m *machine) time.Duration {
	shows := stretch(2*clockLead, w.chance("lead", m.ID, m.life)) + time.Millisecond
	return shows - clockLead - stretch(w.now.Sub(Begin), m.rate)
}

// silent reports whether the worker hears and says nothing.
func (m *machine) silent() bool { return m.world.now < m.silentUntil }

// listens reports whether orders reach the worker.
func (m *machine) listens() bool { return m.up && m.world.now >= m.apartUntil }

// meet says what becomes of an order as far as the worker itself goes: Carried if it listens and obeys.
func (m *machine) meet(t dispatch.Target) fleet.Verdict {
	if !m.listens() {
		return fleet.Unreachable
	}
	return m.obey(t)
}

// obey says whether the worker's present life carries out an order that it has got: Carried if so.
func (m *machine) obey(t dispatch.Target) fleet.Verdict {
	switch {
	case fleet.NameOf(m.name) != fleet.NameOf(t.Worker):
		return fleet.Replaced
	case t.Fence.Below(m.fence):
		return fleet.Fenced
	}
	m.fence = t.Fence
	return fleet.Carried
}

// start begins a run.
func (m *machine) start(o dispatch.Start) fleet.Verdict {
	r := m.find(o.Task)
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
		w.violated(fmt.Sprintf("%s was started, which nobody handed in", o.Task))
		return fleet.Invalid
	}
	need := s.Spec.Steps[o.Task.Step].Reserved()
	if !need.Fits(m.Capacity.Sub(m.used)) && w.now < m.formerUntil {
		return fleet.NoRoom
	}
	if !need.Fits(m.Capacity.Sub(m.used)) {
		w.violated(fmt.Sprintf("%s takes %s past its capacity", o.Task, m.name))
		return fleet.NoRoom
	}
	w.checkStart(s, o)
	w.checkDomain(m, o)
	m.highest[o.Task] = o.Run
	m.lease(o.Until)
	m.begins(s, o, need)
	return fleet.Carried
}

// stop ends a run, or keeps one from starting.
func (m *machine) stop(o dispatch.Stop) fleet.Verdict {
	if r := m.find(o.Task); r != nil && r.number == o.Run {
		r.stop()
	}
	m.highest[o.Task] = max(m.highest[o.Task], o.Run)
	return fleet.Carried
}

// find returns the run of a task, or nil.
func (m *machine) find(t job.Task) *run {
	for _, r := range m.runs {
		if r.task == t {
			return r
		}
	}
	return nil
}

// lease makes all that runs last until a time, and ends it then.
func (m *machine) lease(until fleet.Clock) {
	if most := m.world.setup.Times.MaxLease; most > 0 {
		until = min(until, m.clock()+fleet.Clock(most))
	}
	if until <= m.until {
		return
	}
	m.until = until
	life := m.life
	m.world.Plan(stretch(time.Duration(until-m.clock()), 1/m.rate)+1, func() {
		if m.until != until || m.life != life || !m.up {
			return
		}
		for i := range m.ends {
			m.ends[i].lapsed = true
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
	m.lease(o.Until)
	// A number that this life has not given yet is none of its own: as on the users' workers, it drops nothing until it is.
	for o.Told <= m.seq && len(m.ends) > 0 && m.ends[0].Seq <= o.Told {
		m.world.noted(m.ends[0])
		m.ends = m.ends[1:]
	}
	life, answered := m.life, false
	report := func() {
		if answered || m.life != life || !m.up {
			return
		}
		answered, m.held = true, nil
		answer(m.report())
	}
	if o.Wait == 0 || len(m.ends) > 0 {
		report()
		return
	}
	m.held = report
	m.world.Plan(o.Wait, report)
}

// report is what the worker says of itself.
func (m *machine) report() fleet.Report {
	rep := fleet.Report{Life: m.name, Clock: m.clock()}
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
func (m *machine) die(down time.Duration, next naming) {
	if !m.up {
		return
	}
	w := m.world
	m.up = false
	for len(m.runs) > 0 {
		m.runs[0].vanish()
	}
	m.held = nil
	m.earlier = m.listing()
	old, life := m.name, m.life
	w.Plan(w.setup.Times.MemberTTL, func() {
		if next == ownName || m.life == life {
			w.unlist(old)
		}
	})
	if down > 0 {
		w.Plan(down, func() {
			if m.life == life {
				m.begin(next)
				w.list(m.listing())
			}
		})
	}
}

// part cuts the worker off from the hosts and from the list, which drops it after a while and shows it again
// when it is back.
func (m *machine) part(lasts time.Duration) {
	if !m.up {
		return
	}
	w, life := m.world, m.life
	m.apartUntil = max(m.apartUntil, w.now.Add(lasts))
	w.Plan(w.setup.Times.MemberTTL, func() {
		if m.life == life && w.now < m.apartUntil {
			w.unlist(m.name)
		}
	})
	w.Plan(lasts, func() {
		if m.life == life && m.up && w.now >= m.apartUntil {
			w.list(m.listing())
		}
	})
}

// shrink makes the worker smaller for a while. What runs there goes on.
func (m *machine) shrink(lasts time.Duration, by float64) {
	m.Capacity = job.Resources{
		CPU: job.MilliCPU(float64(m.whole.CPU) / by), Memory: unit.Bytes(float64(m.whole.Memory) / by),
		Accelerators: int(float64(m.whole.Accelerators) / by),
	}
	m.formerUntil = m.world.now.Add(knownAfter)
	m.tell()
	m.world.Plan(lasts, func() {
		m.Capacity = m.whole
		m.tell()
	})
}

// tell writes the worker's entry anew, if it is up.
func (m *machine) tell() {
	if m.up && m.world.now >= m.apartUntil {
		m.world.list(m.listing())
	}
}

// showEarlier lets the list show the life before the present one for as long as an entry stands.
func (m *machine) showEarlier() {
	if m.earlier.ID == "" {
		return
	}
	old := m.earlier
	m.world.list(old)
	m.world.Plan(m.world.setup.Times.MemberTTL, func() {
		m.world.unlist(old.ID)
		m.tell() // where both have one name, the present life writes its entry again
	})
}

// readList lets the owner read the whole list, in the order of names backwards.
func (w *World) readList() {
	if w.owner == nil {
		return
	}
	all := slices.Clone(w.listed)
	slices.SortFunc(all, func(a, b fleet.Listing) int { return cmp.Compare(b.ID, a.ID) })
	w.owner.take(func(o *owner) {
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
	life := m.life
	m.world.Plan(remaining, func() {
		if m.life == life {
			m.die(back, ownName)
		}
	})
}
