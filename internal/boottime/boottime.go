// Package boottime has a steady clock that counts the time for which the machine was suspended, too.
//
// Go's own steady clock stands still then: a host that was suspended would go on believing what it knew of others before.
package boottime

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"

	"curlewsill.org/curlewsill/core/unit"
)

// Clock counts on from the time of day at which it was made, and never jumps. It is safe for concurrent use.
type Clock struct {
	// start is when the clock was made, booted the reading of the system's clock then.
	start  time.Time
	booted time.Duration
}

// New returns a clock, or an error if the system has none that counts suspensions.
func New() (*Clock, error) {
	booted, err := read()
	if err != nil {
		return nil, fmt.Errorf("boottime: %w", err)
	}
	return &Clock{start: time.Now(), booted: booted}, nil
}

// Now returns the time.
func (c *Clock) Now() unit.Instant { return unit.At(c.start).Add(c.passed()) }

// Suspended returns for how long the machine was suspended since the clock was made. It is a few microseconds off.
func (c *Clock) Suspended() time.Duration { return c.passed() - time.Since(c.start) }

// passed returns the time since the clock was made.
func (c *Clock) passed() time.Duration {
	now, err := read()
	if err != nil {
		return time.Since(c.start) // it was there when the clock was made, and doesn't go
	}
	return now - c.booted
}

// read reads the system's clock.
func read() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}
