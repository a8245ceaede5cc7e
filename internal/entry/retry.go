package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"
)

const (
	// retryLeast and retryMost bound the pause after a failed call. The longest one is what a host
	// loses at most when the store takes calls again.
	retryLeast = 100 * time.Millisecond
	retryMost  = 400 * time.Millisecond
)

// backoff is a growing pause with jitter.
type backoff struct{ last time.Duration }

// wait pauses after a call that began at a time and failed. A call that hung has kept its pause
// already: the next one follows at once, since a store that was silent answers only calls that
// were made after its return. It reports whether ctx is still open.
func (b *backoff) wait(ctx context.Context, began time.Time) bool {
	if time.Since(began) >= retryMost {
		return pause(ctx, rand.N(retryLeast))
	}
	b.last = min(retryMost, max(retryLeast, 2*b.last))
	return pause(ctx, b.last/2+rand.N(b.last/2))
}

// reset begins anew after a success.
func (b *backoff) reset() { b.last = 0 }

// pause waits, and reports whether ctx is still open.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// dependency logs once when something is lost and once when it is back.
type dependency struct {
	log  *zap.Logger
	name string
	lost time.Time
}

// note takes in what became of a call.
func (d *dependency) note(err error) {
	switch {
	case err != nil && d.lost.IsZero():
		d.lost = time.Now()
		d.log.Warn("dependency-lost", zap.String("dependency", d.name), zap.Error(err))
	case err == nil && !d.lost.IsZero():
		d.log.Info("dependency-regained", zap.String("dependency", d.name), zap.Duration("away", time.Since(d.lost)))
		d.lost = time.Time{}
	}
}
