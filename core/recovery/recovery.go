// Package recovery brings a host up to date that can't replay the log from where it
// stands, because it is new or because the log no longer keeps what it needs.
//
// A Loader is fed records as they are read, and collects the chunks of snapshots
// among them. When the chunks of one snapshot are complete and every later record
// is at hand, the host restores the snapshot and replays the rest.
package recovery

import (
	"cmp"
	"errors"
	"slices"

	"github.com/cespare/xxhash/v2"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/record"
	"curlewsill.org/curlewsill/core/state"
	"curlewsill.org/curlewsill/core/unit"
)

// ChunkSize is the largest part of a snapshot that one entry carries.
const ChunkSize = 64 * unit.KiB

// maxChunks bounds a snapshot to 64 MiB.
const maxChunks = 1024

// Record is a record with its offset.
type Record struct {
	Offset id.Offset
	Raw    []byte
}

type key struct {
	covers id.Offset
	digest uint64
}

// Loader collects records until a snapshot among them can be restored.
type Loader struct {
	records []Record
	parts   map[key]map[int]record.Chunk
}

// New returns an empty loader.
func New() *Loader { return &Loader{parts: map[key]map[int]record.Chunk{}} }

// Add takes in the next record. A record that doesn't follow the previous one makes
// the loader start anew.
func (l *Loader) Add(off id.Offset, raw []byte) {
	if n := len(l.records); n > 0 && l.records[n-1].Offset+1 != off {
		*l = *New()
	}
	l.records = append(l.records, Record{off, raw})
	b, err := record.Decode(raw)
	if err != nil {
		return
	}
	for _, e := range b.Entries {
		if c := e.Snapshot; c != nil && c.Count > 0 && c.Count <= maxChunks && c.Index >= 0 && c.Index < c.Count {
			l.collect(*c)
		}
	}
}

func (l *Loader) collect(c record.Chunk) {
	k := key{c.Covers, c.Digest}
	if l.parts[k] == nil {
		l.parts[k] = map[int]record.Chunk{}
	}
	l.parts[k][c.Index] = c
}

// Load restores the newest whole snapshot into st and returns the records that
// follow it. It reports false if there is none yet.
func (l *Loader) Load(st *state.State) ([]Record, bool) {
	if len(l.records) == 0 {
		return nil, false
	}
	first := l.records[0].Offset
	var keys []key
	for k, parts := range l.parts {
		if whole(parts) && k.covers+1 >= first && k.covers >= st.Applied {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b key) int {
		return cmp.Or(cmp.Compare(b.covers, a.covers), cmp.Compare(a.digest, b.digest))
	})
	for _, k := range keys {
		if errors.Is(st.Restore(join(l.parts[k]), k.digest), state.ErrSnapshot) {
			continue
		}
		rest := slices.DeleteFunc(slices.Clone(l.records), func(r Record) bool { return r.Offset <= k.covers })
		*l = *New()
		return rest, true
	}
	return nil, false
}

func whole(parts map[int]record.Chunk) bool {
	for _, c := range parts {
		return len(parts) == c.Count
	}
	return false
}

func join(parts map[int]record.Chunk) []byte {
	var out []byte
	for i := range len(parts) {
		out = append(out, parts[i].Data...)
	}
	return out
}

// Split returns the entries that carry a snapshot of st.
func Split(st *state.State) ([]record.Entry, error) {
	data, err := st.Snapshot()
	if err != nil {
		return nil, err
	}
	digest := xxhash.Sum64(data)
	var out []record.Entry
	for part := range slices.Chunk(data, int(ChunkSize)) {
		out = append(out, record.Entry{Snapshot: &record.Chunk{
			Covers: st.Applied, Index: len(out), Digest: digest, Data: part,
		}})
	}
	for i := range out {
		out[i].Snapshot.Count = len(out)
	}
	return out, nil
}
