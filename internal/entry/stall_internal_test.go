package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/internal/ring"
)

// TestStalledPassDoesNotSilenceTheOwner checks that an owner sends renewals
// again soon after its process has stalled during a pass.
//
// A pass during which the process stalls for 2 s counts as a pass of 2 s.
// Without an upper bound the pause after it is three times as long, because
// each event resets the timer to the rest of the pause. Only passes send
// renewals, so that none is sent for 8 s in all. The leases of healthy workers,
// 6 s long, then expire.
func TestStalledPassDoesNotSilenceTheOwner(t *testing.T) {
	const (
		passCost     = time.Millisecond
		stall        = 2 * time.Second
		stalled      = 100 // the number of the pass in which the process stalls
		eventEvery   = time.Second / 350
		testDuration = 20 * time.Second
		// maxPause and the 2 s for which a worker may hold a renewal back are
		// together less than the 3.5 s after which a worker counts as silent.
		// The lease of a silent worker is no longer renewed.
		maxPause = time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), testDuration)
		defer cancel()
		start := time.Now()
		now := func() unit.Instant { return unit.At(start).Add(time.Since(start)) }
		answers := ring.New[event](eventCapacity)
		go func() {
			for pause(ctx, eventEvery) {
				answers.Push(ctx, func(unit.Instant) {})
			}
		}()
		passes, ended, longest := 0, now(), time.Duration(0)
		decideEach(ctx, answers, now, func(began unit.Instant) {
			longest = max(longest, began.Sub(ended))
			passes++
			if passes == stalled {
				time.Sleep(stall)
			}
			time.Sleep(passCost)
			ended = now()
		})
		if longest > maxPause {
			t.Errorf("no pass for %v after one that stalled for %v, want %v at most", longest, stall, maxPause)
		}
	})
}
