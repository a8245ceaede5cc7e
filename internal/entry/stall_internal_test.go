package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/internal/ring"
)

// TestStalledPassDoesNotSilenceTheOwner guards against an owner that sends nothing for long after its
// process stood still.
//
// Symptom: leases of sound workers run out after their owner stood still for a time that the leases
// would have outlasted.
// Sequence: the process stands still for 2 s while a pass is under way. The pass counts as one of 2 s,
// so that the next one is put off by three times that. News keep coming, each puts the timer back, and
// renewals leave in passes only: for 8 s in all none does, with leases of 6 s.
// Cause: the pause after a pass had no upper bound.
// Settled by: the longest time between two passes here, 6 s without the bound.
func TestStalledPassDoesNotSilenceTheOwner(t *testing.T) {
	const (
		passCost   = time.Millisecond
		stall      = 2 * time.Second
		stalled    = 100 // the number of the pass that stands still
		eventEvery = time.Second / 350
		day        = 20 * time.Second
		// mostPause and a renewal that waits 2 s at its worker are less than the 3.5 s after
		// which a worker counts as silent and its lease is no longer renewed.
		mostPause = time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), day)
		defer cancel()
		start := time.Now()
		now := func() unit.Instant { return unit.At(start).Add(time.Since(start)) }
		news := ring.New[event](events)
		go func() {
			for pause(ctx, eventEvery) {
				news.Push(ctx, func(unit.Instant) {})
			}
		}()
		passes, ended, longest := 0, now(), time.Duration(0)
		decideEach(ctx, news, now, func(began unit.Instant) {
			longest = max(longest, began.Sub(ended))
			passes++
			if passes == stalled {
				time.Sleep(stall)
			}
			time.Sleep(passCost)
			ended = now()
		})
		if longest > mostPause {
			t.Errorf("no pass for %v after one that stood still for %v, want %v at most", longest, stall, mostPause)
		}
	})
}
