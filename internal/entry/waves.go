package entry

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/core/upkeep"
	"curlewsill.org/curlewsill/platform"
)

const (
	// reportsWaiting is how many reports on waves may wait for the store: two for each of
	// more waves than an operator starts at a time.
	reportsWaiting = 256
	// machinesPause is the pause between two reads of the list of machines while a wave has
	// some whose worker isn't known. The platform takes some 60 such calls a second.
	machinesPause = 500 * time.Millisecond
)

// takeWave takes in that the operator asks for a wave of maintenance.
func (h *Host) takeWave(ctx context.Context, value []byte) {
	w, err := platform.DecodeWave(value)
	if err != nil {
		h.log.Error("wave-rejected", zap.Error(err))
		return
	}
	h.post(ctx, func(now unit.Instant) {
		h.waves[w.Number] = w
		if h.owner != nil {
			h.owner.setWave(now, w)
		}
	})
}

// setWave hands a wave to the dispatcher, which knows by the time of day how old it is.
func (o *owner) setWave(now unit.Instant, w upkeep.Wave) {
	o.core.SetWave(now, unit.At(time.Now()), w)
}

// followMachines tells the dispatcher which workers are lives of which machines, as long as
// that is asked for, until ctx is done. The list of workers may say it too.
func (o *owner) followMachines(ctx context.Context) {
	dep := dependency{log: o.host.log, name: "list of machines"}
	for pause(ctx, machinesPause) {
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

// offer hands reports on waves to the one who writes them.
func (o *owner) offer(reports []dispatch.WaveReport) {
	for _, r := range reports {
		if !o.reports.Offer(r) {
			o.host.log.Error("report-dropped", zap.Int("wave", int(r.Wave)), zap.Bool("finished", r.Finished))
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
			err = o.writeReport(ctx, rec, platform.Writer{Name: ownerWriter, Epoch: o.epoch, Seq: seq + 1})
			switch {
			case err == nil:
				seq++
			case ctx.Err() != nil:
				return
			default:
				o.host.log.Warn("report-failed", zap.String("key", rec.Key), zap.Error(err))
			}
			if errors.Is(err, platform.ErrFenced) {
				return
			}
		}
	}
}

// writeReport repeats an append until it is done, or can't be.
func (o *owner) writeReport(ctx context.Context, rec jobtable.Record, w platform.Writer) error {
	var b backoff
	for {
		began := time.Now()
		_, err := o.host.store.Append(ctx, platform.TopicStatus, []jobtable.Record{rec}, w)
		if err == nil || settled(err) {
			return err
		}
		if !b.wait(ctx, began) {
			return ctx.Err()
		}
	}
}
