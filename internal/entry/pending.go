package entry

import (
	"sync/atomic"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/unit"
)

// The states of a pending record. A record that the store has definitely
// refused is queued again until the next attempt is sent.
const (
	writeQueued int32 = iota
	writeSent
	writeWithdrawn
)

// pending is a record that is being written to the store.
type pending struct {
	record jobtable.Record
	// queuedAt is when the record was queued, and endedAt when its call ended while
	// the outcome was unknown, in nanoseconds; 0 while the call waits.
	queuedAt unit.Instant
	endedAt  atomic.Int64
	// tries counts the appends that were sent with the record, the last one at
	// sentAt. Only the writer's goroutine may use them.
	tries  int
	sentAt unit.Instant
	state  atomic.Int32
	// failFast is set once the caller wants a refusal as soon as it is certain,
	// instead of further attempts.
	failFast atomic.Bool
	// done receives nil once the record is in the store, and errNotWritten if
	// it is definitely not.
	done chan error
	// end is the offset after the record; valid once done has received nil.
	end id.Offset
}

// size returns the size of the record in bytes.
func (p *pending) size() int64 { return int64(len(p.record.Key) + len(p.record.Value)) }

// result returns what is known of the record after its write has ended.
func (p *pending) result(err error) written {
	got, why := outcomeOf(err)
	w := written{outcome: got, why: why}
	if err == nil {
		w.end = p.end
	}
	return w
}

// withdraw cancels a record that hasn't been sent, or that the store has
// definitely refused each time. It reports whether it succeeded.
func (p *pending) withdraw() bool { return p.state.CompareAndSwap(writeQueued, writeWithdrawn) }

// giveUp stops waiting for a record at a time. A result that is already there takes
// precedence: after a stall of the process, the result and the timeout are
// there at the same time.
func (p *pending) giveUp(now unit.Instant) written {
	select {
	case err := <-p.done:
		return p.result(err)
	default:
	}
	if p.withdraw() {
		return written{outcome: notStored, why: "the store doesn't answer"}
	}
	p.endedAt.Store(int64(now))
	return written{outcome: unknownOutcome, why: "the store has not answered in time"}
}
