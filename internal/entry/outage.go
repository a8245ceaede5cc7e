package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/unit"
)

// lateStart is how long after the store's first answer a host may not have seen an
// outage that others have recorded: the dispatcher uses a record for 8 s, by times
// of day that may differ by 5 s.
const lateStart = 13 * time.Second

// followOutages records that this host is running, and when it last heard another
// one. Only the deciding goroutine may call it.
func (h *Host) followOutages(now unit.Instant) { h.outages.Tick(now, now.Add(-h.links.Unheard())) }

// noteGroupCall records the result of a call about the group of live hosts, which
// has just ended. Candidates make several such calls a second.
func (h *Host) noteGroupCall(ctx context.Context, began unit.Instant, err error) {
	h.post(ctx, func(now unit.Instant) {
		h.followOutages(now)
		if err != nil {
			h.outages.Failed(began)
			return
		}
		if h.outages.Answered(len(h.others) == 0) {
			since, until := h.outages.Latest()
			h.log.Info("store-outage", zap.Duration("away", until.Sub(since)))
			h.recordOutage()
		}
	})
}

// recordOutage records for the next owner that an outage of the store has just
// ended: the owner's host may have started too late to have seen it. Each candidate
// does so, because those that record it first may fail.
func (h *Host) recordOutage() {
	r, err := h.table.OutageRecord(jobtable.Outage{Ended: unit.At(time.Now())})
	if err != nil {
		h.log.Error("record-not-encoded", zap.String("key", r.Key), zap.Error(err))
		return
	}
	if h.writer.enqueue(r) == nil {
		h.log.Warn("write-refused", zap.Int("records", 1))
	}
}
