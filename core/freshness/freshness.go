// Package freshness decides which answers about jobs a host may give from a table
// of jobs that may be older than the store.
package freshness

import (
	"math"
	"time"

	"curlewsill.org/curlewsill/core/unit"
)

const (
	// refreshAfter is the age from which a table is brought up to date before an
	// answer that newer records may change.
	refreshAfter = 500 * time.Millisecond
	// maxAge is how old such an answer may be. The platform's specification sets
	// it for the number of waiting jobs.
	maxAge = 2 * time.Second
)

// Age is how long ago the store was known to have no record that a table lacks.
type Age time.Duration

// unknown is the age of a table that was never known to be complete.
const unknown = Age(math.MaxInt64)

// Of returns the age of what was complete at asOf; 0 stands for never.
func Of(now, asOf unit.Instant) Age {
	if asOf == 0 {
		return unknown
	}
	return Age(max(0, now.Sub(asOf)))
}

// Later returns the age after some more time.
func (a Age) Later(d time.Duration) Age {
	if a > unknown-Age(d) {
		return unknown
	}
	return a + Age(d)
}

// Known reports whether the table was ever known to be complete.
func (a Age) Known() bool { return a != unknown }

// Current reports whether an answer needs no read of the store first.
func (a Age) Current() bool { return a <= Age(refreshAfter) }

// Usable reports whether an answer that newer records may change can be given if
// the store can't be read. An older one has to be refused.
func (a Age) Usable() bool { return a <= Age(maxAge) }

// Left returns for how much longer the answer is usable; 0 if it isn't.
func (a Age) Left() time.Duration { return max(0, maxAge-time.Duration(min(a, Age(maxAge)))) }
