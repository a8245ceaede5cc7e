// Package fair shares a queue among customers by weight.
//
// It is start-time fair queueing: each element gets a virtual start time, the later
// of the queue's virtual time and the finish of its customer's previous element, and
// the smallest start leaves first. A customer that floods the queue delays itself
// and not the others.
package fair

import (
	"container/heap"
	"errors"
)

// ErrFull reports that the queue holds as many elements as it may.
var ErrFull = errors.New("fair: queue is full")

// Queue is a bounded queue of elements of type T that flows of type K share.
type Queue[K comparable, T any] struct {
	items  items[K, T]
	limit  int
	clock  float64
	finish map[K]float64
	order  uint64
}

type item[K comparable, T any] struct {
	key    K
	value  T
	start  float64
	order  uint64
	weight float64
}

// New returns a queue for at most limit elements.
func New[K comparable, T any](limit int) *Queue[K, T] {
	return &Queue[K, T]{limit: limit, finish: map[K]float64{}}
}

// Len returns the number of elements.
func (q *Queue[K, T]) Len() int { return len(q.items) }

// Push adds an element of the flow k. The weight is at least 1.
func (q *Queue[K, T]) Push(k K, weight int, v T) error {
	if len(q.items) >= q.limit {
		return ErrFull
	}
	start := max(q.clock, q.finish[k])
	w := float64(max(weight, 1))
	q.finish[k] = start + 1/w
	q.order++
	heap.Push(&q.items, item[K, T]{k, v, start, q.order, w})
	return nil
}

// Pop removes the element that is next.
func (q *Queue[K, T]) Pop() (T, bool) {
	if len(q.items) == 0 {
		var none T
		return none, false
	}
	it := heap.Pop(&q.items).(item[K, T])
	q.clock = max(q.clock, it.start)
	if len(q.items) == 0 {
		// Nobody waits, so nobody is owed anything.
		clear(q.finish)
		q.clock = 0
	}
	return it.value, true
}

// Ahead returns how many elements of weight w would leave before a new one of the
// flow k. It walks the queue.
func (q *Queue[K, T]) Ahead(k K) int {
	start := max(q.clock, q.finish[k])
	n := 0
	for _, it := range q.items {
		if it.start <= start {
			n++
		}
	}
	return n
}

// RemoveFunc removes the elements for which del is true and returns them.
func (q *Queue[K, T]) RemoveFunc(del func(T) bool) []T {
	var out []T
	kept := q.items[:0]
	for _, it := range q.items {
		if del(it.value) {
			out = append(out, it.value)
			continue
		}
		kept = append(kept, it)
	}
	clear(q.items[len(kept):])
	q.items = kept
	heap.Init(&q.items)
	return out
}

type items[K comparable, T any] []item[K, T]

func (h items[K, T]) Len() int { return len(h) }

func (h items[K, T]) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].order < h[j].order
}

func (h items[K, T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *items[K, T]) Push(x any) { *h = append(*h, x.(item[K, T])) }

func (h *items[K, T]) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = item[K, T]{}
	*h = old[:len(old)-1]
	return last
}
