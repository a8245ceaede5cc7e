package entry

import (
	"sync/atomic"

	"curlewsill.org/curlewsill/core/jobtable"
)

// The states of a pending record. One that the store has surely refused is queued again until
// the next try leaves.
const (
	writeQueued int32 = iota
	writeSent
	writeWithdrawn
)

// pending is a record on its way to the store.
type pending struct {
	record jobtable.Record
	state  atomic.Int32
	// hurried is set once the record's call wants to be refused as soon as that is true.
	hurried atomic.Bool
	// done receives nil once the record is in the store, errNotWritten if it
	// surely isn't.
	done chan error
}

// withdraw takes a record back that has not left, or was surely refused each time. It reports
// whether that was so.
func (p *pending) withdraw() bool { return p.state.CompareAndSwap(writeQueued, writeWithdrawn) }

// giveUp ends the waiting for a record. What is known by then goes first: a host that has stood still finds both at once.
func (p *pending) giveUp() (outcome, string) {
	select {
	case err := <-p.done:
		return outcomeOf(err)
	default:
	}
	if p.withdraw() {
		return notStored, "the store doesn't answer"
	}
	return unknownOutcome, "the store has not answered in time"
}
