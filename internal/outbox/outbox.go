// Package outbox sends orders from a bounded number of goroutines.
//
// Orders wait in one queue per receiver. The total number of queued orders is
// bounded. Receivers to which an order may be sent are served round-robin.
//
// Two limits apply to orders in flight: one to those that were sent recently,
// and one to all. Receivers that hang delay the others by a fraction of a
// second at most: after that time, their orders no longer count as recent, and
// only the limit on all orders in flight still applies to them.
package outbox

import (
	"sync"
	"time"
)

// Limits holds the limits of a Box. All are at least 1.
type Limits struct {
	// Queued is how many orders may be queued in all.
	Queued int
	// Recent is how many orders may be in flight that were sent less than
	// RecentFor ago. InFlight is how many may be in flight in all, which is
	// also the maximum number of goroutines.
	Recent, InFlight int
	RecentFor        time.Duration
	// PerReceiver is how many orders to one receiver may be in flight.
	PerReceiver int
}

// Box sends orders to receivers of type K. It is safe for concurrent use.
type Box[K comparable] struct {
	limits Limits

	mu sync.Mutex
	// receivers holds the receivers with orders that are queued or in flight.
	receivers map[K]*receiver
	// ready is the round-robin queue of the receivers that have a queued order
	// and fewer than PerReceiver orders in flight. Each is in it only once.
	ready []*receiver
	// waiting counts the queued orders, recent those in flight that were sent
	// less than RecentFor ago, and inFlight all those in flight.
	waiting, recent, inFlight int
	closed                    bool
}

// receiver is the state of one receiver of orders.
type receiver struct {
	waiting  []func()
	inFlight int
	// queued is set while the receiver is in the ready queue.
	queued bool
	remove func()
}

// New returns an empty box.
func New[K comparable](l Limits) *Box[K] {
	return &Box[K]{limits: l, receivers: map[K]*receiver{}}
}

// Put queues an order, which is sent by calling send. It never blocks. It drops
// the order and reports false if too many are queued or the box is closed.
func (b *Box[K]) Put(to K, send func()) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || b.waiting >= b.limits.Queued {
		return false
	}
	r := b.receivers[to]
	if r == nil {
		r = &receiver{remove: func() { delete(b.receivers, to) }}
		b.receivers[to] = r
	}
	r.waiting = append(r.waiting, send)
	b.waiting++
	b.queue(r)
	b.fill()
	return true
}

// Close drops the queued orders; those in flight are completed.
func (b *Box[K]) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.waiting, b.ready = 0, nil
	clear(b.receivers)
}

// queue adds a receiver to the ready queue, unless it is there already, has no
// queued order, or has PerReceiver orders in flight.
func (b *Box[K]) queue(r *receiver) {
	if r.queued || len(r.waiting) == 0 || r.inFlight >= b.limits.PerReceiver {
		return
	}
	r.queued = true
	b.ready = append(b.ready, r)
}

// fill starts goroutines for the orders that may be sent now.
func (b *Box[K]) fill() {
	for {
		order, ok := b.takeNext()
		if !ok {
			return
		}
		go b.sendLoop(order)
	}
}

// sending is an order in flight.
type sending struct {
	to   *receiver
	send func()
	// aged is set once the order no longer counts as recent.
	aged bool
}

// takeNext removes the next order to send from its receiver's queue. It reports
// false if the limits allow no order to be sent now, or the box is closed.
func (b *Box[K]) takeNext() (*sending, bool) {
	if b.closed || len(b.ready) == 0 || b.recent >= b.limits.Recent || b.inFlight >= b.limits.InFlight {
		return nil, false
	}
	r := b.ready[0]
	b.ready = b.ready[1:]
	r.queued = false
	order := &sending{to: r, send: r.waiting[0]}
	r.waiting = r.waiting[1:]
	r.inFlight++
	b.waiting--
	b.recent++
	b.inFlight++
	b.queue(r)
	return order, true
}

// sendLoop sends orders, starting with order, until none may be sent.
func (b *Box[K]) sendLoop(order *sending) {
	for ok := true; ok; {
		b.send(order)
		order, ok = b.finish(order)
	}
}

// send sends one order, which counts as recent until RecentFor has passed.
func (b *Box[K]) send(order *sending) {
	timer := time.AfterFunc(b.limits.RecentFor, func() { b.ageOut(order) })
	defer timer.Stop()
	order.send()
}

// ageOut stops counting an order in flight as recent, so that another may be
// sent.
func (b *Box[K]) ageOut(order *sending) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dropRecent(order)
	b.fill()
}

// dropRecent stops counting an order as recent, if it still does.
func (b *Box[K]) dropRecent(order *sending) {
	if !order.aged {
		order.aged = true
		b.recent--
	}
}

// finish records that an order has ended, and returns the next one.
func (b *Box[K]) finish(order *sending) (*sending, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dropRecent(order)
	b.inFlight--
	order.to.inFlight--
	if order.to.inFlight == 0 && len(order.to.waiting) == 0 {
		order.to.remove()
	}
	b.queue(order.to)
	return b.takeNext()
}
