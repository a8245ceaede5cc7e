package entry

import (
	"testing"
	"time"

	"curlewsill.org/curlewsill/core/unit"
)

// TestNextPass checks that short passes come at a fixed pace and long ones leave time for events.
func TestNextPass(t *testing.T) {
	began := unit.At(time.Unix(1000, 0))
	for _, c := range []struct{ took, next time.Duration }{
		{0, passEvery},
		{time.Millisecond, passEvery},
		{7 * time.Millisecond, 28 * time.Millisecond},
		{35 * time.Millisecond, 140 * time.Millisecond},
	} {
		if got := nextPass(began, began.Add(c.took)).Sub(began); got != c.next {
			t.Errorf("a pass of %v: the next one after %v, want %v", c.took, got, c.next)
		}
	}
}
