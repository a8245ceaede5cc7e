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
	// freshOrders is how many orders of one kind may be under way that left within orderSettles.
	// Workers answer within a few milliseconds, so 64 carry several thousand orders a second; all
	// renewals of a new owner at once would leave the deciding goroutine no turn. What hangs for
	// longer makes room for others.
	freshOrders  = 64
	orderSettles = 100 * time.Millisecond
	// mostStarts and mostStops bound the goroutines for each kind of order. A window bounds the starts under way.
	mostStarts = 512
	mostStops  = 512
	// renewalDescriptors and renewalMemory are the parts of the host's descriptors and memory for the renewals that wait for news, one for
	// each worker that is at work; renewalBytes is what one takes: a goroutine, a connection and its buffers.
	renewalDescriptors = 0.5
	renewalMemory      = 0.25
	renewalBytes       = 32 * unit.KiB
	// startsEach, stopsEach and renewalsEach bound the orders under way to one worker. Together
	// they are workerConns, so that none of them waits for another kind's connections.
	startsEach   = 4
	stopsEach    = 3
	renewalsEach = workerConns - startsEach - stopsEach
	// waitingOrders is how many orders of one kind may wait: more than there are tasks on 3,000 workers of 8 accelerators. One takes some 200 bytes.
	waitingOrders = 1 << 15
)

// mostWaits returns how many renewals may wait for news at workers at a time.
func mostWaits(s settings.Site) int {
	byMemory := renewalMemory * float64(s.Memory) / float64(renewalBytes)
	return int(min(renewalDescriptors*float64(s.Descriptors), byMemory))
}

// outboxes hold the orders to workers that wait for their turn, so that renewals and stops never wait
// behind starts.
type outboxes struct {
	starts, stops, renewals *outbox.Box[id.Worker]
}

// newOutboxes returns empty ones, for so many renewals that wait for news.
func newOutboxes(waits int) outboxes {
	box := func(all, each int) *outbox.Box[id.Worker] {
		return outbox.New[id.Worker](outbox.Limits{Waiting: waitingOrders, Fresh: freshOrders, All: all, Settles: orderSettles, Each: each})
	}
	return outboxes{
		starts: box(mostStarts, startsEach), stops: box(mostStops, stopsEach), renewals: box(waits+freshOrders, renewalsEach),
	}
}

// close drops what waits.
func (b outboxes) close() {
	b.starts.Close()
	b.stops.Close()
	b.renewals.Close()
}

// handOut sends what the dispatcher has decided: a worker has at most one renewal and one
// order for each of its runs under way, a host one question to the advice service, and a wave as
// many orders as it may take machines down.
func (o *owner) handOut(ctx context.Context) {
	orders := o.core.Take()
	o.deliver(ctx, orders)
	for _, x := range orders.Asks {
		go o.send(ctx, "ask", func() (fleet.Verdict, event) { return o.askAdvice(ctx, x) })
	}
	for _, x := range orders.Upkeeps {
		go o.send(ctx, "upkeep", func() (fleet.Verdict, event) { return o.takeDown(ctx, x) })
	}
	o.offer(orders.Reports)
}

// deliver queues the orders to workers.
func (o *owner) deliver(ctx context.Context, orders dispatch.Orders) {
	for _, x := range orders.Stops {
		o.queue(ctx, o.boxes.stops, "stop", x.Worker, o.stop(ctx, x), o.stopped(dispatch.StopResult{Stop: x}))
	}
	for _, x := range orders.Paces {
		o.queue(ctx, o.boxes.stops, "pace", x.Worker, o.pace(ctx, x), o.paced(dispatch.PaceResult{Pace: x}))
	}
	for _, x := range orders.Renews {
		o.queue(ctx, o.boxes.renewals, "renew", x.Worker, o.renew(ctx, x), o.renewed(dispatch.RenewResult{Renew: x, Sent: o.host.now()}))
	}
	for _, x := range orders.Starts {
		o.queue(ctx, o.boxes.starts, "start", x.Worker, o.start(ctx, x), o.started(dispatch.StartResult{Start: x}))
	}
}

// sender makes the call for an order. It returns the verdict, and what hands the result to the
// dispatcher.
type sender func() (fleet.Verdict, event)

// queue puts an order into a box. If that is full, the order's result is that its fate is unknown.
func (o *owner) queue(ctx context.Context, box *outbox.Box[id.Worker], kind string, to id.Worker, by sender, unknown event) {
	if !box.Put(to, func() { o.send(ctx, kind, by) }) {
		o.host.metrics.ordersDropped.Inc()
		o.host.log.Warn("order-dropped", zap.String("kind", kind), zap.String("worker", string(to)))
		unknown(o.host.now())
	}
}

// start sends an order to start, unless it may not leave any more.
func (o *owner) start(ctx context.Context, s dispatch.Start) sender {
	return func() (fleet.Verdict, event) {
		res, held := o.held(s)
		if !held {
			res = o.host.workers.Start(ctx, s)
		}
		return res.Verdict, o.started(res)
	}
}

// started hands the result of an order to start to the dispatcher.
func (o *owner) started(res dispatch.StartResult) event {
	return func(now unit.Instant) { o.core.Started(now, res) }
}

// stop sends an order to stop.
func (o *owner) stop(ctx context.Context, s dispatch.Stop) sender {
	return func() (fleet.Verdict, event) {
		res := o.host.workers.Stop(ctx, s)
		return res.Verdict, o.stopped(res)
	}
}

// stopped hands the result of an order to stop to the dispatcher.
func (o *owner) stopped(res dispatch.StopResult) event {
	return func(now unit.Instant) { o.core.Stopped(now, res) }
}

// renew sends a renewal; what is told in its answer is as of when that left, or later.
func (o *owner) renew(ctx context.Context, r dispatch.Renew) sender {
	return func() (fleet.Verdict, event) {
		sent := o.host.now()
		v, report := o.host.workers.Renew(ctx, r)
		return v, o.renewed(dispatch.RenewResult{Renew: r, Sent: sent, Verdict: v, Report: report})
	}
}

// renewed hands the result of a renewal to the dispatcher.
func (o *owner) renewed(res dispatch.RenewResult) event {
	return func(now unit.Instant) { o.core.Renewed(now, res) }
}

// pace sends an order on a run's speed.
func (o *owner) pace(ctx context.Context, p dispatch.Pace) sender {
	return func() (fleet.Verdict, event) {
		res := o.host.workers.Pace(ctx, p)
		return res.Verdict, o.paced(res)
	}
}

// paced hands the result of an order on a run's speed to the dispatcher.
func (o *owner) paced(res dispatch.PaceResult) event {
	return func(now unit.Instant) { o.core.Paced(now, res) }
}

// askAdvice asks the advice service. Tickets count from the question at the earliest.
func (o *owner) askAdvice(ctx context.Context, q dispatch.Ask) (fleet.Verdict, event) {
	sent := o.host.now()
	v, permits, valid := o.host.advice.Ask(ctx, q)
	res := dispatch.AskResult{Ask: q, Verdict: v, Permits: permits, Valid: valid, Sent: sent}
	return v, func(now unit.Instant) { o.core.Advised(now, res) }
}

// takeDown orders a machine down.
func (o *owner) takeDown(ctx context.Context, u dispatch.Upkeep) (fleet.Verdict, event) {
	v := o.host.machines.Upkeep(ctx, u)
	return v, func(now unit.Instant) { o.core.Upkept(now, dispatch.UpkeepResult{Upkeep: u, Verdict: v}) }
}

// send makes one call, counts it by its verdict, and hands its result to the dispatcher.
func (o *owner) send(ctx context.Context, kind string, order func() (fleet.Verdict, event)) {
	began := time.Now()
	verdict, take := order()
	o.host.metrics.order(kind, began, verdict.String())
	o.answered(ctx, take)
}

// answered hands news to the dispatcher, if this owner is still in office then.
func (o *owner) answered(ctx context.Context, take event) {
	o.host.post(ctx, func(now unit.Instant) {
		if o.host.owner == o {
			take(now)
		}
	})
}

// tell logs and counts what was decided.
func (o *owner) tell() {
	for _, n := range o.core.Notes() {
		if n.Event == dispatch.EventViolated {
			o.host.metrics.faults.Inc()
		}
		o.host.metrics.decisions.WithLabelValues(string(n.Event)).Inc()
		o.host.log.Info(string(n.Event), append(noteFields(n), zap.Uint64("epoch", uint64(o.epoch)))...)
	}
}

// noteFields returns the fields of a decision that are set.
func noteFields(n dispatch.Note) []zap.Field {
	var fields []zap.Field
	if n.Job != "" {
		fields = append(fields, zap.String("job", string(n.Job)))
	}
	if n.Task != (job.Task{}) {
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
