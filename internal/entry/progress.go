package entry

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/platform"
)

// The progress log has how far jobs and waves are, task by task. The owner writes it with each start and end of a task, so that only hosts that
// may be the next owner follow it: all hosts of a large site together would read more than the store gives. A host that becomes the owner
// fences earlier owners there and then reads it to its end, so that it goes on from all that any of them has written.

// followLook is the pause of a host that doesn't follow the progress log, until it looks whether it is to.
const followLook = 200 * time.Millisecond

// progressAt is how much of the progress log the table has.
type progressAt struct {
	// whole is set while the table has all up to next.
	whole bool
	next  id.Offset
}

// readProgress follows the progress log while this host would be among the first to claim. The owner itself needs to read nothing: it alone writes.
func (h *Host) readProgress(ctx context.Context) {
	t := &tail{host: h, topic: platform.TopicProgress, wait: h.waitOfJobs, pause: func() time.Duration { return standbyPause }}
	t.wanted = func() bool { return h.standby.Load() && !h.metrics.owning.Load() }
	t.whole = func(recs []jobtable.Record, end id.Offset) {
		h.post(ctx, func(unit.Instant) { h.loadProgress(recs, end) })
	}
	t.more = func(recs []jobtable.Record, from id.Offset) {
		h.post(ctx, func(unit.Instant) { h.applyProgress(recs, from) })
	}
	t.dropped = func() {
		h.post(ctx, func(unit.Instant) { h.forgetProgress() })
	}
	t.run(ctx)
}

// loadProgress replaces what the table has of the progress log.
func (h *Host) loadProgress(recs []jobtable.Record, end id.Offset) {
	if h.progress.whole && end < h.progress.next {
		return // an answer that was overtaken
	}
	h.table.ForgetProgress()
	h.progress = progressAt{whole: true, next: end}
	for _, r := range recs {
		h.applyProgressRecord(r)
	}
	h.log.Info("progress-loaded", zap.Int("records", len(recs)), zap.Uint64("end", uint64(end)))
}

// applyProgress applies the records of the progress log that the table doesn't have yet.
func (h *Host) applyProgress(recs []jobtable.Record, from id.Offset) {
	if !h.progress.whole || from > h.progress.next {
		return // a gap: the read that fills it is on its way
	}
	for i, r := range recs {
		if offset := from + id.Offset(i); offset >= h.progress.next {
			h.applyProgressRecord(r)
			h.progress.next = offset + 1
		}
	}
}

// applyProgressRecord applies one record of the progress log.
func (h *Host) applyProgressRecord(r jobtable.Record) {
	if err := h.table.ApplyProgress(r); err != nil {
		h.log.Error("record-rejected", zap.String("topic", string(platform.TopicProgress)), zap.Error(err))
	}
}

// forgetProgress drops what the table has of the progress log, which would grow old.
func (h *Host) forgetProgress() {
	h.progress = progressAt{}
	h.table.ForgetProgress()
}

// takeover is a claim of this host that is the newest one, on its way to the ownership.
type takeover struct {
	epoch  id.Epoch
	cancel context.CancelFunc
}

// beginTakeover makes the host the owner once it has all that earlier owners have written, unless a later claim comes before.
func (h *Host) beginTakeover(epoch id.Epoch) {
	ctx, cancel := context.WithCancel(context.Background())
	h.takeover = &takeover{epoch: epoch, cancel: cancel}
	go func() {
		end, err := h.fenceEarlier(ctx, epoch)
		if err == nil {
			err = h.takeOverFrom(ctx, epoch, end)
		}
		if err != nil && ctx.Err() == nil {
			h.post(ctx, func(unit.Instant) { h.fail(epoch, err) })
		}
	}()
}

// fenceEarlier keeps earlier owners from writing the progress log, and returns its end: nobody but this host adds to it from then on.
func (h *Host) fenceEarlier(ctx context.Context, epoch id.Epoch) (id.Offset, error) {
	rec, err := jobtable.New().OwnerRecord(jobtable.Owner{Host: h.self, Epoch: epoch})
	if err != nil {
		return 0, err
	}
	var b backoff
	for ctx.Err() == nil {
		began := time.Now()
		end, err := h.store.Append(ctx, platform.TopicProgress, []jobtable.Record{rec}, platform.Writer{Name: ownerWriter, Epoch: epoch, Seq: firstSeq})
		h.metrics.storeCall("append", began, err)
		if settled(err) {
			return end, err
		}
		b.wait(ctx, began)
	}
	return 0, ctx.Err()
}

// takeOverFrom brings the table to the end of the progress log and makes the host the owner.
func (h *Host) takeOverFrom(ctx context.Context, epoch id.Epoch, end id.Offset) error {
	var b backoff
	for ctx.Err() == nil {
		began := time.Now()
		r, ok := ask(ctx, h, func(now unit.Instant) reached { return h.takeOverAt(now, epoch, end) })
		if !ok || r.done {
			return ctx.Err()
		}
		if err := h.catchUpProgress(ctx, r.at); err != nil {
			h.log.Info("progress-not-read", zap.Uint64("from", uint64(r.at.next)), zap.Uint64("end", uint64(end)), zap.Error(err))
			b.wait(ctx, began)
		}
	}
	return ctx.Err()
}

// reached is how far a claim has come.
type reached struct {
	at progressAt
	// done is set once nothing is left to do for it: the host is the owner, or another claim has come.
	done bool
}

// takeOverAt makes the host the owner if the table has the progress log up to its end.
func (h *Host) takeOverAt(now unit.Instant, epoch id.Epoch, end id.Offset) reached {
	switch {
	case h.takeover == nil || h.takeover.epoch != epoch:
		return reached{done: true}
	case !h.progress.whole || h.progress.next < end:
		return reached{at: h.progress}
	}
	h.takeover = nil
	h.takeOver(now, epoch)
	return reached{done: true}
}

// catchUpProgress reads what the table lacks of the progress log, or all of it.
func (h *Host) catchUpProgress(ctx context.Context, at progressAt) error {
	if at.whole {
		p, err := h.store.Read(ctx, platform.TopicProgress, at.next, 0)
		if err == nil {
			h.post(ctx, func(unit.Instant) { h.applyProgress(p.Records, at.next) })
		}
		if !errors.Is(err, platform.ErrForgotten) {
			return err
		}
	}
	recs, end, err := newest(ctx, h.store, platform.TopicProgress)
	if err == nil {
		h.post(ctx, func(unit.Instant) { h.loadProgress(recs, end) })
	}
	return err
}

// fail ends a claim that can't lead to the ownership. The host claims again unless another one has done so.
func (h *Host) fail(epoch id.Epoch, err error) {
	if h.takeover == nil || h.takeover.epoch != epoch {
		return
	}
	h.log.Warn("claim-failed", zap.Uint64("epoch", uint64(epoch)), zap.Error(err))
	h.abandonTakeover()
	h.lost = epoch
}

// abandonTakeover ends a claim that is on its way to the ownership, if there is one.
func (h *Host) abandonTakeover() {
	if h.takeover != nil {
		h.takeover.cancel()
		h.takeover = nil
	}
}
