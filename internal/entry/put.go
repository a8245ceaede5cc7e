package entry

import (
	"context"
	"errors"
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/jobtable"
)

// outcome is what is known of a record that a call wants to have in the store.
type outcome int

const (
	// stored: the record is in the store.
	stored outcome = iota
	// notStored: the record isn't in the store and certainly never will be.
	notStored
	// unknownOutcome: the record may be in the store, or may still get there.
	unknownOutcome
)

// written is what is known of the write of one record.
type written struct {
	outcome outcome
	why     string
	// end is the offset after a stored record: a table that was applied up to it
	// has the record. It is 0 if it isn't known.
	end id.Offset
}

const (
	// queueWait is how long a record may wait in the queue behind a hanging
	// append before its call is refused. A slow store answers within 300 ms.
	queueWait = 400 * time.Millisecond
	// unknownWait is how long a call waits for an append in flight before its
	// outcome is reported as unknown, so that the client can ask another host.
	unknownWait = time.Second
	// waitShare and unknownShare limit queueWait and unknownWait to a share of
	// the remaining time of a client's call. A client that is refused late has
	// no time left to ask another host.
	waitShare    = 0.25
	unknownShare = 0.45
	// slowFactor times the duration of the last append is the minimum wait of a
	// call while appends succeed but are slow. This covers the append in
	// flight, the append with the call's own record, and some slack. In that
	// case the share for a record in flight limits both waits.
	slowFactor = 2.5
)

// timeShares limit how long a call waits for its record, as shares of the
// call's remaining time: queued while the record is in the queue, sent while it
// is in flight.
type timeShares struct{ queued, sent float64 }

var (
	// callerShares are the shares for a call from a client.
	callerShares = timeShares{queued: waitShare, sent: unknownShare}
	// forwardedShares are the shares for a record that another host forwards.
	// The time of such a call is already only a share of the time of the
	// client's call. What remains is reserved for the answer.
	forwardedShares = timeShares{queued: 0.5, sent: 0.9}
)

// put writes a record to the store. While the store is slow but answers, put
// sends the record to the owner instead, which appends the records of several
// hosts together.
func (h *Host) put(ctx context.Context, rec jobtable.Record) written {
	if got, tried := h.putByOwner(ctx, rec); tried {
		return got
	}
	return h.append(ctx, rec, callerShares)
}

// append writes a record to the store with this host's writer. It returns
// notStored only if the record certainly isn't in the store and never will be.
func (h *Host) append(ctx context.Context, rec jobtable.Record, share timeShares) written {
	p := h.writer.enqueue(rec)
	if p == nil {
		return written{outcome: notStored, why: "other calls wait for the store"}
	}
	queued, sent := h.recordWaits(ctx, share)
	queuedTimer, sentTimer := time.NewTimer(queued), time.NewTimer(sent)
	defer queuedTimer.Stop()
	defer sentTimer.Stop()
	for {
		select {
		case err := <-p.done:
			return p.result(err)
		case <-queuedTimer.C:
			p.failFast.Store(true)
			if p.withdraw() {
				return written{outcome: notStored, why: "the store doesn't answer"}
			}
		case <-sentTimer.C:
			return p.giveUp(h.writer.now())
		case <-ctx.Done():
			return p.giveUp(h.writer.now())
		}
	}
}

// recordWaits returns how long a call waits for its record to be sent, and how
// long for the answer.
func (h *Host) recordWaits(ctx context.Context, share timeShares) (queued, sent time.Duration) {
	slowWait := time.Duration(float64(h.writer.lastDuration()) * slowFactor)
	if slowWait > queueWait {
		return boundedWait(ctx, slowWait, share.sent), boundedWait(ctx, max(unknownWait, slowWait), share.sent)
	}
	return boundedWait(ctx, queueWait, share.queued), boundedWait(ctx, unknownWait, share.sent)
}

// boundedWait returns wait, but at most a share of the remaining time of a
// call.
func boundedWait(ctx context.Context, wait time.Duration, share float64) time.Duration {
	end, ok := ctx.Deadline()
	if !ok {
		return wait
	}
	return min(wait, time.Duration(float64(time.Until(end))*share))
}

// outcomeOf converts the result of a write to the outcome for its record.
func outcomeOf(err error) (outcome, string) {
	switch {
	case err == nil:
		return stored, ""
	case errors.Is(err, errNotWritten):
		return notStored, "the store takes no records"
	}
	return unknownOutcome, "the store's answer is unknown: " + err.Error()
}
