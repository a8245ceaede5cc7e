package entry

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/platform"
)

// reportsWaiting is how many reports on waves may wait for the store: two for each of more
// waves than an operator starts at a time.
const reportsWaiting = 256

// takeDown hands out the orders to take machines down.
func (o *owner) takeDown(ctx context.Context, orders []dispatch.Upkeep) {
	for _, u := range orders {
		go o.send(ctx, "upkeep", func() (fleet.Verdict, event) {
			v := o.host.machines.Upkeep(ctx, u)
			return v, func(now unit.Instant) { o.core.Upkept(now, dispatch.UpkeepResult{Upkeep: u, Verdict: v}) }
		})
	}
}

// lookEveryMachines is the pause between two reads of the list of machines while a wave has
// some whose worker isn't known. The platform takes some 60 such calls a second.
const lookEveryMachines = 500 * time.Millisecond

// followMachines tells the dispatcher which workers are lives of which machines, as long as
// that is asked for, until ctx is done. The list of workers may say it too.
func (o *owner) followMachines(ctx context.Context) {
	dep := dependency{log: o.host.log, name: "list of machines"}
	for pause(ctx, lookEveryMachines) {
		wanted, ok := ask(ctx, o.host, func(unit.Instant) bool { return o.core.MachinesWanted() })
		if !ok || !wanted || o.host.settings.Machines == "" {
			continue
		}
		lives, err := o.host.machines.List(ctx)
		if ctx.Err() != nil {
			return
		}
		dep.note(err)
		if err == nil {
			o.answered(ctx, func(now unit.Instant) { o.core.SetLives(now, lives) })
		}
	}
}

// report writes the reports on waves for the operator, one after the other, until ctx is
// done or a later owner has written.
func (o *owner) report(ctx context.Context) {
	seq := uint64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-o.reports.C():
			rec, err := platform.ReportRecord(r)
			if err != nil {
				o.host.log.Error("report-failed", zap.Int("wave", int(r.Wave)), zap.Error(err))
				continue
			}
			seq++
			if !o.writeReport(ctx, rec, platform.Writer{Name: ownerWriter, Epoch: o.epoch, Seq: seq}) {
				return
			}
		}
	}
}

// writeReport repeats an append until it is done. It reports whether this owner may go on
// writing.
func (o *owner) writeReport(ctx context.Context, rec jobtable.Record, w platform.Writer) bool {
	var b backoff
	for {
		_, err := o.host.store.Append(ctx, platform.TopicStatus, []jobtable.Record{rec}, w, nil)
		switch {
		case err == nil:
			return true
		case errors.Is(err, platform.ErrFenced), errors.Is(err, platform.ErrSequence), errors.Is(err, platform.ErrInvalid):
			o.host.log.Warn("report-failed", zap.String("key", rec.Key), zap.Error(err))
			return false
		}
		if !b.wait(ctx) {
			return false
		}
	}
}
