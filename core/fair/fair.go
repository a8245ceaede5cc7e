// Package fair shares a bounded queue among customers by weight.
//
// It implements start-time fair queueing: each element gets a virtual start
// time, which is the later of the queue's virtual time and the virtual finish
// time of the customer's previous element. The element with the earliest start
// time is removed first. A customer that floods the queue delays only itself.
package fair

import (
	"container/heap"
	"errors"
)

// ErrFull reports that the queue holds the maximum number of elements.
var ErrFull = errors.New("fair: queue is full")

// Queue is a bounded queue of elements of type T that is shared by flows. A flow
// has the elements of one key of type K, such as those of one customer. Queue is
// not safe for concurrent use.
type Queue[K comparable, T any] struct {
	items       itemHeap[K, T]
	limit       int
	virtualTime float64
	lastFinish  map[K]float64
	seq         uint64
}

type item[K comparable, T any] struct {
	key    K
	value  T
	start  float64
	seq    uint64
	weight float64
}

// New returns a queue that holds at most limit elements.
func New[K comparable, T any](limit int) *Queue[K, T] {
	return &Queue[K, T]{limit: limit, lastFinish: map[K]float64{}}
}

// Len returns the number of elements.
func (q *Queue[K, T]) Len() int { return len(q.items) }

// Push adds an element to the flow k, or returns ErrFull. A weight below 1
// counts as 1.
func (q *Queue[K, T]) Push(k K, weight int, v T) error {
	if len(q.items) >= q.limit {
		return ErrFull
	}
	start := max(q.virtualTime, q.lastFinish[k])
	w := float64(max(weight, 1))
	q.lastFinish[k] = start + 1/w
	q.seq++
	heap.Push(&q.items, item[K, T]{k, v, start, q.seq, w})
	return nil
}

// Pop removes and returns the next element, or false if the queue is empty.
func (q *Queue[K, T]) Pop() (T, bool) {
	if len(q.items) == 0 {
		var zero T
		return zero, false
	}
	it := heap.Pop(&q.items).(item[K, T])
	q.virtualTime = max(q.virtualTime, it.start)
	if len(q.items) == 0 {
		// When the queue is empty, no flow has an advantage over another, so
		// the virtual times are reset.
		clear(q.lastFinish)
		q.virtualTime = 0
	}
	return it.value, true
}

// Ahead returns how many of the queued elements would be removed before a new
// one of the flow k. Its cost is linear in the length of the queue.
func (q *Queue[K, T]) Ahead(k K) int {
	start := max(q.virtualTime, q.lastFinish[k])
	n := 0
	for _, it := range q.items {
		if it.start <= start {
			n++
		}
	}
	return n
}

// RemoveFunc removes and returns the elements for which del is true.
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

type itemHeap[K comparable, T any] []item[K, T]

func (h itemHeap[K, T]) Len() int { return len(h) }

func (h itemHeap[K, T]) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].seq < h[j].seq
}

func (h itemHeap[K, T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *itemHeap[K, T]) Push(x any) { *h = append(*h, x.(item[K, T])) }

func (h *itemHeap[K, T]) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = item[K, T]{}
	*h = old[:len(old)-1]
	return last
}
