// Package conntrack is an HTTP transport that stops using connections that have gone silent.
//
// A path between two machines may lose all its connections at once without a reset, while new ones
// work. Nothing but a call that gets no answer shows it, and only for the connection of that call.
// So each such call makes the other connections to its address suspect: those that have not been
// proven since are not used again. Without it each of them costs the time limit of one more call.
//
// No connection becomes suspect while bytes still come on one that is as old: the service, or the link
// to it, is slow then, and new connections would add to that.
//
// An address may have several lives of a process in turn, and an earlier one may go on answering on the
// connections that it has. A transport of NewPerLife keeps the connections of calls that name different
// lives apart. What is believed of an address is believed of the way to it, and so of all of them.
//
// Calls under way on suspect connections are left alone. A call without an answer may as well come
// from a service that is slow, and whoever waits there for news would ask again in vain.
package conntrack

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"syscall"
	"time"

	"curlewsill.org/curlewsill/internal/meter"
)

const (
	// provenWithin is how long before a call was found unanswered another connection must have
	// carried a call and its answer to be trusted still, or bytes to vouch for the others. The
	// shortest limit of a call is 600 ms: whatever was silent for it was so 300 ms before its end.
	provenWithin = 300 * time.Millisecond
	// overdueAfter is how long an answer must be overdue when its call is given up to make others
	// suspect: slow stores and workers answer within 300 ms.
	overdueAfter = 400 * time.Millisecond
)

// Found is a connection that was found dead.
type Found struct {
	// To is the address at its other end.
	To string
	// Age is since when it was open, Idle how long it had lain idle before its last call.
	Age, Idle time.Duration
	// First is set if that call was the first one on it: new connections are silent too, as they
	// are to a service that hangs.
	First bool
	// Why tells what showed it.
	Why string
	// Closed is how many others were closed with it because they were idle and suspect.
	Closed int
}

// Transport is an http.RoundTripper. It is safe for concurrent use.
type Transport struct {
	base  *http.Transport
	found func(Found)
	// perLife is set if calls for different lives share no connection.
	perLife bool

	mu sync.Mutex
	// peers holds the addresses with open connections, and what is believed of them.
	peers map[string]*peer
}

// New returns a transport over base, whose connections it tracks from now on; base must not have
// been used. found is told of each connection that was found dead and must not block.
func New(base *http.Transport, found func(Found)) *Transport {
	t := &Transport{base: base, found: found, peers: map[string]*peer{}}
	dial := base.DialContext
	base.DialContext = func(ctx context.Context, network, host string) (net.Conn, error) {
		by := opener(ctx, host)
		c, err := dial(ctx, network, by.address)
		if err != nil {
			return nil, err
		}
		if err := by.shake(ctx, c); err != nil {
			_ = c.Close()
			return nil, err
		}
		out := t.track(c, by)
		if out == nil {
			_ = c.Close()
			return nil, errGone
		}
		return out, nil
	}
	return t
}

// NewPerLife is New for addresses of which a process may have several lives: a call that names one by
// WithLife goes over a connection that was opened for this life only. The bounds of base on connections
// to a host are those to a life. Calls are over plain HTTP.
func NewPerLife(base *http.Transport, found func(Found)) *Transport {
	t := New(base, found)
	t.perLife = true
	return t
}

// Open returns how many connections are open.
func (t *Transport) Open() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, p := range t.peers {
		n += len(p.conns)
	}
	return n
}

// CloseIdleConnections closes the connections that are not in use.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	c := newCall(req, t)
	trace := &httptrace.ClientTrace{GotConn: c.got}
	resp, err := c.send(httptrace.WithClientTrace(req.Context(), trace), req)
	if err != nil {
		err = c.unsent(err)
		c.failed(err)
		return nil, err
	}
	if resp.StatusCode == http.StatusMisdirectedRequest {
		t.misdirected(c)
	}
	resp.Body = &body{ReadCloser: resp.Body, call: c}
	return resp, nil
}

// track notes a connection that a call has opened. It returns nil if another life has answered the call
// meanwhile, on another connection: this one would lie idle.
func (t *Transport) track(c net.Conn, by *call) *conn {
	heard := meter.New()
	now := heard.Last()
	out := &conn{Conn: heard.Conn(c), transport: t, to: by.address, life: by.life, opened: now, heard: heard, proven: now}
	t.mu.Lock()
	defer t.mu.Unlock()
	if by.misdirected {
		return nil
	}
	p := t.peers[by.address]
	if p == nil {
		p = &peer{conns: map[*conn]struct{}{}}
		t.peers[by.address] = p
	}
	p.conns[out] = struct{}{}
	return out
}

// forget drops a connection that is closed.
func (t *Transport) forget(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[c.to]
	if p == nil {
		return
	}
	delete(p.conns, c)
	if len(p.conns) == 0 {
		delete(t.peers, c.to) // a connection that is opened later is proven by its opening
	}
}

// suspect makes the other connections to the address of one that was found dead suspect, and closes
// those that are idle. The others are closed when their call ends.
func (t *Transport) suspect(dead *conn, f Found) {
	closing, silent := t.markSuspects(dead)
	if !silent {
		return
	}
	for _, c := range closing {
		_ = c.Close() // the next call opens another
	}
	f.Closed = len(closing)
	t.found(f)
}

// markSuspects returns the idle connections that are suspect. It reports false if bytes have come on
// the dead one or on another that is as old: answers are slow then, as over a link that is full.
func (t *Transport) markSuspects(dead *conn) (idle []*conn, silent bool) {
	since := time.Now().Add(-provenWithin)
	t.mu.Lock()
	defer t.mu.Unlock()
	if dead.vouches(dead, since) {
		return nil, false
	}
	p := t.peers[dead.to]
	if p == nil {
		return nil, true
	}
	for c := range p.conns {
		if c.vouches(dead, since) {
			return nil, false
		}
		if c != dead && c.call == nil && !c.proven.After(since) {
			idle = append(idle, c)
		}
	}
	p.suspect = since
	return idle, true
}

// why tells what showed that a call's connection is dead; empty if nothing did.
func why(err error, waited, wait time.Duration, known bool) string {
	switch {
	case errors.Is(err, syscall.ETIMEDOUT):
		return "the kernel got no acknowledgement"
	case errors.Is(err, context.DeadlineExceeded) && (!known || waited >= wait+overdueAfter):
		return "no answer in time"
	case errors.Is(err, context.Canceled) && known && waited >= wait+overdueAfter:
		return "no answer when the call was given up"
	}
	return ""
}
