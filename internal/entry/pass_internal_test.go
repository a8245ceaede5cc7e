package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/internal/ring"
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

// TestAnswersAreTakenInBesideLongPasses guards against an owner that falls behind its workers.
//
// Symptom: accepted work never ran although most of the room was free, and after a loss of all hosts
// nothing was served any more.
// Sequence: a host with a fifth of a core became the owner of 350 workers and many waiting tasks. Each
// pass took longer than the 5 ms after which the next one was due, so one followed on every event.
// News waited for seconds behind them, and so did orders; runs whose ends were unread were given up
// and placed again.
// Cause: the time between passes didn't depend on what a pass takes.
// Settled by: ends taken in up to 11 s late, 1,329 runs given up as lapsed of which 35 had lapsed, and 22
// tasks done within 10 s beside 1,971 placements, all by that owner. Passes of 7 ms, as measured for 1,000
// waiting tasks at that speed, let the ring of news fill up here: an answer waits for 11.9 s.
func TestAnswersAreTakenInBesideLongPasses(t *testing.T) {
	const (
		passCost   = 7 * time.Millisecond
		eventCost  = 100 * time.Microsecond
		eventEvery = time.Second / 350 // each worker's lease is renewed every second
		day        = 20 * time.Second
		// mostWait is far below the shortest lease, 6 s, of which a renewal uses a third.
		mostWait = 100 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), day)
		defer cancel()
		start := time.Now()
		now := func() unit.Instant { return unit.At(start).Add(time.Since(start)) }
		answers := ring.New[event](events)
		var longest time.Duration
		go func() {
			for pause(ctx, eventEvery) {
				came := now()
				answers.Push(ctx, func(taken unit.Instant) {
					longest = max(longest, taken.Sub(came))
					time.Sleep(eventCost)
				})
			}
		}()
		decideEach(ctx, answers, now, func(unit.Instant) { time.Sleep(passCost) })
		if longest > mostWait {
			t.Errorf("an answer waited for %v, want at most %v", longest, mostWait)
		}
	})
}
