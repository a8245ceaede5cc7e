// Package agenda holds what will happen in virtual time, the earliest first.
package agenda

import "curlewsill.org/curlewsill/core/unit"

// Agenda is a queue of happenings. What is planned for the same time happens in the order in
// which it was planned, so that two runs are the same. The zero value is empty and ready.
type Agenda[T any] struct {
	// items is a binary heap by at and seq.
	items []item[T]
	seq   uint64
}

// item is one happening.
type item[T any] struct {
	at   unit.Instant
	seq  uint64
	what T
}

// Plan adds a happening.
func (a *Agenda[T]) Plan(at unit.Instant, what T) {
	a.seq++
	a.items = append(a.items, item[T]{at: at, seq: a.seq, what: what})
	for i := len(a.items) - 1; i > 0; {
		parent := (i - 1) / 2
		if !a.items[i].before(a.items[parent]) {
			return
		}
		a.items[i], a.items[parent] = a.items[parent], a.items[i]
		i = parent
	}
}

// Next returns when the earliest happening is, or false if there is none.
func (a *Agenda[T]) Next() (unit.Instant, bool) {
	if len(a.items) == 0 {
		return 0, false
	}
	return a.items[0].at, true
}

// Take removes the earliest happening and returns it. The agenda must not be empty.
func (a *Agenda[T]) Take() (unit.Instant, T) {
	first, last := a.items[0], len(a.items)-1
	a.items[0] = a.items[last]
	a.items[last] = item[T]{}
	a.items = a.items[:last]
	a.sink()
	return first.at, first.what
}

// sink moves the first item down to its place.
func (a *Agenda[T]) sink() {
	for i := 0; ; {
		least := i
		for _, child := range [2]int{2*i + 1, 2*i + 2} {
			if child < len(a.items) && a.items[child].before(a.items[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		a.items[i], a.items[least] = a.items[least], a.items[i]
		i = least
	}
}

// before reports whether i happens first.
func (i item[T]) before(o item[T]) bool { return i.at < o.at || i.at == o.at && i.seq < o.seq }
