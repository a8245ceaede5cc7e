package entry

import (
	"cmp"
	"context"
	"errors"
	"slices"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/platform"
)

// snapshot reads the newest record of each key of a topic, page by page. It
// keeps the pages that were read before a failure: if each failure discarded
// them, the readers of an overloaded store would keep it overloaded.
type snapshot struct {
	store *platform.Store
	topic platform.Topic
	// records are those of the pages read so far, in the order of keys, with their
	// offsets. end is the topic's end as of the first page.
	records []jobtable.Record
	offsets []id.Offset
	end     id.Offset
	// begun is set once the first page was read.
	begun bool
}

func newSnapshot(s *platform.Store, topic platform.Topic) *snapshot {
	return &snapshot{store: s, topic: topic}
}

// read reads the pages that are still missing. It returns all records in the order
// of the log, and the offset from which to read on: the end as of the first page,
// because later pages may contain newer records. After a page that got no
// answer, or that the store was too busy to read, another call continues with
// that page. After any other error it begins anew, because the page may be gone
// for good.
func (s *snapshot) read(ctx context.Context) ([]jobtable.Record, id.Offset, error) {
	for {
		page, err := s.store.Newest(ctx, s.topic, s.last())
		if err != nil {
			if !errors.Is(err, platform.ErrNoAnswer) && !errors.Is(err, platform.ErrNotDone) {
				s.begun, s.records, s.offsets = false, nil, nil
			}
			return nil, 0, err
		}
		if !s.begun {
			s.begun, s.end = true, page.End
		}
		s.records, s.offsets = append(s.records, page.Records...), append(s.offsets, page.Offsets...)
		if !page.More || len(page.Records) == 0 {
			return s.inOrder(), s.end, nil
		}
	}
}

// inOrder returns the records in the order of the log, which tells whether a job was
// cancelled before it came.
func (s *snapshot) inOrder() []jobtable.Record {
	index := make([]int, len(s.records))
	for i := range index {
		index[i] = i
	}
	slices.SortStableFunc(index, func(a, b int) int { return cmp.Compare(s.offsets[a], s.offsets[b]) })
	out := make([]jobtable.Record, 0, len(index))
	for _, i := range index {
		out = append(out, s.records[i])
	}
	return out
}

// last returns the last key read so far, or "" if there is none.
func (s *snapshot) last() string {
	if len(s.records) == 0 {
		return ""
	}
	return s.records[len(s.records)-1].Key
}
