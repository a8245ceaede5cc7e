package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/platform"
)

const (
	// operatorRetryMargin is subtracted from half of the time within which a
	// configuration must be in force. The result is how long a read of the
	// operator's log waits at most, so that there is time for another read if
	// the store loses the first. minOperatorWait is the least value of this
	// wait, for short bounds.
	operatorRetryMargin = 300 * time.Millisecond
	minOperatorWait     = 200 * time.Millisecond
	// operatorReads is how many reads of the operator's log the owner makes
	// within the maximum age of its knowledge of evacuations. When the answer
	// to a read arrives, it may already be as old as the read's wait plus its
	// latency. Until the next answer arrives, this age doubles. With fewer
	// reads, starts are withheld again and again while the store is slow.
	operatorReads = 4
)

// readOperator follows the operator's log: the configuration, waves of
// maintenance and evacuations.
func (h *Host) readOperator(ctx context.Context) {
	t := &tail{host: h, topic: platform.TopicOperator, wait: h.waitOfOperator, pause: func() time.Duration { return 0 }}
	t.onLoad = func(recs []jobtable.Record, end id.Offset) {
		for _, r := range recs {
			h.applyOperatorRecord(ctx, r)
		}
		h.post(ctx, func(unit.Instant) { h.replaceEvacuations(end, recs) })
	}
	t.onAppend = func(recs []jobtable.Record, from id.Offset) {
		for i, r := range recs {
			h.applyOperatorRecord(ctx, r)
			if platform.IsEvacuation(r) {
				h.post(ctx, func(unit.Instant) { h.applyEvacuation(from+id.Offset(i), r) })
			}
		}
	}
	t.caughtUp = func(sentAt unit.Instant) {
		h.post(ctx, func(unit.Instant) { h.noteOperatorRead(sentAt) }) // handled after the records of the same read
	}
	t.run(ctx)
}

// waitOfOperator returns how long a read of the operator's log waits for new
// records.
func (h *Host) waitOfOperator() time.Duration {
	wait := max(minOperatorWait, h.settings.ConfigBound/2-operatorRetryMargin)
	if age := h.settings.Workers.MaxEvacuationAge(); age > 0 && h.metrics.owning.Load() {
		return min(wait, age/operatorReads)
	}
	return wait
}

// applyOperatorRecord applies a record of the operator's log whose effect
// doesn't depend on its offset: a configuration or a wave.
func (h *Host) applyOperatorRecord(ctx context.Context, r jobtable.Record) {
	switch {
	case r.Key == platform.KeyConfig && len(r.Value) > 0:
		h.applyConfig(ctx, r.Value)
	case platform.IsWave(r):
		h.applyWave(ctx, r.Value)
	}
}

// applyConfig puts a configuration in force, unless the one in force is as new
// or newer.
func (h *Host) applyConfig(ctx context.Context, value []byte) {
	c, err := platform.DecodeCatalog(value)
	if err != nil {
		h.log.Error("config-rejected", zap.Error(err))
		return
	}
	h.post(ctx, func(unit.Instant) {
		old := h.catalog.Load()
		if old != nil && old.Version >= c.Version {
			return
		}
		h.catalog.Store(c)
		from := int64(0)
		if old != nil {
			from = int64(old.Version)
		}
		h.log.Info("config-in-force", zap.Int64("from", from), zap.Int64("version", int64(c.Version)),
			zap.Int("queues", len(c.Queues)), zap.Int("customers", len(c.Customers)))
		if h.owner != nil {
			h.owner.configure(c)
		}
	})
}
