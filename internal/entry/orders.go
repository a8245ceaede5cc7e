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

// handOut sends orders, each in a goroutine of its own: a worker has at most one
// renewal and one order for each of its runs under way.
func (o *owner) handOut(ctx context.Context) {
	orders := o.core.Take()
	for _, s := range orders.Starts {
		go o.send(ctx, "start", func() (fleet.Verdict, event) {
			res := o.host.workers.Start(ctx, s)
			return res.Verdict, func(now unit.Instant) { o.core.Started(now, res) }
		})
	}
	for _, s := range orders.Stops {
		go o.send(ctx, "stop", func() (fleet.Verdict, event) {
			res := o.host.workers.Stop(ctx, s)
			return res.Verdict, func(now unit.Instant) { o.core.Stopped(now, res) }
		})
	}
	for _, r := range orders.Renews {
		go o.send(ctx, "renew", func() (fleet.Verdict, event) {
			sent := o.host.now()
			v, report := o.host.workers.Renew(ctx, r)
			res := dispatch.RenewResult{Renew: r, Sent: sent, Verdict: v, Report: report}
			return v, func(now unit.Instant) { o.core.Renewed(now, res) }
		})
	}
	for _, p := range orders.Paces {
		go o.send(ctx, "pace", func() (fleet.Verdict, event) {
			res := o.host.workers.Pace(ctx, p)
			return res.Verdict, func(now unit.Instant) { o.core.Paced(now, res) }
		})
	}
	o.askAdvice(ctx, orders.Asks)
	o.takeDown(ctx, orders.Upkeeps)
	for _, r := range orders.Reports {
		if !o.reports.Offer(r) {
			o.host.log.Error("report-dropped", zap.Int("wave", int(r.Wave)), zap.Bool("finished", r.Finished))
		}
	}
}

// askAdvice hands out the questions to the advice service.
func (o *owner) askAdvice(ctx context.Context, questions []dispatch.Ask) {
	for _, q := range questions {
		go o.send(ctx, "ask", func() (fleet.Verdict, event) {
			sent := o.host.now()
			v, permits, valid := o.host.advice.Ask(ctx, q)
			res := dispatch.AskResult{Ask: q, Verdict: v, Permits: permits, Valid: valid, Sent: sent}
			return v, func(now unit.Instant) { o.core.Advised(now, res) }
		})
	}
}

// send makes one call to a worker, counts it by its verdict, and hands its result to the
// dispatcher.
func (o *owner) send(ctx context.Context, kind string, order func() (fleet.Verdict, event)) {
	began := time.Now()
	verdict, take := order()
	o.host.metrics.order(kind, began, verdict.String())
	o.answered(ctx, take)
}

// answered hands the result of an order to the dispatcher, if it is still in office.
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
