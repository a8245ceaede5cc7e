package world

import (
	"time"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/unit"
)

// owner is the host that schedules. Its processor executes one work item at a
// time.
type owner struct {
	world      *World
	host       *host
	epoch      id.Epoch
	dispatcher *dispatch.Dispatcher
	// ended is set once the host isn't the owner any more.
	ended bool
	// queue holds the work items that wait for the processor. busy is set while
	// it works on one.
	queue []workItem
	busy  bool
	// nextPass is the earliest time of the next scheduling pass. plannedPass is
	// the time for which a pass is scheduled; 0 for none.
	nextPass, plannedPass unit.Instant
	writing               bool
	// connected holds the incarnation of each worker to which a connection is
	// open. It is only used with OnConnection.
	connected map[*machine]int
	// members has the newest run of each member of a gang that a worker has told
	// the owner of.
	members map[job.TaskID]job.RunNumber
}

// workItem is a unit of work of the owner's processor.
type workItem struct {
	// onBegin runs when the processor begins the item. It returns an additional
	// cost, as processor time on a whole core. onEnd runs at the end. Either
	// may be nil.
	onBegin  func() time.Duration
	cost     time.Duration
	onEnd    func()
	queuedAt unit.Instant
}

// takeOver makes a host the owner. It loads the state from the store.
func (w *World) takeOver(h *host, epoch id.Epoch) {
	if w.owner != nil {
		w.owner.end()
	}
	o := &owner{
		world: w, host: h, epoch: epoch, dispatcher: w.setup.NewDispatcher(epoch, w.table), nextPass: w.now,
		connected: map[*machine]int{}, members: map[job.TaskID]job.RunNumber{},
	}
	w.owner = o
	h.election.BecomeOwner(w.now)
	for _, g := range w.setup.Guarantees {
		o.dispatcher.SetGuarantee(g.Customer, g.Accelerators)
	}
	for _, s := range w.submissions {
		o.loadJob(s.Name)
	}
	if x := w.outage; h.startedAt <= x.began && x.ended != 0 && !w.inOutage() {
		o.dispatcher.NoteOutage(x.began, x.ended)
	}
	for _, l := range w.listings {
		o.dispatcher.LoadListing(w.now, l)
	}
	if w.setup.Handovers {
		o.useTold()
	}
	o.pollOperator()
	o.schedulePass(0)
}

// end takes the ownership from the host and discards the queued work.
func (o *owner) end() {
	if !o.ended && o.world.setup.Handovers && o.host.up {
		o.tellNextOwner()
	}
	o.ended, o.queue, o.host.lostEpoch = true, nil, o.epoch
	if o.world.owner == o {
		o.world.owner = nil
	}
}

// loadJob passes the stored record of a job to the dispatcher.
func (o *owner) loadJob(name id.Job) {
	e := o.world.table.Get(name)
	if e == nil || e.Spec == nil {
		return
	}
	now := o.world.now
	o.dispatcher.AddJob(now, name, e)
	if e.Cancelled {
		o.dispatcher.CancelJob(now, name)
	}
}

// enqueueEvent queues an event for the processor. A scheduling pass follows it.
func (o *owner) enqueueEvent(event func(*owner)) {
	o.enqueue(workItem{cost: o.world.setup.Costs.Event, onEnd: func() {
		event(o)
		o.schedulePass(0)
	}})
}

// enqueue adds a work item to the queue of the processor.
func (o *owner) enqueue(item workItem) {
	if o.ended {
		return
	}
	item.queuedAt = o.world.now
	o.queue = append(o.queue, item)
	if !o.busy {
		o.runNext()
	}
}

// runNext begins the next work item that takes processor time. Items before it
// that take no time are completed in the same call. While the host stands still,
// nothing begins.
func (o *owner) runNext() {
	w := o.world
	o.busy = true
	if w.now < o.host.stillUntil {
		w.agenda.Add(o.host.stillUntil, o.runNext)
		return
	}
	for len(o.queue) > 0 && !o.ended {
		item := o.queue[0]
		o.queue = o.queue[1:]
		w.tally.recordWait(w.now.Sub(item.queuedAt))
		cost := item.cost
		if item.onBegin != nil {
			cost += item.onBegin()
		}
		w.tally.OwnerCPUTime += cost
		if busyFor := scale(cost, 1/o.host.Cores); busyFor > 0 {
			w.tally.OwnerBusyTime += busyFor
			w.Schedule(busyFor, func() { o.finishItem(item) })
			return
		}
		if item.onEnd != nil {
			item.onEnd()
		}
	}
	o.busy = false
}

// finishItem ends a work item that has taken time.
func (o *owner) finishItem(item workItem) {
	if o.ended {
		return
	}
	if item.onEnd != nil {
		item.onEnd()
	}
	o.runNext()
}

// schedulePass schedules a scheduling pass after a delay, but not before
// nextPass.
func (o *owner) schedulePass(after time.Duration) {
	w := o.world
	at := max(w.now.Add(after), o.nextPass)
	if o.plannedPass != 0 && o.plannedPass <= at {
		return
	}
	o.plannedPass = at
	w.agenda.Add(at, func() {
		if o.plannedPass != at || o.ended {
			return
		}
		o.plannedPass = 0
		o.enqueuePass()
	})
}

// enqueuePass queues a scheduling pass for the processor.
func (o *owner) enqueuePass() {
	w := o.world
	var startedAt unit.Instant
	o.enqueue(workItem{
		onBegin: func() time.Duration {
			startedAt = w.now
			w.tally.Passes++
			if o.host.startedAt > w.outage.began {
				o.dispatcher.InheritOutage(startedAt, startedAt, w.table.Outage())
			}
			if err := o.dispatcher.ExpireTombstones(startedAt, startedAt, w.table); err != nil {
				w.recordViolation("cannot encode a tombstone: " + err.Error())
			}
			o.dispatcher.Pass(startedAt, startedAt)
			return o.passCost()
		},
		onEnd: func() {
			o.nextPass = max(startedAt.Add(w.setup.Times.MinPassInterval), w.now.Add(scale(w.now.Sub(startedAt), w.setup.Times.EventTimeFactor)))
			o.flush()
			o.sendOrders()
			o.countNotes()
			o.schedulePass(w.setup.Times.MaxPassInterval)
		},
	})
}

// passCost returns the processor time of a scheduling pass on a whole core.
func (o *owner) passCost() time.Duration {
	w, c := o.world, o.world.setup.Costs
	if c.Pass == 0 && c.Worker == 0 && c.Task == 0 {
		return 0
	}
	return c.Pass + c.Worker*time.Duration(len(w.machines)) + c.Task*time.Duration(w.openTasks())
}

// countNotes counts the events that the dispatcher noted, and records the
// violations among them. If a worker has fenced the dispatcher, or the fence
// can't be raised any more, countNotes ends the owner.
func (o *owner) countNotes() {
	w := o.world
	for _, n := range o.dispatcher.TakeNotes() {
		w.events[n.Event]++
		w.countPreemption(n)
		if w.setup.OnNote != nil {
			w.setup.OnNote(n)
		}
		if n.Event == dispatch.EventViolated {
			w.recordViolation("the dispatcher reported a violation: " + n.Why)
		}
	}
	if o.dispatcher.Fenced() {
		o.end()
	}
}

// flush writes the pending records to the store.
func (o *owner) flush() {
	w := o.world
	if o.writing || o.ended {
		return
	}
	b, pending, err := o.dispatcher.Flush()
	if err != nil {
		w.recordViolation("cannot encode the records of a batch: " + err.Error())
		return
	}
	if !pending {
		return
	}
	if b.Empty() {
		o.dispatcher.Committed(w.now, b)
		return
	}
	o.writing = true
	o.write(b, func() {
		o.enqueueEvent(func(*owner) {
			o.writing = false
			o.dispatcher.Committed(w.now, b)
			o.sendOrders()
			o.flush()
		})
	})
}

// write appends a batch to both logs at the same time, and calls done once both
// appends are complete. If a log refuses an append, write ends the owner.
func (o *owner) write(b dispatch.Batch, done func()) {
	pending := 0
	onAppend := func(stored bool) {
		if !stored {
			o.end()
			return
		}
		pending--
		if pending == 0 && !o.ended {
			done()
		}
	}
	parts := [logs][]jobtable.Record{jobsLog: b.Jobs, progressLog: b.Progress}
	for _, recs := range parts {
		if len(recs) > 0 {
			pending++
		}
	}
	for l, recs := range parts {
		if len(recs) > 0 {
			o.world.store.append(logName(l), o.epoch, recs, onAppend)
		}
	}
}

// sendOrders sends the orders that the dispatcher has released.
func (o *owner) sendOrders() {
	orders := o.dispatcher.TakeOrders()
	for _, x := range orders.Starts {
		maySend := func() bool {
			if o.dispatcher.StartRules().DenialReason(o.world.now, x.Domain) != "" {
				return false
			}
			o.world.checkCancelled(x)
			return true
		}
		o.sendOrder(x.Target, maySend, func(m *machine) fleet.Verdict { return m.startRun(x) }, func(v fleet.Verdict, c fleet.ClockReading) {
			o.dispatcher.Started(o.world.now, dispatch.StartResult{Start: x, Verdict: v, Clock: c})
			o.hearReport(v, fleet.Report{Running: []fleet.Running{{Task: x.Task, Run: x.Run}}})
		})
	}
	for _, x := range orders.Stops {
		o.sendOrder(x.Target, alwaysAllowed, func(m *machine) fleet.Verdict { return m.stopRun(x) }, func(v fleet.Verdict, c fleet.ClockReading) {
			o.dispatcher.Stopped(o.world.now, dispatch.StopResult{Stop: x, Verdict: v, Clock: c})
		})
	}
	for _, x := range orders.Paces {
		o.sendOrder(x.Target, alwaysAllowed, func(*machine) fleet.Verdict { return fleet.CarriedOut }, func(v fleet.Verdict, c fleet.ClockReading) {
			o.dispatcher.Paced(o.world.now, dispatch.PaceResult{Pace: x, Verdict: v, Clock: c})
		})
	}
	for _, x := range orders.Renews {
		o.enqueueSend(func() { o.sendRenew(x) })
	}
}

// enqueueSend sends an order once the processor and the network link are free.
func (o *owner) enqueueSend(transmit func()) {
	w := o.world
	o.enqueue(workItem{cost: w.setup.Costs.Order, onEnd: func() {
		w.linkFreeAt = max(w.linkFreeAt, w.now).Add(w.setup.Times.LinkTime)
		w.agenda.Add(w.linkFreeAt, transmit)
	}})
}

// alwaysAllowed permits an order to be sent at any time.
func alwaysAllowed() bool { return true }

// sendOrder sends one order once the processor and the link are free, and
// passes the answer to the dispatcher. If maySend returns false at that time,
// the order is not sent and counts as unreachable. An order that waits longer
// than the timeout is still sent and executed, but its answer is lost.
func (o *owner) sendOrder(t dispatch.Target, maySend func() bool, execute func(*machine) fleet.Verdict, answered func(fleet.Verdict, fleet.ClockReading)) {
	w := o.world
	decided := w.now
	o.enqueueSend(func() {
		m := w.byIncarnation[t.Worker]
		answer := func(v fleet.Verdict, after time.Duration) {
			w.Schedule(after, func() { o.enqueueEvent(func(*owner) { answered(v, m.clock()) }) })
		}
		if !maySend() {
			answer(fleet.Unreachable, 0)
			return
		}
		refused := func(r refusal) { answer(r.verdict, r.after) }
		o.connect(m, t, refused, func(c connection) { o.deliver(c, t, decided, execute, answer) })
	})
}

// deliver transmits an order on a connection. execute carries the order out at
// the worker, and answer passes the verdict to the owner after a delay. decided
// is when the owner decided to send the order. The verdict is Unknown if the
// order is late, the connection is closed or the worker is silent, and also if
// the answer would arrive more than the timeout after decided.
func (o *owner) deliver(c connection, t dispatch.Target, decided unit.Instant, execute func(*machine) fleet.Verdict,
	answer func(fleet.Verdict, time.Duration),
) {
	w, m := o.world, c.machine
	half := w.setup.Times.RoundTrip / 2
	arrive := func() {
		if !c.isOpen() {
			answer(fleet.Unknown, half)
			return
		}
		v := m.receiveOrder(t)
		if v == fleet.CarriedOut {
			v = execute(m)
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
	switch delay := w.lateOrders.delay(w, t); {
	case m.silent():
		answer(fleet.Unknown, w.setup.Times.Timeout)
	case delay > 0:
		answer(fleet.Unknown, w.setup.Times.Timeout)
		w.deliverLate(c, t, delay, execute)
	default:
		w.Schedule(half, arrive)
	}
}

// deliverLate executes an order after delay. With the delivery AtWorker, the
// order spends at most Times.Timeout of the delay in transit and waits at the
// worker for the rest. With the other deliveries, it is in transit for the
// whole delay. The order is dropped if it can't reach the worker on arrival, or
// if the worker's incarnation ends while the order waits there.
func (w *World) deliverLate(c connection, t dispatch.Target, delay time.Duration, execute func(*machine) fleet.Verdict) {
	m, transit := c.machine, delay
	if w.setup.Delivery == AtWorker {
		transit = min(delay, scale(w.setup.Times.Timeout, w.draw("way", t.Worker, w.lateOrders.sent)))
	}
	w.Schedule(transit, func() {
		if !m.reachable() || !c.isOpen() {
			return
		}
		incarnation := m.incarnation
		w.Schedule(delay-transit, func() {
			if !m.up || m.incarnation != incarnation || m.admitOrder(t) != fleet.CarriedOut {
				return
			}
			w.lateOrders.executing = true
			execute(m)
			w.lateOrders.executing = false
		})
	})
}

// sendRenew sends one renewal.
func (o *owner) sendRenew(x dispatch.Renew) {
	w := o.world
	m := w.byIncarnation[x.Worker]
	sent, half, answered := w.now, w.setup.Times.RoundTrip/2, false
	answer := func(v fleet.Verdict, rep fleet.Report, after time.Duration) {
		w.Schedule(after, func() {
			if answered {
				return
			}
			answered = true
			o.enqueueEvent(func(*owner) {
				o.dispatcher.Renewed(w.now, dispatch.RenewResult{Renew: x, Sent: sent, Verdict: v, Report: rep})
				o.hearReport(v, rep)
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
		// If the incarnation ends while the renewal waits at the worker, no
		// other answer arrives. This timeout then ends the renewal.
		answer(fleet.Unknown, fleet.Report{}, x.Wait+w.setup.Times.Timeout)
		w.Schedule(half, func() {
			if !c.isOpen() {
				answer(fleet.Unknown, fleet.Report{}, half)
				return
			}
			if v := m.receiveOrder(x.Target); v != fleet.CarriedOut {
				answer(v, fleet.Report{Clock: m.clock()}, half)
				return
			}
			m.renew(x, func(rep fleet.Report) {
				if m.silent() {
					answer(fleet.Unknown, fleet.Report{}, w.setup.Times.Timeout)
					return
				}
				v := fleet.CarriedOut
				if rep.Incarnation != x.Worker {
					v = fleet.Replaced
				}
				answer(v, rep, half)
			})
		})
	})
}
