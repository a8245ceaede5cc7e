// Package log is the platform's append-only log for tests and stand-ins, in memory.
package log

import "curlewsill.org/curlewsill/core/id"

// Log is an append-only log that keeps a limited number of records. It is not safe
// for concurrent use.
type Log struct {
	// records holds the kept records; the first has offset oldest.
	records [][]byte
	oldest  id.Offset
	keep    int
}

// New returns an empty log that keeps the last keep records.
func New(keep int) *Log { return &Log{oldest: 1, keep: keep} }

// Append adds a record and returns its offset.
func (l *Log) Append(raw []byte) id.Offset {
	l.records = append(l.records, raw)
	if drop := len(l.records) - l.keep; drop > 0 {
		l.records = append([][]byte(nil), l.records[drop:]...)
		l.oldest += id.Offset(drop)
	}
	return l.Head()
}

// Head returns the offset of the newest record; 0 if there never was one.
func (l *Log) Head() id.Offset { return l.oldest + id.Offset(len(l.records)) - 1 }

// Oldest returns the offset of the oldest record that is kept.
func (l *Log) Oldest() id.Offset { return l.oldest }

// Forget drops all records before off.
func (l *Log) Forget(off id.Offset) {
	for l.oldest < off && len(l.records) > 0 {
		l.records = l.records[1:]
		l.oldest++
	}
}

// Read returns up to limit records from offset from on, or from the oldest one kept
// if from was forgotten, with the offset of the first.
func (l *Log) Read(from id.Offset, limit int) (id.Offset, [][]byte) {
	from = max(from, l.oldest)
	if from > l.Head() {
		return from, nil
	}
	part := l.records[from-l.oldest:]
	return from, part[:min(limit, len(part))]
}
