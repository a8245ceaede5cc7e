// Package unit defines types for units that the standard library has no type for.
package unit

import "time"

// Instant is a point in time in nanoseconds since the Unix epoch. The packages of
// core receive the time as an argument and never read a clock.
type Instant int64

// At converts a wall-clock time to an Instant.
func At(t time.Time) Instant { return Instant(t.UnixNano()) }

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the duration from j to i.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }

// Time converts i to a wall-clock time in UTC.
func (i Instant) Time() time.Time { return time.Unix(0, int64(i)).UTC() }
