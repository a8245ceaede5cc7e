// Package ring provides bounded queues between the goroutines of a process.
//
// A full ring never grows. The producer chooses what happens instead: Push
// waits for room, which slows the producer down; Offer drops the element and
// reports it.
package ring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded FIFO queue of elements of type T, safe for concurrent use.
type Ring[T any] struct {
	c       chan T
	dropped atomic.Uint64
}

// New returns a ring for n elements.
func New[T any](n int) *Ring[T] { return &Ring[T]{c: make(chan T, n)} }

// Push adds v, waiting for room until ctx is done. It reports whether v was
// added.
func (r *Ring[T]) Push(ctx context.Context, v T) bool {
	select {
	case r.c <- v:
		return true
	case <-ctx.Done():
		return false
	}
}

// Offer adds v if there is room at once, and reports whether there was.
func (r *Ring[T]) Offer(v T) bool {
	select {
	case r.c <- v:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// C returns the channel to receive from.
func (r *Ring[T]) C() <-chan T { return r.c }

// Len returns the number of elements in the ring.
func (r *Ring[T]) Len() int { return len(r.c) }

// Dropped returns how many elements Offer has dropped.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }
