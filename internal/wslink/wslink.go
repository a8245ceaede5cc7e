// Package wslink opens and accepts the WebSocket connections between entry
// hosts, and detects connections that have died without a reset.
//
// A network path may accept and acknowledge bytes without delivering them:
// writes succeed, and TCP keepalive probes are answered. Only a missing answer
// from the peer shows that the connection is dead. So each side pings the peer
// when it has received nothing for a while, and sooner if a caller waits on the
// connection. It closes the connection if no bytes come back in time. Any byte
// from the peer counts as an answer, so that a long message on a low-bandwidth
// link isn't mistaken for silence. When a connection is found dead, all other
// connections of the host become suspect and are pinged at once.
package wslink

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"go.uber.org/zap"

	"curlewsill.org/curlewsill/internal/meter"
)

// Policy says when a connection is pinged and when it is closed.
type Policy struct {
	// PingAfter is how long nothing may arrive from the peer before it is
	// pinged. The actual time is random, between three quarters of PingAfter
	// and the whole. So connections that died together are not all detected,
	// and opened again, at the same moment.
	PingAfter time.Duration
	// InUsePingAfter replaces PingAfter while the connection is in use or
	// suspect. It has no jitter.
	InUsePingAfter time.Duration
	// PongTimeout is how long a pinged peer may send nothing before the
	// connection counts as dead.
	PongTimeout time.Duration
	// IdleTimeout is how long the connection may be unused before it is closed;
	// 0 disables this.
	IdleTimeout time.Duration
}

// Policies holds the policies of the two sides of a connection. The accepting
// side's PingAfter should be longer than the dialing side's. Then the accepting
// side pings only peers whose own pings don't arrive.
type Policies struct {
	Dialed, Accepted Policy
}

// Links is a host's set of connections. It is safe for concurrent use.
type Links struct {
	client     *http.Client
	policies   Policies
	maxMessage int64
	log        *zap.Logger

	mu sync.Mutex
	// open holds the connections that have not been closed.
	open map[*Conn]struct{}
	// closed is set once the set accepts no more connections.
	closed bool

	deadCount atomic.Uint64
	// received records when a message or pong last arrived on any connection.
	received *meter.EventTime
}

// New returns an empty set. The client opens its connections, and maxMessage
// bounds a message in bytes.
func New(c *http.Client, p Policies, maxMessage int64, log *zap.Logger) *Links {
	return &Links{client: c, policies: p, maxMessage: maxMessage, log: log, open: map[*Conn]struct{}{}, received: meter.New()}
}

// Open returns how many connections are open.
func (l *Links) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// FoundDead returns how many connections were closed because nothing came from
// their peers.
func (l *Links) FoundDead() uint64 { return l.deadCount.Load() }

// Unheard returns how long ago a message or pong last arrived on any connection,
// or since New if none has.
func (l *Links) Unheard() time.Duration { return l.received.Ago() }

// Dial opens a connection. The URL's scheme is ws or wss. The caller must keep
// calling Read on the connection, so that pings are answered.
func (l *Links) Dial(ctx context.Context, url string) (*Conn, error) {
	var received *meter.EventTime
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if m, ok := i.Conn.(*metered); ok {
			received = m.received
		}
	}})
	ws, resp, err := websocket.Dial(ctx, url, &websocket.DialOptions{HTTPClient: l.client})
	if resp != nil && resp.Body != nil && err != nil {
		_ = resp.Body.Close()
	}
	if err != nil {
		return nil, fmt.Errorf("wslink: %w", err)
	}
	return l.add(ws, url, "dialed", l.policies.Dialed, received)
}

// Accept accepts a connection that a peer opens. If Accept fails, it has
// written the error response. The caller must keep calling Read on the
// connection, without blocking in between, so that pings are answered.
func (l *Links) Accept(w http.ResponseWriter, r *http.Request) (*Conn, error) {
	m := &meteredWriter{ResponseWriter: w, received: meter.New()}
	ws, err := websocket.Accept(m, r, nil)
	if err != nil {
		return nil, fmt.Errorf("wslink: %w", err)
	}
	return l.add(ws, r.RemoteAddr, "accepted", l.policies.Accepted, m.received)
}

// add adds a connection to the set and starts to watch it. received is nil if
// reads of its bytes aren't observed.
func (l *Links) add(ws *websocket.Conn, peer, side string, p Policy, received *meter.EventTime) (*Conn, error) {
	ws.SetReadLimit(l.maxMessage)
	if received == nil {
		received = meter.New()
	}
	c := &Conn{
		ws: ws, links: l, peer: peer, side: side, policy: p, opened: time.Now(),
		received: received, lastUse: meter.New(), lastSlowWrite: meter.New(), wake: make(chan struct{}, 1),
	}
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		_ = ws.CloseNow()
		return nil, ErrClosed
	}
	l.open[c] = struct{}{}
	l.mu.Unlock()
	go c.watch()
	return c, nil
}

// forget removes a connection that was closed.
func (l *Links) forget(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// MarkAllSuspect marks all open connections suspect. Those that have received
// nothing for Policy.InUsePingAfter are pinged at once.
func (l *Links) MarkAllSuspect() {
	for _, c := range l.all() {
		c.markSuspect()
	}
}

// Close closes all connections; the set accepts no more.
func (l *Links) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	for _, c := range l.all() {
		c.Close()
	}
}

// all returns the open connections.
func (l *Links) all() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*Conn, 0, len(l.open))
	for c := range l.open {
		out = append(out, c)
	}
	return out
}
