// Package recovery restores the state of a host from a snapshot in the log. A host
// needs one if it can't replay the log from its last applied record, because the
// host is new or the log no longer has the records that follow.
//
// A Loader receives the records as they are read, and collects the chunks of
// snapshots among them. When it has all chunks of a snapshot and every record
// after those that the snapshot includes, the host restores the snapshot and
// replays these records.
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

// ChunkSize is the largest size of the snapshot data in one entry.
const ChunkSize = 64 * unit.KiB

// maxChunks limits a snapshot to 64 MiB.
const maxChunks = 1024

// Record is a record with its offset.
type Record struct {
	Offset id.Offset
	Raw    []byte
}

// snapshotKey identifies a snapshot by the last record that it includes and its
// digest.
type snapshotKey struct {
	covers id.Offset
	digest uint64
}

// Loader collects records until a snapshot among them can be restored.
type Loader struct {
	records []Record
	// chunks has the collected chunks of each snapshot, by SnapshotChunk.Index.
	chunks map[snapshotKey]map[int]record.SnapshotChunk
}

// New returns an empty loader.
func New() *Loader { return &Loader{chunks: map[snapshotKey]map[int]record.SnapshotChunk{}} }

// Add adds the next record. If its offset doesn't follow that of the previous
// record, the loader first drops everything that it has collected.
func (l *Loader) Add(offset id.Offset, raw []byte) {
	if n := len(l.records); n > 0 && l.records[n-1].Offset+1 != offset {
		*l = *New()
	}
	l.records = append(l.records, Record{offset, raw})
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

func (l *Loader) collect(c record.SnapshotChunk) {
	k := snapshotKey{c.Covers, c.Digest}
	if l.chunks[k] == nil {
		l.chunks[k] = map[int]record.SnapshotChunk{}
	}
	l.chunks[k][c.Index] = c
}

// Load restores the newest usable snapshot into st and returns the records that
// are to be replayed after it. It returns false if there is no usable snapshot
// yet. A snapshot is usable if it is complete and not older than st, and if the
// loader has every record that follows the snapshot.
func (l *Loader) Load(st *state.State) ([]Record, bool) {
	if len(l.records) == 0 {
		return nil, false
	}
	first := l.records[0].Offset
	var candidates []snapshotKey
	for k, chunks := range l.chunks {
		if complete(chunks) && k.covers+1 >= first && k.covers >= st.Applied {
			candidates = append(candidates, k)
		}
	}
	slices.SortFunc(candidates, func(a, b snapshotKey) int {
		return cmp.Or(cmp.Compare(b.covers, a.covers), cmp.Compare(a.digest, b.digest))
	})
	for _, k := range candidates {
		if errors.Is(st.Restore(joinChunks(l.chunks[k]), k.digest), state.ErrSnapshot) {
			continue
		}
		rest := slices.DeleteFunc(slices.Clone(l.records), func(r Record) bool { return r.Offset <= k.covers })
		*l = *New()
		return rest, true
	}
	return nil, false
}

func complete(chunks map[int]record.SnapshotChunk) bool {
	for _, c := range chunks {
		return len(chunks) == c.Count
	}
	return false
}

func joinChunks(chunks map[int]record.SnapshotChunk) []byte {
	var out []byte
	for i := range len(chunks) {
		out = append(out, chunks[i].Data...)
	}
	return out
}

// Split returns the entries with the chunks of a snapshot of st.
func Split(st *state.State) ([]record.Entry, error) {
	data, err := st.Snapshot()
	if err != nil {
		return nil, err
	}
	digest := xxhash.Sum64(data)
	var out []record.Entry
	for part := range slices.Chunk(data, int(ChunkSize)) {
		out = append(out, record.Entry{Snapshot: &record.SnapshotChunk{
			Covers: st.Applied, Index: len(out), Digest: digest, Data: part,
		}})
	}
	for i := range out {
		out[i].Snapshot.Count = len(out)
	}
	return out, nil
}
