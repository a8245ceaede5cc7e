// Package outbox sends orders from a bounded number of goroutines.
//
// Orders wait in a bounded queue for each receiver; receivers that have room take turns. An order
// that has been under way for a while no longer keeps others from leaving: receivers that hang
// delay the rest by a part of a second at most, and only the bound on all of them remains.
package outbox

import (
	"sync"
	"time"
)

// Limits bound the orders of a box. All are at least 1.
type Limits struct {
	// Waiting is how many orders may wait.
	Waiting int
	// Fresh is how many orders may be under way that have left less than Settles ago, and All is
	// how many at most, which is also the most goroutines.
	Fresh, All int
	Settles    time.Duration
	// Each is how many orders to one receiver may be under way.
	Each int
}

// Box sends orders to receivers of type K. It is safe for concurrent use.
type Box[K comparable] struct {
	limits Limits

	mu sync.Mutex
	// receivers holds those with orders that wait or are under way.
	receivers map[K]*receiver
	// turns holds the receivers with an order that may leave, each once, in their turn.
	turns []*receiver
	// waiting, fresh and all count orders.
	waiting, fresh, all int
	closed              bool
}

// receiver is one that orders are sent to.
type receiver struct {
	waiting []func()
	under   int
	// queued is set while the receiver is among the turns.
	queued bool
	forget func()
}

// New returns an empty box.
func New[K comparable](l Limits) *Box[K] {
	return &Box[K]{limits: l, receivers: map[K]*receiver{}}
}

// Put queues an order, which send makes. It never blocks, and reports false if too many wait or the
// box is closed; the order is dropped then.
func (b *Box[K]) Put(to K, send func()) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || b.waiting >= b.limits.Waiting {
		return false
	}
	r := b.receivers[to]
	if r == nil {
		r = &receiver{forget: func() { delete(b.receivers, to) }}
		b.receivers[to] = r
	}
	r.waiting = append(r.waiting, send)
	b.waiting++
	b.queue(r)
	b.fill()
	return true
}

// Close drops the orders that wait; those under way go on.
func (b *Box[K]) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.waiting, b.turns = 0, nil
	clear(b.receivers)
}

// queue gives a receiver a turn if it has an order that may leave.
func (b *Box[K]) queue(r *receiver) {
	if r.queued || len(r.waiting) == 0 || r.under >= b.limits.Each {
		return
	}
	r.queued = true
	b.turns = append(b.turns, r)
}

// fill starts goroutines for orders that may leave now.
func (b *Box[K]) fill() {
	for {
		l, ok := b.next()
		if !ok {
			return
		}
		go b.work(l)
	}
}

// leaving is an order that leaves.
type leaving struct {
	to   *receiver
	send func()
	// settled is set once the order doesn't count as fresh any more.
	settled bool
}

// next takes the order whose turn it is, if one may leave.
func (b *Box[K]) next() (*leaving, bool) {
	if b.closed || len(b.turns) == 0 || b.fresh >= b.limits.Fresh || b.all >= b.limits.All {
		return nil, false
	}
	r := b.turns[0]
	b.turns = b.turns[1:]
	r.queued = false
	l := &leaving{to: r, send: r.waiting[0]}
	r.waiting = r.waiting[1:]
	r.under++
	b.waiting--
	b.fresh++
	b.all++
	b.queue(r)
	return l, true
}

// work sends one order after the other while some may leave.
func (b *Box[K]) work(l *leaving) {
	for ok := true; ok; {
		b.send(l)
		l, ok = b.done(l)
	}
}

// send sends one order, which settles after a while.
func (b *Box[K]) send(l *leaving) {
	timer := time.AfterFunc(b.limits.Settles, func() { b.settle(l) })
	defer timer.Stop()
	l.send()
}

// settle lets another order leave while one stays under way.
func (b *Box[K]) settle(l *leaving) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.notFresh(l)
	b.fill()
}

// notFresh stops counting an order as fresh.
func (b *Box[K]) notFresh(l *leaving) {
	if !l.settled {
		l.settled = true
		b.fresh--
	}
}

// done takes in that an order has ended, and returns the next one.
func (b *Box[K]) done(l *leaving) (*leaving, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.notFresh(l)
	b.all--
	l.to.under--
	if l.to.under == 0 && len(l.to.waiting) == 0 {
		l.to.forget()
	}
	b.queue(l.to)
	return b.next()
}
