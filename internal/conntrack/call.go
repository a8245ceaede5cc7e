package conntrack

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"
)

// waitKey is the context key of WithWait.
type waitKey struct{}

// WithWait sets in ctx how long a call may wait at the server for an event, as
// a long poll does.
func WithWait(ctx context.Context, wait time.Duration) context.Context {
	return context.WithValue(ctx, waitKey{}, wait)
}

// WaitOf returns the duration set by WithWait, or false if none was set.
func WaitOf(ctx context.Context) (time.Duration, bool) {
	wait, known := ctx.Value(waitKey{}).(time.Duration)
	return wait, known
}

// call is one call in flight.
type call struct {
	transport *Transport
	began     time.Time
	// address is where the call goes. incarnation is the incarnation of the
	// process at this address that the call is for; it is empty if the call is
	// for any incarnation.
	address, incarnation string
	// wait is how long the call may wait at the server; known is set if the
	// caller specified it.
	wait  time.Duration
	known bool

	// conn is the connection that the call uses, nil until it has one. idle is
	// how long the connection was unused before. first is set if no call had
	// been answered on it before. The transport's lock guards all three.
	conn  *conn
	idle  time.Duration
	first bool
	// misdirected is set once an incarnation has answered that isn't the one
	// that the call is for. ended is set once the call has ended. The
	// transport's lock guards both.
	misdirected, ended bool
}

func newCall(req *http.Request, t *Transport) *call {
	c := &call{transport: t, began: time.Now(), address: req.URL.Host}
	if t.perIncarnation {
		c.incarnation = incarnationOf(req.Context())
	}
	c.wait, c.known = WaitOf(req.Context())
	return c
}

// gotConn records the connection that the call uses. If the connection is
// suspect, gotConn closes it. The base transport then retries on another
// connection, since nothing was sent.
func (c *call) gotConn(info httptrace.GotConnInfo) {
	x, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	if c.setConn(x, info.IdleTime) {
		_ = x.Close()
	}
}

// setConn records the connection that the call uses, and reports whether the
// connection is suspect. idle is how long the connection was unused.
func (c *call) setConn(x *conn, idle time.Duration) bool {
	t := c.transport
	t.mu.Lock()
	defer t.mu.Unlock()
	c.conn, c.idle, c.first = x, idle, !x.used
	x.call = c
	p := t.peers[x.to]
	return p != nil && p.isSuspect(x)
}

// finish records that the call has ended, and returns its connection. It
// returns nil if the call had no connection or had ended before. An answer
// proves only that the connection worked when the call was sent. The connection
// may have become suspect since then; retire reports that it has and must not
// be used again.
func (c *call) finish(answered bool) (x *conn, retire bool) {
	t := c.transport
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.ended {
		return nil, false
	}
	c.ended = true
	x = c.conn
	if x == nil {
		return nil, false
	}
	if answered {
		x.used = true
		if x.proven.Before(c.began) {
			x.proven = c.began
		}
	}
	idle := x.call == c
	if idle {
		x.call = nil
	}
	p := t.peers[x.to]
	return x, answered && idle && p != nil && p.isSuspect(x)
}

// answered records that the answer was read completely.
func (c *call) answered() {
	if x, retire := c.finish(true); retire {
		_ = x.Close()
	}
}

// failed records that the call ended without an answer.
func (c *call) failed(err error) {
	x, _ := c.finish(false)
	if x == nil {
		return
	}
	now := time.Now()
	if w := deadReason(err, now.Sub(c.began), c.wait, c.known); w != "" {
		c.transport.reportDead(x, DeadConn{To: x.to, Age: now.Sub(x.opened), Idle: c.idle, First: c.first, Why: w})
	}
}

// body is the body of an answer. It notifies its call when it has been read.
type body struct {
	io.ReadCloser
	call *call
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch err {
	case nil:
	case io.EOF:
		b.call.answered()
	default:
		b.call.failed(err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	err := b.ReadCloser.Close()
	b.call.finish(false)
	return err
}
