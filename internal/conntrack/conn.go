package conntrack

import (
	"net"
	"time"

	"curlewsill.org/curlewsill/internal/meter"
)

// peer is what is believed of one address.
type peer struct {
	conns map[*conn]struct{}
	// suspect is the time up to which connections must have been proven to be used again; zero
	// while none is suspect.
	suspect time.Time
}

// suspects reports whether a connection is not to be used again.
func (p *peer) suspects(c *conn) bool { return c.spent || !c.proven.After(p.suspect) }

// conn is one tracked connection. Its fields below heard are guarded by the transport's lock.
type conn struct {
	net.Conn
	transport *Transport
	to        string
	// life is the one that it was opened for; empty if any will do.
	life   string
	opened time.Time
	// heard tells when bytes came last, or when the connection was opened.
	heard *meter.Meter
	// proven is when the newest call left that was answered here, or when it was opened: both
	// directions worked then.
	proven time.Time
	// call is the one under way; nil while the connection is idle.
	call *call
	// used is set once a call was answered here.
	used bool
	// spent is set once another life has answered for the one that it was opened for.
	spent bool
}

// vouches reports whether a connection shows that one that brought no answer hasn't gone silent
// together with all others: it was open when bytes came there last, and has brought some since a
// time.
func (c *conn) vouches(dead *conn, since time.Time) bool {
	return !c.opened.After(dead.heard.Last()) && c.heard.Last().After(since)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.transport.forget(c)
	return c.Conn.Close()
}
