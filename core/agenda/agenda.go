// Package agenda implements an event queue in virtual time.
package agenda

import "curlewsill.org/curlewsill/core/unit"

// Agenda is a priority queue of events. Events at the same time are taken in
// the order in which they were added, so that a simulation is deterministic.
// The zero value is empty and ready to use.
type Agenda[T any] struct {
	// items is a binary heap, ordered by at and then by seq.
	items []item[T]
	seq   uint64
}

// item is one event with its time.
type item[T any] struct {
	at    unit.Instant
	seq   uint64
	event T
}

// Add adds an event at the given time.
func (a *Agenda[T]) Add(at unit.Instant, event T) {
	a.seq++
	a.items = append(a.items, item[T]{at: at, seq: a.seq, event: event})
	for i := len(a.items) - 1; i > 0; {
		parent := (i - 1) / 2
		if !a.items[i].before(a.items[parent]) {
			return
		}
		a.items[i], a.items[parent] = a.items[parent], a.items[i]
		i = parent
	}
}

// Next returns the time of the earliest event, or false if there is none.
func (a *Agenda[T]) Next() (unit.Instant, bool) {
	if len(a.items) == 0 {
		return 0, false
	}
	return a.items[0].at, true
}

// Pop removes and returns the earliest event and its time. The agenda must not
// be empty.
func (a *Agenda[T]) Pop() (unit.Instant, T) {
	first, last := a.items[0], len(a.items)-1
	a.items[0] = a.items[last]
	a.items[last] = item[T]{}
	a.items = a.items[:last]
	a.siftDown()
	return first.at, first.event
}

// siftDown moves the first item down to its position in the heap.
func (a *Agenda[T]) siftDown() {
	for i := 0; ; {
		first := i
		for _, child := range [2]int{2*i + 1, 2*i + 2} {
			if child < len(a.items) && a.items[child].before(a.items[first]) {
				first = child
			}
		}
		if first == i {
			return
		}
		a.items[i], a.items[first] = a.items[first], a.items[i]
		i = first
	}
}

// before reports whether i comes before o.
func (i item[T]) before(o item[T]) bool { return i.at < o.at || i.at == o.at && i.seq < o.seq }
