package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/internal/outbox"
	"curlewsill.org/curlewsill/internal/settings"
)

const (
	// maxFreshOrders limits the orders of one kind in flight that were sent
	// less than freshOrderAge ago; older ones don't count. Workers answer
	// within a few milliseconds, so 64 are enough for several thousand orders a
	// second. If a new owner sent all renewals at once, their goroutines would
	// starve the deciding goroutine.
	maxFreshOrders = 64
	freshOrderAge  = 100 * time.Millisecond
	// maxStarts and maxStops limit the number of goroutines for each kind of
	// order. The dispatcher's window also limits the starts in flight.
	maxStarts = 512
	maxStops  = 512
	// renewalDescriptorShare and renewalMemoryShare are the shares of the
	// host's file descriptors and memory for renewals that workers hold back.
	// Each busy worker holds one renewal back until it has something to report.
	// renewalBytes is the memory for one such renewal: a goroutine, a
	// connection and its buffers.
	renewalDescriptorShare = 0.5
	renewalMemoryShare     = 0.25
	renewalBytes           = 32 * unit.KiB
	// startsPerWorker, stopsPerWorker and renewalsPerWorker limit the orders in
	// flight to one worker. Their sum is workerConns, so that no kind of order
	// waits for connections that another kind uses.
	startsPerWorker   = 4
	stopsPerWorker    = 3
	renewalsPerWorker = workerConns - startsPerWorker - stopsPerWorker
	// maxQueuedOrders is how many orders of one kind may be queued: more than
	// there are tasks on 3,000 workers of 8 accelerators. A queued order takes
	// some 200 bytes.
	maxQueuedOrders = 1 << 15
)

// maxWaitingRenewals returns the maximum number of renewals that workers hold
// back at the same time until they have something to report.
func maxWaitingRenewals(s settings.Site) int {
	byMemory := renewalMemoryShare * float64(s.Memory) / float64(renewalBytes)
	return int(min(renewalDescriptorShare*float64(s.Descriptors), byMemory))
}

// outboxes hold the queued orders to workers, by kind, so that renewals and
// stops never wait behind starts.
type outboxes struct {
	starts, stops, renewals *outbox.Box[id.Worker]
}

// newOutboxes returns empty outboxes. waitingRenewals is the maximum number of
// renewals that workers hold back at the same time.
func newOutboxes(waitingRenewals int) outboxes {
	box := func(all, each int) *outbox.Box[id.Worker] {
		return outbox.New[id.Worker](outbox.Limits{Queued: maxQueuedOrders, Recent: maxFreshOrders, InFlight: all, RecentFor: freshOrderAge, PerReceiver: each})
	}
	return outboxes{
		starts: box(maxStarts, startsPerWorker), stops: box(maxStops, stopsPerWorker), renewals: box(waitingRenewals+maxFreshOrders, renewalsPerWorker),
	}
}

// close drops the queued orders.
func (b outboxes) close() {
	b.starts.Close()
	b.stops.Close()
	b.renewals.Close()
}

// sendOrders sends the orders that the dispatcher has decided. At any time at
// most the following are in flight: one renewal to each worker, one order for
// each run, one question to the advice service and, for each wave, one order
// for each machine that the wave may have down at a time.
func (o *owner) sendOrders(ctx context.Context) {
	orders := o.core.TakeOrders()
	o.enqueueOrders(ctx, orders)
	for _, x := range orders.Asks {
		go o.send(ctx, "ask", func() (fleet.Verdict, event) { return o.askAdvice(ctx, x) })
	}
	for _, x := range orders.Upkeeps {
		go o.send(ctx, "upkeep", func() (fleet.Verdict, event) { return o.takeDown(ctx, x) })
	}
	o.queueReports(orders.Reports)
}

// enqueueOrders queues the orders to workers.
func (o *owner) enqueueOrders(ctx context.Context, orders dispatch.Orders) {
	for _, x := range orders.Stops {
		o.enqueue(ctx, o.boxes.stops, "stop", x.Worker, o.stop(ctx, x), o.stopped(dispatch.StopResult{Stop: x}))
	}
	for _, x := range orders.Paces {
		o.enqueue(ctx, o.boxes.stops, "pace", x.Worker, o.pace(ctx, x), o.paced(dispatch.PaceResult{Pace: x}))
	}
	for _, x := range orders.Renews {
		o.enqueue(ctx, o.boxes.renewals, "renew", x.Worker, o.renew(ctx, x), o.renewed(dispatch.RenewResult{Renew: x, Sent: o.host.now()}))
	}
	for _, x := range orders.Starts {
		o.enqueue(ctx, o.boxes.starts, "start", x.Worker, o.start(ctx, x), o.started(dispatch.StartResult{Start: x}))
	}
}

// orderCall makes the call for an order. It returns the verdict, and an event
// that passes the result to the dispatcher.
type orderCall func() (fleet.Verdict, event)

// enqueue puts an order into a box. If the box is full, the order counts as one
// whose outcome is unknown.
func (o *owner) enqueue(ctx context.Context, box *outbox.Box[id.Worker], kind string, to id.Worker, makeCall orderCall, unknown event) {
	if !box.Put(to, func() { o.send(ctx, kind, makeCall) }) {
		o.host.metrics.ordersDropped.Inc()
		o.host.log.Warn("order-dropped", zap.String("kind", kind), zap.String("worker", string(to)))
		unknown(o.host.now())
	}
}

// start returns the call that sends a start order, unless the order may not be
// sent any more.
func (o *owner) start(ctx context.Context, s dispatch.Start) orderCall {
	return func() (fleet.Verdict, event) {
		res, denied := o.denyStart(s)
		if !denied {
			res = o.host.workers.Start(ctx, s)
		}
		return res.Verdict, o.started(res)
	}
}

// started returns the event that passes the result of a start order to the
// dispatcher.
func (o *owner) started(res dispatch.StartResult) event {
	return func(now unit.Instant) { o.core.Started(now, res) }
}

// stop returns the call that sends a stop order.
func (o *owner) stop(ctx context.Context, s dispatch.Stop) orderCall {
	return func() (fleet.Verdict, event) {
		res := o.host.workers.Stop(ctx, s)
		return res.Verdict, o.stopped(res)
	}
}

// stopped returns the event that passes the result of a stop order to the
// dispatcher.
func (o *owner) stopped(res dispatch.StopResult) event {
	return func(now unit.Instant) { o.core.Stopped(now, res) }
}

// renew returns the call that sends a renewal. The report in the answer is as
// of the time of sending or later.
func (o *owner) renew(ctx context.Context, r dispatch.Renew) orderCall {
	return func() (fleet.Verdict, event) {
		sent := o.host.now()
		v, report := o.host.workers.Renew(ctx, r)
		return v, o.renewed(dispatch.RenewResult{Renew: r, Sent: sent, Verdict: v, Report: report})
	}
}

// renewed returns the event that passes the result of a renewal to the
// dispatcher.
func (o *owner) renewed(res dispatch.RenewResult) event {
	return func(now unit.Instant) { o.core.Renewed(now, res) }
}

// pace returns the call that sends an order to change a run's speed.
func (o *owner) pace(ctx context.Context, p dispatch.Pace) orderCall {
	return func() (fleet.Verdict, event) {
		res := o.host.workers.Pace(ctx, p)
		return res.Verdict, o.paced(res)
	}
}

// paced returns the event that passes the result of an order to change a run's
// speed to the dispatcher.
func (o *owner) paced(res dispatch.PaceResult) event {
	return func(now unit.Instant) { o.core.Paced(now, res) }
}

// askAdvice asks the advice service for permits. The validity of the permits
// counts from the time at which the question was sent, because the service
// can't have issued them earlier.
func (o *owner) askAdvice(ctx context.Context, q dispatch.Ask) (fleet.Verdict, event) {
	sent := o.host.now()
	v, permits, valid := o.host.advice.Ask(ctx, q)
	res := dispatch.AskResult{Ask: q, Verdict: v, Permits: permits, ValidFor: valid, Sent: sent}
	return v, func(now unit.Instant) { o.core.Advised(now, res) }
}

// takeDown orders a machine to be taken down.
func (o *owner) takeDown(ctx context.Context, u dispatch.Upkeep) (fleet.Verdict, event) {
	v := o.host.machines.Upkeep(ctx, u)
	return v, func(now unit.Instant) { o.core.UpkeepAnswered(now, dispatch.UpkeepResult{Upkeep: u, Verdict: v}) }
}

// send makes one call, counts it by its verdict, and passes its result to the
// dispatcher.
func (o *owner) send(ctx context.Context, kind string, makeCall func() (fleet.Verdict, event)) {
	began := time.Now()
	verdict, result := makeCall()
	o.host.metrics.order(kind, began, verdict.String())
	o.postIfOwner(ctx, result)
}

// postIfOwner posts an event that the deciding goroutine drops if the host is
// no longer this owner.
func (o *owner) postIfOwner(ctx context.Context, e event) {
	o.host.post(ctx, func(now unit.Instant) {
		if o.host.owner == o {
			e(now)
		}
	})
}

// logDecisions logs and counts the dispatcher's decisions.
func (o *owner) logDecisions() {
	for _, n := range o.core.TakeNotes() {
		if n.Event == dispatch.EventViolated {
			o.host.metrics.faults.Inc()
		}
		o.host.metrics.decisions.WithLabelValues(string(n.Event)).Inc()
		o.host.log.Info(string(n.Event), append(noteFields(n), zap.Uint64("epoch", uint64(o.epoch)))...)
	}
}

// noteFields returns the log fields of a scheduling decision. It leaves out the
// fields of n that are unset.
func noteFields(n dispatch.Note) []zap.Field {
	var fields []zap.Field
	if n.Job != "" {
		fields = append(fields, zap.String("job", string(n.Job)))
	}
	if n.Task != (job.TaskID{}) {
		fields = append(fields, zap.Stringer("task", n.Task), zap.Int("run", int(n.Run)))
	}
	if n.Worker != "" {
		fields = append(fields, zap.String("worker", string(n.Worker)))
	}
	if n.Why != "" {
		fields = append(fields, zap.String("why", n.Why))
	}
	if n.Estimate != 0 {
		fields = append(fields, zap.Duration("estimate", n.Estimate))
	}
	if n.Age != 0 {
		fields = append(fields, zap.Duration("age", n.Age))
	}
	return fields
}
