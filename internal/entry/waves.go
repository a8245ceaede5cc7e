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
	// maxQueuedReports is how many reports on waves may wait to be written to
	// the store. A wave has two reports, so this is enough for 128 waves, more
	// than an operator starts at a time.
	maxQueuedReports = 256
	// machineListInterval is the pause between two reads of the list of machines
	// while the dispatcher needs it. The platform handles some 60 such calls a
	// second.
	machineListInterval = 500 * time.Millisecond
)

// applyWave applies the operator's request for a maintenance wave.
func (h *Host) applyWave(ctx context.Context, value []byte) {
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

// setWave passes a wave to the dispatcher, with the wall-clock time, by which
// the dispatcher computes the wave's age.
func (o *owner) setWave(now unit.Instant, w upkeep.Wave) {
	o.core.SetWave(now, unit.At(time.Now()), w)
}

// followMachines passes to the dispatcher which workers run on which machines,
// until ctx is done. It reads the list of machines only while the dispatcher needs
// it, because the list of workers usually shows which worker that is.
func (o *owner) followMachines(ctx context.Context) {
	dep := dependency{log: o.host.log, name: "list of machines"}
	for pause(ctx, machineListInterval) {
		wanted, ok := query(ctx, o.host, func(unit.Instant) bool { return o.core.NeedsMachineList() })
		if !ok || !wanted || o.host.settings.Machines == "" {
			continue
		}
		sentAt := o.host.now()
		incarnations, err := o.host.machines.List(ctx)
		if ctx.Err() != nil {
			return
		}
		dep.note(err)
		if err == nil {
			o.postIfOwner(ctx, func(now unit.Instant) {
				o.core.NoteMachines(now, dispatch.MachinesRead{AsOf: sentAt, Incarnations: incarnations})
			})
		}
	}
}

// queueReports queues reports on waves for writeReports.
func (o *owner) queueReports(reports []dispatch.WaveReport) {
	for _, r := range reports {
		if !o.reports.Offer(r) {
			o.host.log.Error("report-dropped", zap.Int("wave", int(r.Wave)), zap.Bool("finished", r.Finished))
		}
	}
}

// writeReports writes the queued reports on waves for the operator one after
// the other, until ctx is done or the store refuses a report because a later
// owner has written one.
func (o *owner) writeReports(ctx context.Context) {
	seq := uint64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-o.reports.C():
			rec, err := platform.WaveReportRecord(r)
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

// writeReport repeats an append until it succeeds, or can't succeed any more.
func (o *owner) writeReport(ctx context.Context, rec jobtable.Record, w platform.Writer) error {
	var b backoff
	for {
		began := time.Now()
		_, err := o.host.store.Append(ctx, platform.TopicStatus, []jobtable.Record{rec}, w)
		if err == nil || appendSettled(err) {
			return err
		}
		if !b.wait(ctx, began) {
			return ctx.Err()
		}
	}
}
