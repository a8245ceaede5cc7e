package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"
)

const (
	// minRetryPause and maxRetryPause bound the pause after a failed call. When
	// the store accepts calls again, a host notices that at most maxRetryPause
	// later.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 400 * time.Millisecond
)

// backoff is a growing pause with jitter.
type backoff struct{ last time.Duration }

// wait pauses after a failed call that began at the given time. After a call
// that hung for at least maxRetryPause, the pause is only a short jitter. A
// store that had stopped answering never answers the calls made before its
// return, so that the call has to be repeated soon. It reports whether ctx is
// still open.
func (b *backoff) wait(ctx context.Context, began time.Time) bool {
	if time.Since(began) >= maxRetryPause {
		return pause(ctx, rand.N(minRetryPause))
	}
	b.last = min(maxRetryPause, max(minRetryPause, 2*b.last))
	return pause(ctx, b.last/2+rand.N(b.last/2))
}

// reset restarts the backoff after a success.
func (b *backoff) reset() { b.last = 0 }

// pause waits for d, and reports whether ctx is still open.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// pauseUntilWoken waits for d, or until a value arrives on woken, which may be
// nil.
func pauseUntilWoken(ctx context.Context, d time.Duration, woken <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-woken:
	case <-time.After(d):
	}
}

// wake ends a pauseUntilWoken. The channel has a capacity of 1, so that a value
// that comes before the pause isn't lost.
func wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// dependency logs once when a dependency is lost and once when it is available
// again.
type dependency struct {
	log  *zap.Logger
	name string
	lost time.Time
}

// note records the outcome of a call.
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
