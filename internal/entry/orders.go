package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/unit"
)

// handOut sends what the dispatcher has decided: a worker has at most one renewal and one
// order for each of its runs under way, a host one question to the advice service.
func (o *owner) handOut(ctx context.Context) {
	orders := o.core.Take()
	sendEach(ctx, o, "start", orders.Starts, o.start)
	sendEach(ctx, o, "stop", orders.Stops, o.stop)
	sendEach(ctx, o, "renew", orders.Renews, o.renew)
	sendEach(ctx, o, "pace", orders.Paces, o.pace)
	sendEach(ctx, o, "ask", orders.Asks, o.askAdvice)
	sendEach(ctx, o, "upkeep", orders.Upkeeps, o.takeDown)
	o.offer(orders.Reports)
}

// sender makes the call for an order. It returns the verdict, and what hands the result to the
// dispatcher.
type sender[T any] func(context.Context, T) (fleet.Verdict, event)

// sendEach sends orders of one kind, each in a goroutine of its own.
func sendEach[T any](ctx context.Context, o *owner, kind string, orders []T, by sender[T]) {
	for _, x := range orders {
		go o.send(ctx, kind, func() (fleet.Verdict, event) { return by(ctx, x) })
	}
}

// start sends an order to start.
func (o *owner) start(ctx context.Context, s dispatch.Start) (fleet.Verdict, event) {
	res := o.host.workers.Start(ctx, s)
	return res.Verdict, func(now unit.Instant) { o.core.Started(now, res) }
}

// stop sends an order to stop.
func (o *owner) stop(ctx context.Context, s dispatch.Stop) (fleet.Verdict, event) {
	res := o.host.workers.Stop(ctx, s)
	return res.Verdict, func(now unit.Instant) { o.core.Stopped(now, res) }
}

// renew sends a renewal; what is told in its answer is as of when that left, or later.
func (o *owner) renew(ctx context.Context, r dispatch.Renew) (fleet.Verdict, event) {
	sent := o.host.now()
	v, report := o.host.workers.Renew(ctx, r)
	res := dispatch.RenewResult{Renew: r, Sent: sent, Verdict: v, Report: report}
	return v, func(now unit.Instant) { o.core.Renewed(now, res) }
}

// pace sends an order on a run's speed.
func (o *owner) pace(ctx context.Context, p dispatch.Pace) (fleet.Verdict, event) {
	res := o.host.workers.Pace(ctx, p)
	return res.Verdict, func(now unit.Instant) { o.core.Paced(now, res) }
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
