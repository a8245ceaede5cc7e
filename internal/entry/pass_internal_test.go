package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/internal/ring"
)

// TestNextPass checks that short passes follow at a fixed interval and long
// ones leave time for events.
func TestNextPass(t *testing.T) {
	began := unit.At(time.Unix(1000, 0))
	for _, c := range []struct{ took, next time.Duration }{
		{0, passInterval},
		{time.Millisecond, passInterval},
		{7 * time.Millisecond, 28 * time.Millisecond},
		{35 * time.Millisecond, 140 * time.Millisecond},
	} {
		if got := nextPass(began, began.Add(c.took)).Sub(began); got != c.next {
			t.Errorf("a pass of %v: the next one after %v, want %v", c.took, got, c.next)
		}
	}
}

// TestAnswersAreTakenInBesideLongPasses checks that workers' answers are
// handled in time although each scheduling pass takes longer than passInterval.
//
// On a host with a fifth of a core that owned 350 workers and many waiting
// tasks, each pass took longer than the 5 ms after which the next one was due.
// If the pause doesn't depend on the duration of a pass, a pass then follows
// every event, and events and orders wait for seconds: the ends of runs were
// handled up to 11 s late. By then, the owner had given such runs up and placed
// them again. It counted 1,329 runs as lost by an expired lease, although only
// 35 of them were. Accepted jobs did not run although most of the capacity was
// free: in 10 s there were 1,971 placements, but only 22 tasks were done. With
// passes of 7 ms, as with 1,000 waiting tasks on that host, the ring of events
// fills up in this test and an answer waits for 11.9 s.
func TestAnswersAreTakenInBesideLongPasses(t *testing.T) {
	const (
		passCost     = 7 * time.Millisecond
		eventCost    = 100 * time.Microsecond
		eventEvery   = time.Second / 350 // each worker's lease is renewed every second
		testDuration = 20 * time.Second
		// maxWait is far below 6 s, the shortest lease. A worker may hold a
		// renewal back for a third of that time.
		maxWait = 100 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), testDuration)
		defer cancel()
		start := time.Now()
		now := func() unit.Instant { return unit.At(start).Add(time.Since(start)) }
		answers := ring.New[event](eventCapacity)
		var longest time.Duration
		go func() {
			for pause(ctx, eventEvery) {
				arrived := now()
				answers.Push(ctx, func(handled unit.Instant) {
					longest = max(longest, handled.Sub(arrived))
					time.Sleep(eventCost)
				})
			}
		}()
		decideEach(ctx, answers, now, func(unit.Instant) { time.Sleep(passCost) })
		if longest > maxWait {
			t.Errorf("an answer waited for %v, want at most %v", longest, maxWait)
		}
	})
}
