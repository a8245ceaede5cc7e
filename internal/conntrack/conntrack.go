// Package conntrack is an HTTP transport that stops using connections that have
// gone silent.
//
// A network path between two machines may lose all its connections at once
// without a reset, while new ones work. Only a call that gets no answer shows
// that a connection is lost, and only for the connection of this call. So each
// unanswered call makes the other connections to its address suspect, except
// those that were proven to work shortly before. A suspect connection isn't used
// again. Otherwise each lost connection would cost the timeout of one more call.
//
// No connection becomes suspect if bytes still arrive on a connection that was
// open before the one without an answer went silent. In this case the service,
// or the link to it, is only slow, and new connections would add to the load.
//
// Several incarnations of a process may use one address in turn, and an earlier
// one may keep answering on connections that it has accepted. A transport made
// by NewPerIncarnation uses separate connections for calls to different
// incarnations. Suspicion applies to the network path to an address, and so to
// the connections of all incarnations there.
//
// Calls in flight on suspect connections are not canceled. The answer may also
// be missing because the service is slow. Canceling a long poll at this service
// would then only cause a repeat of the poll.
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
	// provenWithin is the length of a period that ends when a call is found
	// unanswered. A connection doesn't become suspect if a call that was sent
	// on it in this period was answered. Bytes that arrived on a connection in
	// this period show that the path works. The shortest timeout of a call is
	// 600 ms, so a path that was silent during a whole call was already silent
	// 300 ms before the call's end.
	provenWithin = 300 * time.Millisecond
	// overdueAfter applies to calls whose wait at the server is known. If such
	// a call is canceled or times out, its connection counts as dead, and the
	// others to the same address become suspect, only if the answer is overdue
	// by this much. Slow stores and workers answer within 300 ms.
	overdueAfter = 400 * time.Millisecond
)

// DeadConn describes a connection that was found dead.
type DeadConn struct {
	// To is the remote address.
	To string
	// Age is the time since the connection was opened, Idle how long it had
	// been idle before its last call.
	Age, Idle time.Duration
	// First is set if the last call was the first one on the connection. Then
	// new connections are silent too, which may also mean that the service
	// hangs.
	First bool
	// Why is the reason for which the connection counts as dead.
	Why string
	// Closed is how many other connections were closed with it because they
	// were idle and suspect.
	Closed int
}

// Transport is an http.RoundTripper. It is safe for concurrent use.
type Transport struct {
	base   *http.Transport
	onDead func(DeadConn)
	// perIncarnation is set if calls for different incarnations share no
	// connection.
	perIncarnation bool

	mu sync.Mutex
	// peers holds the state of each address with open connections.
	peers map[string]*peer
}

// New returns a transport that makes its calls with base and tracks the
// connections of base. It replaces base's dial function, so base must not have
// been used before. onDead is called for each connection that was found dead.
// onDead must not block.
func New(base *http.Transport, onDead func(DeadConn)) *Transport {
	t := &Transport{base: base, onDead: onDead, peers: map[string]*peer{}}
	dial := base.DialContext
	base.DialContext = func(ctx context.Context, network, host string) (net.Conn, error) {
		openedFor := dialingCall(ctx, host)
		c, err := dial(ctx, network, openedFor.address)
		if err != nil {
			return nil, err
		}
		if err := openedFor.runHandshake(ctx, c); err != nil {
			_ = c.Close()
			return nil, err
		}
		out := t.track(c, openedFor)
		if out == nil {
			_ = c.Close()
			return nil, errGone
		}
		return out, nil
	}
	return t
}

// NewPerIncarnation is like New, for addresses that several incarnations of a
// process use in turn. A call that names an incarnation by WithIncarnation uses
// only connections that were opened for this incarnation. The limits of base on
// connections per host apply to each incarnation. Calls must use plain HTTP.
func NewPerIncarnation(base *http.Transport, onDead func(DeadConn)) *Transport {
	t := New(base, onDead)
	t.perIncarnation = true
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
	trace := &httptrace.ClientTrace{GotConn: c.gotConn}
	resp, err := c.send(httptrace.WithClientTrace(req.Context(), trace), req)
	if err != nil {
		err = c.markNotSent(err)
		c.failed(err)
		return nil, err
	}
	if resp.StatusCode == http.StatusMisdirectedRequest {
		t.misdirected(c)
	}
	resp.Body = &body{ReadCloser: resp.Body, call: c}
	return resp, nil
}

// track registers a connection that was opened for a call. Meanwhile, the call
// may have been answered on another connection, by another incarnation than the
// one that the call is for. Then track returns nil, since the new connection
// would stay idle.
func (t *Transport) track(c net.Conn, openedFor *call) *conn {
	received := meter.New()
	now := received.Last()
	out := &conn{Conn: received.Conn(c), transport: t, to: openedFor.address, incarnation: openedFor.incarnation, opened: now, received: received, proven: now}
	t.mu.Lock()
	defer t.mu.Unlock()
	if openedFor.misdirected {
		return nil
	}
	p := t.peers[openedFor.address]
	if p == nil {
		p = &peer{conns: map[*conn]struct{}{}}
		t.peers[openedFor.address] = p
	}
	p.conns[out] = struct{}{}
	return out
}

// forget removes a connection that is closed.
func (t *Transport) forget(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[c.to]
	if p == nil {
		return
	}
	delete(p.conns, c)
	if len(p.conns) == 0 {
		delete(t.peers, c.to) // a connection that is opened later counts as proven by its opening
	}
}

// reportDead handles a connection that was found dead. Unless the path to its
// address is known to work, reportDead makes the other connections to this
// address suspect, closes the idle ones and calls onDead. A suspect connection
// in use is closed when its call ends.
func (t *Transport) reportDead(dead *conn, f DeadConn) {
	closing, silent := t.markSuspects(dead)
	if !silent {
		return
	}
	for _, c := range closing {
		_ = c.Close() // the next call opens another
	}
	f.Closed = len(closing)
	t.onDead(f)
}

// markSuspects makes the connections to the address of a dead connection
// suspect, except those that were proven within provenWithin. It returns the
// suspects that are idle, without the dead connection itself.
//
// If the path works, markSuspects changes nothing and returns false for silent:
// answers are only slow then, as over a saturated link. The path works if bytes
// have arrived within provenWithin on the dead connection, or on another
// connection that was already open when bytes last arrived on the dead one.
func (t *Transport) markSuspects(dead *conn) (idle []*conn, silent bool) {
	since := time.Now().Add(-provenWithin)
	t.mu.Lock()
	defer t.mu.Unlock()
	if dead.provesAlive(dead, since) {
		return nil, false
	}
	p := t.peers[dead.to]
	if p == nil {
		return nil, true
	}
	for c := range p.conns {
		if c.provesAlive(dead, since) {
			return nil, false
		}
		if c != dead && c.call == nil && !c.proven.After(since) {
			idle = append(idle, c)
		}
	}
	p.provenAfter = since
	return idle, true
}

// deadReason returns why a call's connection counts as dead, or "" if the end
// of the call doesn't show that it is.
func deadReason(err error, elapsed, wait time.Duration, known bool) string {
	switch {
	case errors.Is(err, syscall.ETIMEDOUT):
		return "the kernel got no acknowledgement"
	case errors.Is(err, context.DeadlineExceeded) && (!known || elapsed >= wait+overdueAfter):
		return "no answer in time"
	case errors.Is(err, context.Canceled) && known && elapsed >= wait+overdueAfter:
		return "no answer when the call was canceled"
	}
	return ""
}
