package entry

import (
	"context"
	"errors"
	"time"

	"curlewsill.org/curlewsill/core/jobtable"
)

// outcome is what is known of a record that a call wants in the store.
type outcome int

const (
	// stored records are in the store.
	stored outcome = iota
	// notStored records surely never get there.
	notStored
	// unknownOutcome records may be in the store, or get there yet.
	unknownOutcome
)

const (
	// queueWait is how long a record may wait behind an append that hangs before
	// the call is refused. A slow store answers within 300 ms.
	queueWait = 400 * time.Millisecond
	// unknownWait is how long a call waits for an append that was sent before its
	// outcome is reported as unknown, so that the client can ask another host.
	unknownWait = time.Second
	// waitShare and unknownShare bound the two above by the part of its remaining time that a
	// client's call may spend on them. A client that is refused late has no time left to ask another
	// host.
	waitShare    = 0.25
	unknownShare = 0.45
	// slowFactor times the length of the last append is what a call waits at least while
	// appends are slow but end: the one under way, its own, and some slack. The part of its
	// time that it may spend is that of a record that has left, then.
	slowFactor = 2.5
)

// shares are the parts of its remaining time that a call may spend on a record that hasn't left, and on one that has.
type shares struct{ queued, sent float64 }

var (
	// callerShares are those of a client's call.
	callerShares = shares{queued: waitShare, sent: unknownShare}
	// gatheredShares are those of another host's call, whose time is a part of its client's already. What is left over is for the answer's way back.
	gatheredShares = shares{queued: 0.5, sent: 0.9}
)

// put gets a record into the store, through the owner while the store is slow.
func (h *Host) put(ctx context.Context, rec jobtable.Record) (outcome, string) {
	if got, why, tried := h.putByOwner(ctx, rec); tried {
		return got, why
	}
	return h.append(ctx, rec, callerShares)
}

// append gets a record into the store by this host's writer, and tells the truth: notStored only
// if it surely isn't there and won't be.
func (h *Host) append(ctx context.Context, rec jobtable.Record, part shares) (outcome, string) {
	p := h.writer.add(rec)
	if p == nil {
		return notStored, "other calls wait for the store"
	}
	queued, sent := h.patience(ctx, part)
	queuedTimer, sentTimer := time.NewTimer(queued), time.NewTimer(sent)
	defer queuedTimer.Stop()
	defer sentTimer.Stop()
	for {
		select {
		case err := <-p.done:
			return outcomeOf(err)
		case <-queuedTimer.C:
			p.hurried.Store(true)
			if p.withdraw() {
				return notStored, "the store doesn't answer"
			}
		case <-sentTimer.C:
			return p.giveUp()
		case <-ctx.Done():
			return p.giveUp()
		}
	}
}

// patience returns how long a call waits for its record to leave, and to be answered.
func (h *Host) patience(ctx context.Context, part shares) (queued, sent time.Duration) {
	last := time.Duration(float64(h.writer.lastTook()) * slowFactor)
	if last > queueWait {
		return within(ctx, last, part.sent), within(ctx, max(unknownWait, last), part.sent)
	}
	return within(ctx, queueWait, part.queued), within(ctx, unknownWait, part.sent)
}

// within returns a time to wait, bounded by a part of what is left of a call's time.
func within(ctx context.Context, wait time.Duration, part float64) time.Duration {
	end, ok := ctx.Deadline()
	if !ok {
		return wait
	}
	return min(wait, time.Duration(float64(time.Until(end))*part))
}

// outcomeOf tells what became of a record when its write has ended.
func outcomeOf(err error) (outcome, string) {
	switch {
	case err == nil:
		return stored, ""
	case errors.Is(err, errNotWritten):
		return notStored, "the store takes no records"
	}
	return unknownOutcome, "the store's answer is unknown: " + err.Error()
}
