package entry

import (
	"context"
	"errors"

	"curlewsill.org/curlewsill/platform"
)

// maxTimeoutFactor is the upper limit of adaptiveTimeout.factor.
const maxTimeoutFactor = 8

// adaptiveTimeout is how long the reads of one reader wait for their answers.
type adaptiveTimeout struct {
	health *storeHealth
	// factor is the factor by which a read waits longer than usual for its
	// answer; 0 counts as 1.
	factor int
}

// apply returns the context for the next read.
func (a *adaptiveTimeout) apply(ctx context.Context) context.Context {
	return platform.WithReadTimeoutFactor(ctx, max(1, a.factor))
}

// note records the result of a read. It doubles the factor after a read without
// an answer if the store answers short calls. Such a store is overloaded, and a
// reader that gives up and retries falls further behind. The factor doesn't grow
// while the store answers nothing, so that its return is noticed soon.
func (a *adaptiveTimeout) note(err error) {
	switch {
	case err == nil:
		a.factor = 1
	case errors.Is(err, platform.ErrNoAnswer) && !a.health.hanging():
		a.factor = min(maxTimeoutFactor, 2*max(1, a.factor))
	}
}
