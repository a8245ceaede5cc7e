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
// Sequence: a host with a fifth of a core became the owner of 350 workers while 1,000 tasks waited. A
// pass took 7 ms and was due again 5 ms after it began, so one followed on every event. Answers to
// renewals waited behind the passes until the leases of their workers had run out; the lost work was
// placed again, and the backlog made the passes longer still.
// Cause: the time between passes didn't depend on what a pass takes.
// Settled by: 1,329 log lines "its lease has lapsed", most of them from second 53 on, and 43 tasks done
// between seconds 54 and 63, after 50 to 200 a second before, all by that owner; on the same day with
// the mend no lease lapsed.
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
