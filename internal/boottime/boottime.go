// Package boottime provides a monotonic clock that also counts the time during
// which the machine was suspended.
//
// Go's own monotonic clock stops while the machine is suspended. With it, a
// host that resumes would take outdated information about other hosts as
// current.
package boottime

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"

	"curlewsill.org/curlewsill/core/unit"
)

// Clock is a monotonic clock that starts at the time of day at which it was
// created. It doesn't follow later changes of the time of day. It is safe for
// concurrent use.
type Clock struct {
	// start is when the clock was created, and startReading the reading of the
	// system's clock at that time.
	start        time.Time
	startReading time.Duration
}

// New returns a clock, or an error if the system has no clock that counts
// suspensions.
func New() (*Clock, error) {
	startReading, err := read()
	if err != nil {
		return nil, fmt.Errorf("boottime: %w", err)
	}
	return &Clock{start: time.Now(), startReading: startReading}, nil
}

// Now returns the clock's current time.
func (c *Clock) Now() unit.Instant { return unit.At(c.start).Add(c.elapsed()) }

// Suspended returns how long the machine was suspended in total since the clock
// was created, accurate to a few microseconds.
func (c *Clock) Suspended() time.Duration { return c.elapsed() - time.Since(c.start) }

// elapsed returns the time since the clock was created, including suspensions.
func (c *Clock) elapsed() time.Duration {
	now, err := read()
	if err != nil {
		return time.Since(c.start) // can't happen: New has read the system's clock
	}
	return now - c.startReading
}

// read returns the reading of the system's clock that counts suspensions.
func read() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}
