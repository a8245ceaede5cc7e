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

// The progress log holds the progress of jobs and waves, task by task. The
// owner writes it at each start and end of a task, so only hosts that may be
// the next owner follow it: if all hosts of a large site did, they would
// together read more than the store can deliver. A host that becomes the owner
// first fences earlier owners in this log and then reads it to its end, so that
// it continues from everything that any of them wrote.

// followPollInterval is the interval at which a host that doesn't follow a log
// checks whether it should.
const followPollInterval = 200 * time.Millisecond

// progressPosition is the table's position in the progress log.
type progressPosition struct {
	// complete is set while the table holds everything before next.
	complete bool
	next     id.Offset
}

// readProgress follows the progress log while this host is on standby, that is,
// while it would be among the first hosts to claim the ownership. The owner
// doesn't read the log, because the owner is its only writer.
func (h *Host) readProgress(ctx context.Context) {
	t := &tail{host: h, topic: platform.TopicProgress, wait: h.waitOfJobs, pause: func() time.Duration { return standbyPause }}
	t.enabled = func() bool { return h.standby.Load() && !h.metrics.owning.Load() }
	t.onLoad = func(recs []jobtable.Record, end id.Offset) {
		h.post(ctx, func(unit.Instant) { h.loadProgress(recs, end) })
	}
	t.onAppend = func(recs []jobtable.Record, from id.Offset) {
		h.post(ctx, func(unit.Instant) { h.applyProgress(recs, from) })
	}
	t.disabled = func() {
		h.post(ctx, func(unit.Instant) { h.forgetProgress() })
	}
	t.run(ctx)
}

// loadProgress replaces the table's copy of the progress log.
func (h *Host) loadProgress(recs []jobtable.Record, end id.Offset) {
	if h.progress.complete && end < h.progress.next {
		return // newer records were applied while this answer was on its way
	}
	h.table.ClearProgress()
	h.progress = progressPosition{complete: true, next: end}
	for _, r := range recs {
		h.applyProgressRecord(r)
	}
	h.log.Info("progress-loaded", zap.Int("records", len(recs)), zap.Uint64("end", uint64(end)))
}

// applyProgress applies the records of the progress log that the table doesn't
// hold yet.
func (h *Host) applyProgress(recs []jobtable.Record, from id.Offset) {
	if !h.progress.complete || from > h.progress.next {
		return // a gap: another read is in flight that fills it
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

// forgetProgress drops the table's copy of the progress log, which would become
// stale.
func (h *Host) forgetProgress() {
	h.progress = progressPosition{}
	h.table.ClearProgress()
}

// takeover is the state of this host while its claim is the newest one: from
// when it has read this claim until it is the owner.
type takeover struct {
	epoch  id.Epoch
	cancel context.CancelFunc
}

// beginTakeover makes the host the owner once it has read everything that
// earlier owners wrote, unless a later claim overtakes it.
func (h *Host) beginTakeover(epoch id.Epoch) {
	ctx, cancel := context.WithCancel(context.Background())
	h.takeover = &takeover{epoch: epoch, cancel: cancel}
	go func() {
		end, err := h.fenceEarlierOwners(ctx, epoch)
		if err == nil {
			err = h.completeTakeover(ctx, epoch, end)
		}
		if err != nil && ctx.Err() == nil {
			h.post(ctx, func(unit.Instant) { h.failTakeover(epoch, err) })
		}
	}()
}

// fenceEarlierOwners fences earlier owners in the progress log, and returns the
// end of the log: from then on only this host appends to it.
func (h *Host) fenceEarlierOwners(ctx context.Context, epoch id.Epoch) (id.Offset, error) {
	rec, err := jobtable.New().OwnerRecord(jobtable.Owner{Host: h.self, Epoch: epoch})
	if err != nil {
		return 0, err
	}
	var b backoff
	for ctx.Err() == nil {
		began := time.Now()
		end, err := h.store.Append(ctx, platform.TopicProgress, []jobtable.Record{rec}, platform.Writer{Name: ownerWriter, Epoch: epoch, Seq: firstSeq})
		h.metrics.storeCall("append", began, err)
		if appendSettled(err) {
			return end, err
		}
		b.wait(ctx, began)
	}
	return 0, ctx.Err()
}

// completeTakeover reads the progress log to its end and makes the host the
// owner. Its reads begin after earlier owners were fenced, so that a snapshot
// which it completes holds all that they wrote. The timeout grows while the
// store is overloaded: with a fixed one, a takeover failed once a second for 17 s
// at a store that answered after more than a second.
func (h *Host) completeTakeover(ctx context.Context, epoch id.Epoch, end id.Offset) error {
	var b backoff
	timeout := adaptiveTimeout{health: h.health}
	all := newSnapshot(h.store, platform.TopicProgress)
	for ctx.Err() == nil {
		began := time.Now()
		r, ok := query(ctx, h, func(now unit.Instant) takeoverState { return h.tryTakeOver(now, epoch, end) })
		if !ok || r.done {
			return ctx.Err()
		}
		err := h.catchUpProgress(timeout.apply(ctx), r.at, all)
		timeout.note(err)
		if err == nil {
			all = newSnapshot(h.store, platform.TopicProgress)
		} else {
			h.log.Info("progress-not-read", zap.Uint64("from", uint64(r.at.next)), zap.Uint64("end", uint64(end)), zap.Error(err))
			b.wait(ctx, began)
		}
	}
	return ctx.Err()
}

// takeoverState is the state of a takeover at one attempt to complete it.
type takeoverState struct {
	at progressPosition
	// done is set once nothing more is to be done: the host is the owner, or
	// another claim has replaced this one.
	done bool
}

// tryTakeOver makes the host the owner if the table holds the progress log up
// to the offset end. Otherwise it returns the position up to which the table
// holds the log. It does nothing if the takeover under the epoch is no longer
// in progress.
func (h *Host) tryTakeOver(now unit.Instant, epoch id.Epoch, end id.Offset) takeoverState {
	switch {
	case h.takeover == nil || h.takeover.epoch != epoch:
		return takeoverState{done: true}
	case !h.progress.complete || h.progress.next < end:
		return takeoverState{at: h.progress}
	}
	h.takeover = nil
	h.takeOver(now, epoch)
	return takeoverState{done: true}
}

// catchUpProgress reads the part of the progress log that the table lacks, or
// all of it, by s, if the table is incomplete or the store has dropped that
// part.
func (h *Host) catchUpProgress(ctx context.Context, at progressPosition, s *snapshot) error {
	if at.complete {
		p, err := h.store.Read(ctx, platform.TopicProgress, at.next, 0)
		if err == nil {
			h.post(ctx, func(unit.Instant) { h.applyProgress(p.Records, at.next) })
		}
		if !errors.Is(err, platform.ErrRecordsDropped) {
			return err
		}
	}
	recs, end, err := s.read(ctx)
	if err == nil {
		h.post(ctx, func(unit.Instant) { h.loadProgress(recs, end) })
	}
	return err
}

// failTakeover ends a claim that can't lead to the ownership. The host claims
// again unless another host has done so.
func (h *Host) failTakeover(epoch id.Epoch, err error) {
	if h.takeover == nil || h.takeover.epoch != epoch {
		return
	}
	h.log.Warn("claim-failed", zap.Uint64("epoch", uint64(epoch)), zap.Error(err))
	h.abandonTakeover()
	h.endedEpoch = epoch
}

// abandonTakeover cancels the takeover in progress, if there is one.
func (h *Host) abandonTakeover() {
	if h.takeover != nil {
		h.takeover.cancel()
		h.takeover = nil
	}
}
