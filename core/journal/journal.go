// Package journal appends a host's own entries to the log, each at most once.
//
// A journal has at most one batch in flight. Entries that are added meanwhile
// wait and are appended together in the next batch (group commit). The journal
// appends the batch again, byte for byte, until it is read back from the log. The
// result of an append is not enough, because the answer can be lost although the
// append took effect. When the batch is read back, the verdict on each entry
// is known, and it is the same on every host.
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
	// Interval is the shortest time between two batches of one host. It keeps
	// nine hosts together below the rate limit of the log.
	Interval = 100 * time.Millisecond
	// RetryAfter is the timeout after which a batch that was not read back is
	// appended again.
	RetryAfter = 2 * time.Second
	// maxWaiting is the largest number of entries that wait for a batch.
	maxWaiting = 4096
	// maxBatch is the largest number of entries in one batch.
	maxBatch = 256
	// maxBytes limits the snapshot data of one batch, well below
	// record.MaxSize.
	maxBytes = record.MaxSize / 2
)

// ErrFull reports that the journal has too many waiting entries.
var ErrFull = errors.New("journal: full")

// Ticket identifies a queued entry until the verdict on it is known.
type Ticket uint64

// Journal is the queue of a host's own entries. It is not safe for concurrent use.
type Journal struct {
	host        id.Host
	incarnation id.Incarnation
	seq         id.Seq
	next        Ticket

	// tickets has the ticket of each entry of waiting, at the same index.
	waiting []record.Entry
	tickets []Ticket

	// inFlight is the encoded batch in flight, nil if there is none. sentTickets
	// has the tickets of its entries, and sentAt is when it was last appended.
	inFlight    []byte
	sentTickets []Ticket
	sentAt      unit.Instant
}

// New returns an empty journal for one incarnation of a host.
func New(host id.Host, incarnation id.Incarnation) *Journal {
	return &Journal{host: host, incarnation: incarnation}
}

// Add queues an entry. Applied or SnapshotRestored returns the ticket when the
// batch of the entry is known to be in the log.
func (j *Journal) Add(e record.Entry) (Ticket, error) {
	if len(j.waiting) >= maxWaiting {
		return 0, ErrFull
	}
	j.next++
	j.waiting = append(j.waiting, e)
	j.tickets = append(j.tickets, j.next)
	return j.next, nil
}

// Flush returns the encoded batch to append now, or nil if there is none. basis is
// the last offset that the host has applied.
func (j *Journal) Flush(now unit.Instant, basis id.Offset) ([]byte, error) {
	if j.inFlight != nil {
		if now.Sub(j.sentAt) < RetryAfter {
			return nil, nil
		}
		j.sentAt = now
		return j.inFlight, nil
	}
	if len(j.waiting) == 0 || now.Sub(j.sentAt) < Interval {
		return nil, nil
	}
	n := j.nextBatchLen()
	raw, err := record.Encode(record.Batch{
		Version: record.Version, Host: j.host, Incarnation: j.incarnation,
		Seq: j.seq + 1, BasisOffset: basis, Entries: j.waiting[:n],
	})
	if err != nil {
		return nil, err
	}
	j.seq++
	j.inFlight, j.sentAt = raw, now
	j.sentTickets = append([]Ticket(nil), j.tickets[:n]...)
	j.waiting, j.tickets = j.waiting[n:], j.tickets[n:]
	return raw, nil
}

// nextBatchLen returns how many of the waiting entries the next batch contains.
func (j *Journal) nextBatchLen() int {
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

// AppendFailed records that the append of the batch in flight has failed. Flush
// appends the batch again after 5 times Interval instead of RetryAfter.
func (j *Journal) AppendFailed(now unit.Instant) {
	if j.inFlight != nil {
		j.sentAt = now.Add(Interval*5 - RetryAfter)
	}
}

// Applied processes a batch that was read back from the log. If it is the batch in
// flight, Applied returns the tickets of its entries in the order of the batch.
func (j *Journal) Applied(b record.Batch) []Ticket {
	if b.Host != j.host || b.Incarnation != j.incarnation || b.Seq != j.seq || j.inFlight == nil {
		return nil
	}
	settled := j.sentTickets
	j.inFlight, j.sentTickets = nil, nil
	return settled
}

// SnapshotRestored records that a restored snapshot includes the batches of
// this incarnation up to seq. If the batch in flight is among them,
// SnapshotRestored returns the tickets of its entries. The verdicts on these
// entries can't be determined any more.
func (j *Journal) SnapshotRestored(seq id.Seq) []Ticket {
	if j.inFlight == nil || seq < j.seq {
		return nil
	}
	settled := j.sentTickets
	j.inFlight, j.sentTickets = nil, nil
	return settled
}

// Idle reports whether no entry waits and no batch is in flight.
func (j *Journal) Idle() bool { return j.inFlight == nil && len(j.waiting) == 0 }
