// Package journal gets a host's own entries into the log, each at most once.
//
// A journal has one batch under way. Entries that arrive meanwhile wait and leave
// together in the next one (group commit). The batch is appended again, byte for
// byte, until it is read back from the log; an append's own answer is only a hint,
// because it can be lost while the append takes effect. When the batch is read
// back, each entry's verdict is known, and it is the same on every host.
package journal

import (
	"errors"
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/record"
	"curlewsill.org/curlewsill/core/unit"
)

// Limits of the journal.
const (
	// Interval is the shortest time between two batches of one host. With nine
	// hosts it keeps the log under its rate.
	Interval = 100 * time.Millisecond
	// RetryAfter is how long an append may stay unseen before it is tried again.
	RetryAfter = 2 * time.Second
	// maxWaiting bounds the entries that wait for a batch.
	maxWaiting = 4096
	// maxBatch bounds the entries of one batch.
	maxBatch = 256
	// maxBytes bounds the data of one batch, well under record.MaxSize.
	maxBytes = record.MaxSize / 2
)

// ErrFull reports that too many entries wait already.
var ErrFull = errors.New("journal: full")

// Ticket refers to an entry until its verdict is known.
type Ticket uint64

// Journal is the queue of a host's own entries. It is not safe for concurrent use.
type Journal struct {
	host id.Host
	life id.Incarnation
	seq  id.Seq
	next Ticket

	// waiting and tickets run in parallel.
	waiting []record.Entry
	tickets []Ticket

	// flight is the encoded batch under way, nil if there is none, and flying its
	// tickets.
	flight []byte
	flying []Ticket
	sent   unit.Instant
}

// New returns an empty journal for one life of a host.
func New(host id.Host, life id.Incarnation) *Journal {
	return &Journal{host: host, life: life}
}

// Add queues an entry. The ticket is settled by Applied.
func (j *Journal) Add(e record.Entry) (Ticket, error) {
	if len(j.waiting) >= maxWaiting {
		return 0, ErrFull
	}
	j.next++
	j.waiting = append(j.waiting, e)
	j.tickets = append(j.tickets, j.next)
	return j.next, nil
}

// Flush returns a record to append now, if there is one. Basis is the last offset
// that the host has applied.
func (j *Journal) Flush(now unit.Instant, basis id.Offset) ([]byte, error) {
	if j.flight != nil {
		if now.Sub(j.sent) < RetryAfter {
			return nil, nil
		}
		j.sent = now
		return j.flight, nil
	}
	if len(j.waiting) == 0 || now.Sub(j.sent) < Interval {
		return nil, nil
	}
	n := j.fit()
	raw, err := record.Encode(record.Batch{
		Version: record.Version, Host: j.host, Incarnation: j.life,
		Seq: j.seq + 1, Basis: basis, Entries: j.waiting[:n],
	})
	if err != nil {
		return nil, err
	}
	j.seq++
	j.flight, j.sent = raw, now
	j.flying = append([]Ticket(nil), j.tickets[:n]...)
	j.waiting, j.tickets = j.waiting[n:], j.tickets[n:]
	return raw, nil
}

// fit returns how many of the waiting entries go into one batch.
func (j *Journal) fit() int {
	n, size := 0, 0
	for _, e := range j.waiting {
		if e.Snapshot != nil {
			size += len(e.Snapshot.Data)
		}
		if n > 0 && (size > int(maxBytes) || n == maxBatch) {
			break
		}
		n++
	}
	return n
}

// Retry makes the next Flush append the batch under way again, because its append
// is known to have failed. The pause grows from Interval.
func (j *Journal) Retry(now unit.Instant) {
	if j.flight != nil {
		j.sent = now.Add(Interval*5 - RetryAfter)
	}
}

// Applied takes in a batch that was read back. If it is the one under way, it
// returns the tickets of its entries in the order of the batch.
func (j *Journal) Applied(b record.Batch) []Ticket {
	if b.Host != j.host || b.Incarnation != j.life || b.Seq != j.seq || j.flight == nil {
		return nil
	}
	done := j.flying
	j.flight, j.flying = nil, nil
	return done
}

// Landed takes in that a restored snapshot includes this life's batches up to seq.
// If the batch under way is among them, it returns the tickets of its entries; their
// verdicts can't be known any more.
func (j *Journal) Landed(seq id.Seq) []Ticket {
	if j.flight == nil || seq < j.seq {
		return nil
	}
	done := j.flying
	j.flight, j.flying = nil, nil
	return done
}

// Idle reports whether nothing waits and nothing is under way.
func (j *Journal) Idle() bool { return j.flight == nil && len(j.waiting) == 0 }
