package entry

import (
	"maps"
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
)

// countAge is how long a count of waiting jobs is told again. Counting walks over the whole table on the
// deciding goroutine: for each of many callers it would keep the answers of workers waiting. With the pause
// between two reads of the jobs it stays well below the 2 s that the platform allows.
const countAge = 500 * time.Millisecond

// count is how many jobs of a queue waited at a time.
type count struct {
	jobs int
	at   unit.Instant
}

// counts holds the latest counts of waiting jobs by queue. It belongs to the deciding goroutine.
type counts map[id.Queue]count

// get returns how many jobs of a queue wait, as of at most countAge ago; walk counts them anew.
func (c counts) get(now unit.Instant, q id.Queue, walk func(id.Queue) int) int {
	if known, ok := c[q]; ok && now.Sub(known.at) < countAge {
		return known.jobs
	}
	maps.DeleteFunc(c, func(_ id.Queue, old count) bool { return now.Sub(old.at) >= countAge })
	fresh := count{jobs: walk(q), at: now}
	c[q] = fresh
	return fresh.jobs
}
