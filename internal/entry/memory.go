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

// The owner's memory is the log that has the progress of jobs and waves. It is rewritten with each start and end of a task, so that only hosts that
// may be the next owner follow it: all hosts of a large site together would read more than the store gives. A host that becomes the owner
// closes it to earlier ones and then reads it to its end, so that it goes on from all that any of them has written.

// memoryLook is the pause of a host that doesn't follow the memory, until it looks whether it is to.
const memoryLook = 200 * time.Millisecond

// memory is how much of the owner's memory the table has.
type memory struct {
	// whole is set while the table has all up to next.
	whole bool
	next  id.Offset
}

// readMemory follows the owner's memory while this host would be among the first to claim. The owner itself needs to read nothing: it alone writes.
func (h *Host) readMemory(ctx context.Context) {
	t := &tail{host: h, topic: platform.TopicProgress, wait: h.waitOfJobs, pause: func() time.Duration { return standbyPause }}
	t.wanted = func() bool { return h.standby.Load() && !h.metrics.owning.Load() }
	t.whole = func(recs []jobtable.Record, end id.Offset) {
		h.post(ctx, func(unit.Instant) { h.loadMemory(recs, end) })
	}
	t.more = func(recs []jobtable.Record, from id.Offset) {
		h.post(ctx, func(unit.Instant) { h.applyMemory(recs, from) })
	}
	t.dropped = func() {
		h.post(ctx, func(unit.Instant) { h.forgetMemory() })
	}
	t.run(ctx)
}

// loadMemory replaces what the table has of the owner's memory.
func (h *Host) loadMemory(recs []jobtable.Record, end id.Offset) {
	if h.memory.whole && end < h.memory.next {
		return // an answer that was overtaken
	}
	h.table.ForgetProgress()
	h.memory = memory{whole: true, next: end}
	for _, r := range recs {
		h.applyProgress(r)
	}
	h.log.Info("memory-loaded", zap.Int("records", len(recs)), zap.Uint64("end", uint64(end)))
}

// applyMemory applies the records of the owner's memory that the table doesn't have yet.
func (h *Host) applyMemory(recs []jobtable.Record, from id.Offset) {
	if !h.memory.whole || from > h.memory.next {
		return // a gap: the read that fills it is on its way
	}
	for i, r := range recs {
		if offset := from + id.Offset(i); offset >= h.memory.next {
			h.applyProgress(r)
			h.memory.next = offset + 1
		}
	}
}

// applyProgress applies one record of the owner's memory.
func (h *Host) applyProgress(r jobtable.Record) {
	if err := h.table.ApplyProgress(r); err != nil {
		h.log.Error("record-rejected", zap.String("topic", string(platform.TopicProgress)), zap.Error(err))
	}
}

// forgetMemory drops what the table has of the owner's memory, which would grow old.
func (h *Host) forgetMemory() {
	h.memory = memory{}
	h.table.ForgetProgress()
}

// succession is a claim of this host that is the newest one, on its way to the ownership.
type succession struct {
	epoch  id.Epoch
	cancel context.CancelFunc
}

// succeed makes the host the owner once it has all that earlier owners have written, unless a later claim comes before.
func (h *Host) succeed(epoch id.Epoch) {
	ctx, cancel := context.WithCancel(context.Background())
	h.succession = &succession{epoch: epoch, cancel: cancel}
	go func() {
		end, err := h.closeMemory(ctx, epoch)
		if err == nil {
			err = h.takeOverFrom(ctx, epoch, end)
		}
		if err != nil && ctx.Err() == nil {
			h.post(ctx, func(unit.Instant) { h.fail(epoch, err) })
		}
	}()
}

// closeMemory keeps earlier owners from writing the memory, and returns its end: nobody but this host adds to it from then on.
func (h *Host) closeMemory(ctx context.Context, epoch id.Epoch) (id.Offset, error) {
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

// takeOverFrom brings the table to the end of the memory and makes the host the owner.
func (h *Host) takeOverFrom(ctx context.Context, epoch id.Epoch, end id.Offset) error {
	var b backoff
	for ctx.Err() == nil {
		began := time.Now()
		r, ok := ask(ctx, h, func(now unit.Instant) reached { return h.takeOverAt(now, epoch, end) })
		if !ok || r.done {
			return ctx.Err()
		}
		if err := h.catchUpMemory(ctx, r.memory); err != nil {
			h.log.Info("memory-not-read", zap.Uint64("from", uint64(r.memory.next)), zap.Uint64("end", uint64(end)), zap.Error(err))
			b.wait(ctx, began)
		}
	}
	return ctx.Err()
}

// reached is how far a claim has come.
type reached struct {
	memory memory
	// done is set once nothing is left to do for it: the host is the owner, or another claim has come.
	done bool
}

// takeOverAt makes the host the owner if the table has the memory up to its end.
func (h *Host) takeOverAt(now unit.Instant, epoch id.Epoch, end id.Offset) reached {
	switch {
	case h.succession == nil || h.succession.epoch != epoch:
		return reached{done: true}
	case !h.memory.whole || h.memory.next < end:
		return reached{memory: h.memory}
	}
	h.succession = nil
	h.takeOver(now, epoch)
	return reached{done: true}
}

// catchUpMemory reads what the table lacks of the owner's memory, or all of it.
func (h *Host) catchUpMemory(ctx context.Context, m memory) error {
	if m.whole {
		p, err := h.store.Read(ctx, platform.TopicProgress, m.next, 0)
		if err == nil {
			h.post(ctx, func(unit.Instant) { h.applyMemory(p.Records, m.next) })
		}
		if !errors.Is(err, platform.ErrForgotten) {
			return err
		}
	}
	recs, end, err := newest(ctx, h.store, platform.TopicProgress)
	if err == nil {
		h.post(ctx, func(unit.Instant) { h.loadMemory(recs, end) })
	}
	return err
}

// fail ends a claim that can't lead to the ownership. The host claims again unless another one has done so.
func (h *Host) fail(epoch id.Epoch, err error) {
	if h.succession == nil || h.succession.epoch != epoch {
		return
	}
	h.log.Warn("claim-failed", zap.Uint64("epoch", uint64(epoch)), zap.Error(err))
	h.abandonClaim()
	h.lost = epoch
}

// abandonClaim ends a claim that is on its way to the ownership, if there is one.
func (h *Host) abandonClaim() {
	if h.succession != nil {
		h.succession.cancel()
		h.succession = nil
	}
}
