package node

import "curlewsill.org/curlewsill/core/id"

// maxRecent is the number of records kept for peers; maxRelayed and maxRelayBytes
// limit the records sent in one frame.
const (
	maxRecent     = 512
	maxRelayed    = 32
	maxRelayBytes = 128 << 10
)

// recent is a ring buffer of the newest records.
type recent struct {
	raw [maxRecent][]byte
	// last is the offset of the newest record, count the number of records.
	last  id.Offset
	count int
}

func (r *recent) add(off id.Offset, raw []byte) {
	if r.count > 0 && off != r.last+1 {
		r.count = 0
	}
	r.raw[off%maxRecent] = raw
	r.last = off
	r.count = min(r.count+1, maxRecent)
}

// after returns consecutive records from offset off+1 on, within the limits of one
// frame, and the offset of the first; none if they are no longer in the buffer.
func (r *recent) after(off id.Offset) (id.Offset, [][]byte) {
	if off >= r.last || r.last-off > id.Offset(r.count) {
		return 0, nil
	}
	var out [][]byte
	size := 0
	for o := off + 1; o <= r.last && len(out) < maxRelayed; o++ {
		raw := r.raw[o%maxRecent]
		size += len(raw)
		if len(out) > 0 && size > maxRelayBytes {
			break
		}
		out = append(out, raw)
	}
	return off + 1, out
}
