// Package log is an in-memory fake of the platform's append-only log, for tests
// and stand-ins.
package log

import "curlewsill.org/curlewsill/core/id"

// Log is an append-only log that keeps a limited number of records. It is not
// safe for concurrent use.
type Log struct {
	// records holds the retained records; the first one has offset oldest.
	records [][]byte
	oldest  id.Offset
	// keep is the maximum number of retained records.
	keep int
}

// New returns an empty log that retains the newest keep records.
func New(keep int) *Log { return &Log{oldest: 1, keep: keep} }

// Append adds a record and returns its offset. It drops the oldest record when
// more than the maximum are retained.
func (l *Log) Append(raw []byte) id.Offset {
	l.records = append(l.records, raw)
	if excess := len(l.records) - l.keep; excess > 0 {
		l.records = append([][]byte(nil), l.records[excess:]...)
		l.oldest += id.Offset(excess)
	}
	return l.Head()
}

// Head returns the offset of the newest record, or 0 if none was ever appended.
func (l *Log) Head() id.Offset { return l.oldest + id.Offset(len(l.records)) - 1 }

// Oldest returns the offset of the oldest retained record, or the offset that the
// next record will get if the log is empty.
func (l *Log) Oldest() id.Offset { return l.oldest }

// DropBefore drops all records with an offset below off.
func (l *Log) DropBefore(off id.Offset) {
	for l.oldest < off && len(l.records) > 0 {
		l.records = l.records[1:]
		l.oldest++
	}
}

// Read returns up to limit records that begin at offset from, and the offset of
// the first one. If from was dropped already, it begins at the oldest retained
// record.
func (l *Log) Read(from id.Offset, limit int) (id.Offset, [][]byte) {
	from = max(from, l.oldest)
	if from > l.Head() {
		return from, nil
	}
	available := l.records[from-l.oldest:]
	return from, available[:min(limit, len(available))]
}
