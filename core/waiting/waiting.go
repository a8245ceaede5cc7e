// Package waiting keeps the numbers of waiting jobs by queue for further callers.
//
// Counting walks the whole table of jobs: doing so for each of many callers would
// delay the handling of workers' answers.
package waiting

import (
	"maps"
	"time"

	"curlewsill.org/curlewsill/core/freshness"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
)

// keepTime is how long a count is kept. Together with the age at which a table is
// brought up to date, it is well below the age up to which a count is usable.
const keepTime = 500 * time.Millisecond

// Count is the number of waiting jobs of a queue, taken from one table.
type Count struct {
	Jobs int
	// Table is the state of the table that was counted, At is when that was.
	Table Table
	At    unit.Instant
}

// Table is the state of a table of jobs.
type Table struct {
	// CompleteAt is when the table was last known to lack nothing; 0 for never.
	CompleteAt unit.Instant
	// Offset is the one up to which the table was applied.
	Offset id.Offset
}

// Counts holds the latest count of each queue. It is not safe for concurrent use.
type Counts struct{ kept map[id.Queue]Count }

// New returns counts of no queue.
func New() *Counts { return &Counts{kept: map[id.Queue]Count{}} }

// Get returns a count of the waiting jobs of a queue, either one that was kept or a
// new one by walk. It reports false, and doesn't call walk, if neither can be
// usable, because the table is too old; the count then only has the table.
func (c *Counts) Get(now unit.Instant, q id.Queue, table Table, walk func(id.Queue) int) (Count, bool) {
	if known, ok := c.kept[q]; ok && known.usable(now) && now.Sub(known.At) < keepTime {
		return known, true
	}
	maps.DeleteFunc(c.kept, func(_ id.Queue, old Count) bool { return now.Sub(old.At) >= keepTime })
	fresh := Count{Table: table, At: now}
	if !fresh.usable(now) {
		return fresh, false
	}
	fresh.Jobs = walk(q)
	c.kept[q] = fresh
	return fresh, true
}

// usable reports whether the count is not too old for an answer.
func (c Count) usable(now unit.Instant) bool { return freshness.Of(now, c.Table.CompleteAt).Usable() }
