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
	// operatorLoss is the part of the time in which a configuration must be in force that is left when half of it is over: a read of what the
	// operator writes waits for the rest of that half, so that there is time for another one if the store has lost it. leastOperatorWait is for shorter bounds.
	operatorLoss      = 300 * time.Millisecond
	leastOperatorWait = 200 * time.Millisecond
	// newsReads is how many reads the owner makes within the time for which it goes by one: what a read tells is as old as its wait and
	// its way when it comes, and as old again when the next one does. With fewer, starts are withheld again and again while the
	// store is slow.
	newsReads = 4
)

// readOperator follows what the operator writes: the configuration, waves of maintenance and evacuations.
func (h *Host) readOperator(ctx context.Context) {
	t := &tail{host: h, topic: platform.TopicOperator, wait: h.waitOfOperator, pause: func() time.Duration { return 0 }}
	t.whole = func(recs []jobtable.Record, end id.Offset) {
		for _, r := range recs {
			h.takeOperator(ctx, r)
		}
		h.post(ctx, func(unit.Instant) { h.takeEvacuations(end, recs) })
	}
	t.more = func(recs []jobtable.Record, from id.Offset) {
		for i, r := range recs {
			h.takeOperator(ctx, r)
			if platform.IsEvacuation(r) {
				h.post(ctx, func(unit.Instant) { h.takeEvacuation(from+id.Offset(i), r) })
			}
		}
	}
	t.reached = func(left unit.Instant) {
		h.post(ctx, func(unit.Instant) { h.inform(left) }) // behind the records that it has brought
	}
	t.run(ctx)
}

// waitOfOperator returns how long a read of what the operator writes waits.
func (h *Host) waitOfOperator() time.Duration {
	wait := max(leastOperatorWait, h.settings.ConfigBound/2-operatorLoss)
	if age := h.settings.Workers.NewsAge(); age > 0 && h.metrics.owning.Load() {
		return min(wait, age/newsReads)
	}
	return wait
}

// takeOperator takes in a record of the operator that is in force whenever it was written.
func (h *Host) takeOperator(ctx context.Context, r jobtable.Record) {
	switch {
	case r.Key == platform.KeyConfig && len(r.Value) > 0:
		h.takeConfig(ctx, r.Value)
	case platform.IsWave(r):
		h.takeWave(ctx, r.Value)
	}
}

// takeConfig puts a configuration in force, unless a later one is.
func (h *Host) takeConfig(ctx context.Context, value []byte) {
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
