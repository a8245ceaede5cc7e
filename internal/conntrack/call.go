package conntrack

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"
)

// waitKey carries how long a call may wait at its other end.
type waitKey struct{}

// WithWait notes in ctx how long a call may wait at its other end for news.
func WithWait(ctx context.Context, wait time.Duration) context.Context {
	return context.WithValue(ctx, waitKey{}, wait)
}

// Wait returns what WithWait has noted, or false if nothing was.
func Wait(ctx context.Context) (time.Duration, bool) {
	wait, known := ctx.Value(waitKey{}).(time.Duration)
	return wait, known
}

// call is one call under way.
type call struct {
	transport *Transport
	began     time.Time
	// address is where it goes, life the one there that it is for; empty if any will do.
	address, life string
	// wait is how long it may wait at its other end; known is set if the caller said so.
	wait  time.Duration
	known bool

	// conn is the connection that it was sent on, nil before; idle is for how long that lay unused,
	// first whether it is the first call there. Guarded by the transport's lock.
	conn  *conn
	idle  time.Duration
	first bool
	// misdirected is set once another life has answered, settled once the call has ended. Guarded by the
	// transport's lock.
	misdirected, settled bool
}

func newCall(req *http.Request, t *Transport) *call {
	c := &call{transport: t, began: time.Now(), address: req.URL.Host}
	if t.perLife {
		c.life = lifeOf(req.Context())
	}
	c.wait, c.known = Wait(req.Context())
	return c
}

// got notes the connection that the call goes on. A suspect one is closed: the base transport takes
// another, since nothing was sent.
func (c *call) got(info httptrace.GotConnInfo) {
	x, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	if c.take(x, info.IdleTime) {
		_ = x.Close()
	}
}

// take notes the connection that the call goes on, and reports whether that is suspect.
func (c *call) take(x *conn, idle time.Duration) bool {
	t := c.transport
	t.mu.Lock()
	defer t.mu.Unlock()
	c.conn, c.idle, c.first = x, idle, !x.used
	x.call = c
	p := t.peers[x.to]
	return p != nil && p.suspects(x)
}

// leave notes that the call has ended, and returns its connection; nil if it had none or has ended
// before. An answer proves the connection for the time when the call left. retire is set if that
// isn't enough to use it again.
func (c *call) leave(answered bool) (x *conn, retire bool) {
	t := c.transport
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.settled {
		return nil, false
	}
	c.settled = true
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
	return x, answered && idle && p != nil && p.suspects(x)
}

// answered notes that the answer was read whole.
func (c *call) answered() {
	if x, retire := c.leave(true); retire {
		_ = x.Close()
	}
}

// failed notes that the call ended without an answer.
func (c *call) failed(err error) {
	x, _ := c.leave(false)
	if x == nil {
		return
	}
	now := time.Now()
	if w := why(err, now.Sub(c.began), c.wait, c.known); w != "" {
		c.transport.suspect(x, Found{To: x.to, Age: now.Sub(x.opened), Idle: c.idle, First: c.first, Why: w})
	}
}

// body is an answer's body, which tells its call when it has been read.
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
	b.call.leave(false)
	return err
}
