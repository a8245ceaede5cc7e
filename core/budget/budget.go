// Package budget divides a limited amount of memory and a limited number of
// places among the clients of a host, and chooses which of them has to give way
// when either is used up.
//
// The load that this answers: many clients that each stay inside the limits of one
// request, but never complete it. A client that has stopped sending gives way
// first. One that still sends gives way only to a much smaller request: if equal
// ones did so to each other, none would ever be received whole. So an ordinary
// request, which is small and arrives quickly, is the last to be affected.
package budget

import (
	"errors"
	"time"

	"curlewsill.org/curlewsill/core/unit"
)

var (
	// ErrFull reports that everything is held by clients that can't give way, such
	// as those whose requests are being carried out.
	ErrFull = errors.New("budget: nothing is left and no client can give way")
	// ErrGiveWay reports that the client itself has to give way.
	ErrGiveWay = errors.New("budget: the client has to give way to others")
	// ErrWait reports that clients that give way have not released their memory
	// yet. The caller tries again when they have.
	ErrWait = errors.New("budget: memory is still being released")
)

// stalledAfter is how long a client may send nothing before it counts as stopped.
// It is longer than a lost packet takes to be sent again.
const stalledAfter = time.Second

// smaller is how many times smaller a request must be than another one that still
// arrives, for that one to give way to it.
const smaller = 4

// Budget is the memory and the places of all clients. It is not safe for
// concurrent use.
type Budget[K comparable] struct {
	limit   unit.Bytes
	places  int
	clients map[K]*client
	// used is what all clients hold, leaving the part of it that clients hold which
	// have to give way.
	used, leaving unit.Bytes
	// leavingClients is the number of clients that have to give way.
	leavingClients int
	// added counts the clients that were ever added.
	added uint64
}

// client is what is known of one client.
type client struct {
	// number is different for each client; among equals the oldest gives way.
	number uint64
	held   unit.Bytes
	// size is how much the client's request is going to hold; 0 if that isn't known.
	size unit.Bytes
	// began is when the client's request began, or when it became idle. progress
	// is when bytes last came from it.
	began, progress unit.Instant
	// fixed is set while the client can't give way.
	fixed bool
	// leaving is set once the client has to give way.
	leaving bool
}

// New returns a budget of limit bytes and a number of places.
func New[K comparable](limit unit.Bytes, places int) *Budget[K] {
	return &Budget[K]{limit: limit, places: places, clients: map[K]*client{}}
}

// Used returns how many bytes are held.
func (b *Budget[K]) Used() unit.Bytes { return b.used }

// Clients returns the number of clients.
func (b *Budget[K]) Clients() int { return len(b.clients) }

// Crowded reports whether more than half of the places are taken.
func (b *Budget[K]) Crowded() bool { return len(b.clients) > b.places/2 }

// Add adds a client that holds nothing yet. If all places are taken, it returns
// the client that has to give way. The error is ErrFull if none can; the client is
// not added then.
func (b *Budget[K]) Add(k K, now unit.Instant) (victim K, evict bool, err error) {
	if len(b.clients)-b.leavingClients >= b.places {
		victim, evict = b.worst(now, func(K, *client) bool { return true })
		if !evict {
			return victim, false, ErrFull
		}
		b.markLeaving(b.clients[victim])
	}
	b.added++
	b.clients[k] = &client{number: b.added, began: now, progress: now}
	return victim, evict, nil
}

// Remove removes a client with all that it holds.
func (b *Budget[K]) Remove(k K) {
	c := b.clients[k]
	if c == nil {
		return
	}
	b.Release(k, c.held)
	if c.leaving {
		b.leavingClients--
	}
	delete(b.clients, k)
}

// Begin records that a client begins a request, or that it becomes idle.
func (b *Budget[K]) Begin(k K, now unit.Instant) {
	if c := b.clients[k]; c != nil {
		c.began, c.progress, c.size = now, now, 0
	}
}

// Expect records how much a client's request is going to hold.
func (b *Budget[K]) Expect(k K, size unit.Bytes) {
	if c := b.clients[k]; c != nil {
		c.size = size
	}
}

// Progress records that bytes came from a client.
func (b *Budget[K]) Progress(k K, now unit.Instant) {
	if c := b.clients[k]; c != nil {
		c.progress = now
	}
}

// Fix sets whether a client can't give way.
func (b *Budget[K]) Fix(k K, fixed bool) {
	if c := b.clients[k]; c != nil {
		c.fixed = fixed
	}
}

// GivesWay reports whether a client has to give way.
func (b *Budget[K]) GivesWay(k K) bool {
	c := b.clients[k]
	return c == nil || c.leaving
}

// Release returns n bytes that a client held.
func (b *Budget[K]) Release(k K, n unit.Bytes) {
	c := b.clients[k]
	if c == nil {
		return
	}
	n = min(n, c.held)
	c.held -= n
	b.used -= n
	if c.leaving {
		b.leaving -= n
	}
}

// Reserve reserves n bytes more for a client, if all clients then hold no more than
// share of the limit. Without an error it holds them. The returned clients have to
// give way, whatever the error is.
func (b *Budget[K]) Reserve(k K, n unit.Bytes, share float64, now unit.Instant) (victims []K, err error) {
	limit := unit.Bytes(float64(b.limit) * share)
	c := b.clients[k]
	if c == nil || c.leaving {
		return nil, ErrGiveWay
	}
	for b.used-b.leaving+n > limit {
		v, ok := b.worst(now, func(_ K, v *client) bool { return v != c && v.yields(c, n, now) })
		switch {
		case ok:
			b.markLeaving(b.clients[v])
			victims = append(victims, v)
		case c.fixed:
			return victims, ErrFull
		default:
			b.markLeaving(c)
			return victims, ErrGiveWay
		}
	}
	if b.used+n > limit {
		return victims, ErrWait
	}
	c.held += n
	b.used += n
	return victims, nil
}

// markLeaving makes a client one that has to give way.
func (b *Budget[K]) markLeaving(c *client) {
	c.leaving = true
	b.leaving += c.held
	b.leavingClients++
}

// worst returns the client that gives way next, of those that are eligible. It
// reports false if there is none.
func (b *Budget[K]) worst(now unit.Instant, eligible func(K, *client) bool) (worst K, found bool) {
	var most rank
	for k, c := range b.clients { // in any order: no two ranks are equal
		if c.fixed || c.leaving || !eligible(k, c) {
			continue
		}
		if r := c.rank(now); !found || most.less(r) {
			worst, most, found = k, r, true
		}
	}
	return worst, found
}

// yields reports whether a client gives way to another one that needs n bytes more.
func (c *client) yields(to *client, n unit.Bytes, now unit.Instant) bool {
	return c.held > 0 && (to.fixed || c.stalled(now) || max(c.held, c.size) >= smaller*max(to.held+n, to.size))
}

// stalled reports whether nothing has come from a client for a while.
func (c *client) stalled(now unit.Instant) bool { return now.Sub(c.progress) > stalledAfter }

// rank is the order in which clients give way: the greatest first.
type rank struct {
	// class is 2 for a client that has stopped, 1 for one without a request, else 0.
	class int
	// cost is what the client has held, times how long, in byte-seconds.
	cost   float64
	number uint64
}

func (r rank) less(o rank) bool {
	switch {
	case r.class != o.class:
		return r.class < o.class
	case r.cost != o.cost:
		return r.cost < o.cost
	}
	return r.number > o.number
}

// rank returns the client's rank. A client that holds nothing counts as if it held
// one byte.
func (c *client) rank(now unit.Instant) rank {
	r := rank{number: c.number}
	since := c.began
	switch {
	case c.stalled(now):
		r.class, since = 2, c.progress
	case c.held == 0:
		r.class = 1
	}
	r.cost = float64(c.held+1) * now.Sub(since).Seconds()
	return r
}
