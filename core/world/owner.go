package world

import (
	"time"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/unit"
)

// owner is the host that schedules. Its processor does one duty after the other.
type owner struct {
	world *World
	host  *host
	epoch id.Epoch
	core  *dispatch.Dispatcher
	// ended is set once another host is the owner, or none.
	ended bool
	// duties wait for the processor, which is busy while one is under way.
	queue []workItem
	busy  bool
	// next is when the next pass may begin, planned when one is planned for; 0 for none.
	nextPass, plannedPass unit.Instant
	writing               bool
	// connected holds the life of each worker to which a connection is open, by OnConnection.
	connected map[*machine]int
}

// duty is something that the processor does.
type workItem struct {
	// begin does what is done with the state as it is then, and returns what it takes of a
	// whole core; end does what follows. Either may be nil.
	onBegin  func() time.Duration
	cost     time.Duration
	onEnd    func()
	queuedAt unit.Instant
}

// takeOver makes a host the owner. It begins with what the store has.
func (w *World) takeOver(h *host, epoch id.Epoch) {
	if w.owner != nil {
		w.owner.end()
	}
	o := &owner{world: w, host: h, epoch: epoch, core: w.setup.Make(epoch, w.table), nextPass: w.now, connected: map[*machine]int{}}
	w.owner = o
	h.election.Owned(w.now)
	for _, g := range w.setup.Guarantees {
		o.core.Guarantee(g.Customer, g.Accelerators)
	}
	for _, s := range w.submissions {
		o.loadJob(s.Name)
	}
	for _, l := range w.listed {
		o.core.List(w.now, l)
	}
	o.pollOperator()
	o.schedulePass(0)
}

// end takes the ownership from the host: what its processor was to do isn't done.
func (o *owner) end() {
	o.ended, o.queue, o.host.lostEpoch = true, nil, o.epoch
	if o.world.owner == o {
		o.world.owner = nil
	}
}

// learn takes in what the store says of a job.
func (o *owner) loadJob(name id.Job) {
	e := o.world.table.Get(name)
	if e == nil || e.Spec == nil {
		return
	}
	now := o.world.now
	o.core.AddJob(now, name, e)
	if e.Cancelled {
		o.core.CancelJob(now, name)
	}
}

// take takes in one event when the processor comes to it; a pass follows.
func (o *owner) enqueueEvent(event func(*owner)) {
	o.enqueue(workItem{cost: o.world.setup.Costs.Event, onEnd: func() {
		event(o)
		o.schedulePass(0)
	}})
}

// do puts a duty into the queue of the processor.
func (o *owner) enqueue(d workItem) {
	if o.ended {
		return
	}
	d.queuedAt = o.world.now
	o.queue = append(o.queue, d)
	if !o.busy {
		o.runNext()
	}
}

// step begins the next duty. Those that take no time are done at once, one after the other.
func (o *owner) runNext() {
	w := o.world
	o.busy = true
	for len(o.queue) > 0 && !o.ended {
		d := o.queue[0]
		o.queue = o.queue[1:]
		w.tally.recordWait(w.now.Sub(d.queuedAt))
		cost := d.cost
		if d.onBegin != nil {
			cost += d.onBegin()
		}
		w.tally.Owned += cost
		if takes := scale(cost, 1/o.host.Cores); takes > 0 {
			w.tally.OwnedTime += takes
			w.Plan(takes, func() { o.finishItem(d) })
			return
		}
		if d.onEnd != nil {
			d.onEnd()
		}
	}
	o.busy = false
}

// finish ends a duty that has taken time.
func (o *owner) finishItem(d workItem) {
	if o.ended {
		return
	}
	if d.onEnd != nil {
		d.onEnd()
	}
	o.runNext()
}

// wake plans a pass after a time, but not before one is due.
func (o *owner) schedulePass(after time.Duration) {
	w := o.world
	at := max(w.now.Add(after), o.nextPass)
	if o.plannedPass != 0 && o.plannedPass <= at {
		return
	}
	o.plannedPass = at
	w.agenda.Plan(at, func() {
		if o.plannedPass != at || o.ended {
			return
		}
		o.plannedPass = 0
		o.enqueuePass()
	})
}

// pass lets the processor decide what is due.
func (o *owner) enqueuePass() {
	w := o.world
	var began unit.Instant
	o.enqueue(workItem{
		onBegin: func() time.Duration {
			began = w.now
			w.tally.Passes++
			o.core.Pass(began, began)
			return o.passCost()
		},
		onEnd: func() {
			o.nextPass = max(began.Add(w.setup.Times.PassEvery), w.now.Add(scale(w.now.Sub(began), w.setup.Times.PassShare)))
			o.flush()
			o.sendOrders()
			o.countNotes()
			o.schedulePass(w.setup.Times.IdleEvery)
		},
	})
}

// passCost returns what a pass takes of a whole core.
func (o *owner) passCost() time.Duration {
	w, c := o.world, o.world.setup.Costs
	if c.Pass == 0 && c.Worker == 0 && c.Task == 0 {
		return 0
	}
	return c.Pass + c.Worker*time.Duration(len(w.machines)) + c.Task*time.Duration(w.openTasks())
}

// notes counts what was decided. An owner that a worker has fenced gives up.
func (o *owner) countNotes() {
	w := o.world
	for _, n := range o.core.Notes() {
		w.events[n.Event]++
		if n.Event == dispatch.EventViolated {
			w.recordViolation("the owner found: " + n.Why)
		}
	}
	if o.core.Fenced() {
		o.end()
	}
}

// flush writes what has to be in the store.
func (o *owner) flush() {
	w := o.world
	if o.writing || o.ended {
		return
	}
	b, some, err := o.core.Flush()
	if err != nil {
		w.recordViolation("no records: " + err.Error())
		return
	}
	if !some {
		return
	}
	if b.Empty() {
		o.core.Committed(w.now, b)
		return
	}
	o.writing = true
	o.write(b, func() {
		o.enqueueEvent(func(*owner) {
			o.writing = false
			o.core.Committed(w.now, b)
			o.sendOrders()
			o.flush()
		})
	})
}

// write puts a batch into both logs at the same time, and calls done once it is there. An owner that a log refuses has ended.
func (o *owner) write(b dispatch.Batch, done func()) {
	left := 0
	taken := func(taken bool) {
		if !taken {
			o.end()
			return
		}
		left--
		if left == 0 && !o.ended {
			done()
		}
	}
	parts := [logs][]jobtable.Record{jobsLog: b.Jobs, progressLog: b.Progress}
	for _, recs := range parts {
		if len(recs) > 0 {
			left++
		}
	}
	for l, recs := range parts {
		if len(recs) > 0 {
			o.world.store.append(logName(l), o.epoch, recs, taken)
		}
	}
}

// handOut sends what was decided.
func (o *owner) sendOrders() {
	orders := o.core.Take()
	for _, x := range orders.Starts {
		leaves := func() bool { return o.core.StartRules().Forbid(o.world.now, x.Domain) == "" }
		o.sendOrder(x.Target, leaves, func(m *machine) fleet.Verdict { return m.startRun(x) }, func(v fleet.Verdict, c fleet.Clock) {
			o.core.Started(o.world.now, dispatch.StartResult{Start: x, Verdict: v, Clock: c})
		})
	}
	for _, x := range orders.Stops {
		o.sendOrder(x.Target, always, func(m *machine) fleet.Verdict { return m.stopRun(x) }, func(v fleet.Verdict, c fleet.Clock) {
			o.core.Stopped(o.world.now, dispatch.StopResult{Stop: x, Verdict: v, Clock: c})
		})
	}
	for _, x := range orders.Paces {
		o.sendOrder(x.Target, always, func(*machine) fleet.Verdict { return fleet.Carried }, func(v fleet.Verdict, c fleet.Clock) {
			o.core.Paced(o.world.now, dispatch.PaceResult{Pace: x, Verdict: v, Clock: c})
		})
	}
	for _, x := range orders.Renews {
		o.enqueueSend(func() { o.sendRenew(x) })
	}
}

// send lets an order leave when the processor and the link have come to it.
func (o *owner) enqueueSend(leave func()) {
	w := o.world
	o.enqueue(workItem{cost: w.setup.Costs.Order, onEnd: func() {
		w.linkFreeAt = max(w.linkFreeAt, w.now).Add(w.setup.Times.Gap)
		w.agenda.Plan(w.linkFreeAt, leave)
	}})
}

// always lets an order leave.
func always() bool { return true }

// order carries one order out, if it may leave when its turn has come, and takes its answer in. One that comes too late is lost.
func (o *owner) sendOrder(t dispatch.Target, leaves func() bool, carry func(*machine) fleet.Verdict, answered func(fleet.Verdict, fleet.Clock)) {
	w := o.world
	decided := w.now
	o.enqueueSend(func() {
		m := w.byIncarnation[t.Worker]
		answer := func(v fleet.Verdict, after time.Duration) {
			w.Plan(after, func() { o.enqueueEvent(func(*owner) { answered(v, m.clock()) }) })
		}
		if !leaves() {
			answer(fleet.Unreachable, 0)
			return
		}
		refused := func(r refusal) { answer(r.verdict, r.after) }
		o.connect(m, t, refused, func(c connection) { o.deliver(c, t, decided, carry, answer) })
	})
}

// leave lets an order that was decided at a time leave on a connection.
func (o *owner) deliver(c connection, t dispatch.Target, decided unit.Instant, carry func(*machine) fleet.Verdict, answer func(fleet.Verdict, time.Duration)) {
	w, m := o.world, c.machine
	half := w.setup.Times.Trip / 2
	give := func() {
		if !c.isOpen() {
			answer(fleet.Unknown, half)
			return
		}
		v := m.receiveOrder(t)
		if v == fleet.Carried {
			v = carry(m)
		}
		if v == fleet.Unknown {
			answer(v, w.setup.Times.Timeout)
			return
		}
		late := w.now.Add(half).Sub(decided) > w.setup.Times.Timeout
		if m.silent() || late {
			answer(fleet.Unknown, half)
			return
		}
		answer(v, half)
	}
	switch by := w.lateOrders.delay(w, t); {
	case m.silent():
		answer(fleet.Unknown, w.setup.Times.Timeout)
	case by > 0:
		answer(fleet.Unknown, w.setup.Times.Timeout)
		w.deliverLate(c, t, by, carry)
	default:
		w.Plan(half, give)
	}
}

// deliverLate carries an order out late, by the setup's Delivery.
func (w *World) deliverLate(c connection, t dispatch.Target, by time.Duration, carry func(*machine) fleet.Verdict) {
	m, way := c.machine, by
	if w.setup.Delivery == AtWorker {
		way = min(by, scale(w.setup.Times.Timeout, w.draw("way", t.Worker, w.lateOrders.sent)))
	}
	w.Plan(way, func() {
		if !m.reachable() || !c.isOpen() {
			return
		}
		life := m.incarnation
		w.Plan(by-way, func() {
			if !m.up || m.incarnation != life || m.admitOrder(t) != fleet.Carried {
				return
			}
			w.lateOrders.carrying = true
			carry(m)
			w.lateOrders.carrying = false
		})
	})
}

// renew carries one renewal out.
func (o *owner) sendRenew(x dispatch.Renew) {
	w := o.world
	m := w.byIncarnation[x.Worker]
	sent, half, answered := w.now, w.setup.Times.Trip/2, false
	answer := func(v fleet.Verdict, rep fleet.Report, after time.Duration) {
		w.Plan(after, func() {
			if answered {
				return
			}
			answered = true
			o.enqueueEvent(func(*owner) {
				o.core.Renewed(w.now, dispatch.RenewResult{Renew: x, Sent: sent, Verdict: v, Report: rep})
			})
		})
	}
	refused := func(r refusal) {
		if r.otherReport != nil {
			answer(fleet.Replaced, *r.otherReport, r.after)
			return
		}
		answer(r.verdict, fleet.Report{Clock: m.clock()}, r.after)
	}
	o.connect(m, x.Target, refused, func(c connection) {
		if m.silent() {
			answer(fleet.Unknown, fleet.Report{}, x.Wait+w.setup.Times.Timeout)
			return
		}
		// The answer never comes if the worker's life ends while the renewal waits there.
		answer(fleet.Unknown, fleet.Report{}, x.Wait+w.setup.Times.Timeout)
		w.Plan(half, func() {
			if !c.isOpen() {
				answer(fleet.Unknown, fleet.Report{}, half)
				return
			}
			if v := m.receiveOrder(x.Target); v != fleet.Carried {
				answer(v, fleet.Report{Clock: m.clock()}, half)
				return
			}
			m.renew(x, func(rep fleet.Report) {
				if m.silent() {
					answer(fleet.Unknown, fleet.Report{}, w.setup.Times.Timeout)
					return
				}
				v := fleet.Carried
				if rep.Life != x.Worker {
					v = fleet.Replaced
				}
				answer(v, rep, half)
			})
		})
	})
}
