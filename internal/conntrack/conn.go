package conntrack

import (
	"net"
	"time"

	"curlewsill.org/curlewsill/internal/meter"
)

// peer is the state of one address.
type peer struct {
	conns map[*conn]struct{}
	// provenAfter is the time after which a connection must have been proven to
	// work; otherwise it is suspect. It is zero until a connection to the
	// address is found dead.
	provenAfter time.Time
}

// isSuspect reports whether a connection must not be used again.
func (p *peer) isSuspect(c *conn) bool { return c.stale || !c.proven.After(p.provenAfter) }

// conn is one tracked connection. The fields after received are guarded by the
// transport's lock.
type conn struct {
	net.Conn
	transport *Transport
	to        string
	// incarnation is the incarnation that the connection was opened for. It is
	// empty if the connection may be to any incarnation.
	incarnation string
	opened      time.Time
	// received records when bytes last arrived, or when the connection was
	// opened.
	received *meter.EventTime
	// proven is the last time at which both directions of the connection are
	// known to have worked: when it was opened, or when the newest of the calls
	// that were answered on it was sent.
	proven time.Time
	// call is the call in flight; nil while the connection is idle.
	call *call
	// used is set once a call was answered on this connection.
	used bool
	// stale is set once an incarnation has answered that isn't the one for
	// which the connection was opened.
	stale bool
}

// provesAlive reports whether bytes on c show that the path works, although no
// answer arrived on the connection dead. This is the case if c was already open
// when bytes last arrived on dead, and bytes have arrived on c after the time
// since.
func (c *conn) provesAlive(dead *conn, since time.Time) bool {
	return !c.opened.After(dead.received.Last()) && c.received.Last().After(since)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.transport.forget(c)
	return c.Conn.Close()
}
