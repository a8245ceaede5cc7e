// Package wslink opens and accepts the WebSocket connections between entry hosts, and finds those
// that have died without a sign.
//
// A path may take bytes, acknowledge them and carry nothing on: writes succeed and TCP's own probes
// are answered. Only an answer that is missing shows it. So each side pings a connection from which
// it has heard nothing for a while, sooner while somebody waits on it, and ends it when nothing at
// all comes back in time. Any byte from the peer counts, so that a long message on a thin link isn't
// taken for silence. A connection that is found dead makes all others of the host doubtful: they are
// pinged at once.
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

// Policy says when a connection is pinged and when it is ended.
type Policy struct {
	// Quiet is after which time without a byte from the peer it is pinged. Each pause is drawn
	// between three quarters of it and the whole: connections that died together are then not
	// found, and opened again, all at once.
	Quiet time.Duration
	// Waiting is the same while somebody waits on the connection or it is doubtful.
	Waiting time.Duration
	// Answer is how long a peer that was pinged may be silent.
	Answer time.Duration
	// Idle is after which time without use the connection is ended; 0 is never.
	Idle time.Duration
}

// Policies are those of the two sides of a connection. The accepting side's Quiet is best longer
// than the dialing side's, whose pings it hears: it then pings only those that don't.
type Policies struct {
	Dialed, Accepted Policy
}

// Links is a host's set of connections. It is safe for concurrent use.
type Links struct {
	client   *http.Client
	policies Policies
	limit    int64
	log      *zap.Logger

	mu sync.Mutex
	// open holds the connections that have not ended.
	open map[*Conn]struct{}
	// closed is set once no further connections are taken.
	closed bool

	silent atomic.Uint64
}

// New returns an empty set. The client opens its connections, and limit bounds a message in bytes.
func New(c *http.Client, p Policies, limit int64, log *zap.Logger) *Links {
	return &Links{client: c, policies: p, limit: limit, log: log, open: map[*Conn]struct{}{}}
}

// Open returns how many connections are open.
func (l *Links) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// Silent returns how many connections were found dead because their peers said nothing.
func (l *Links) Silent() uint64 { return l.silent.Load() }

// Dial opens a connection. The URL's scheme is ws or wss. A dialed connection has to be read.
func (l *Links) Dial(ctx context.Context, url string) (*Conn, error) {
	var heard *meter.Meter
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if m, ok := i.Conn.(*metered); ok {
			heard = m.heard
		}
	}})
	ws, resp, err := websocket.Dial(ctx, url, &websocket.DialOptions{HTTPClient: l.client})
	if resp != nil && resp.Body != nil && err != nil {
		_ = resp.Body.Close()
	}
	if err != nil {
		return nil, fmt.Errorf("wslink: %w", err)
	}
	return l.add(ws, url, "dialed", l.policies.Dialed, heard)
}

// Accept takes a connection that a peer opens. It answers the peer also if it fails. An accepted
// connection has to be read, and its reader may not block.
func (l *Links) Accept(w http.ResponseWriter, r *http.Request) (*Conn, error) {
	m := &meteredWriter{ResponseWriter: w, heard: meter.New()}
	ws, err := websocket.Accept(m, r, nil)
	if err != nil {
		return nil, fmt.Errorf("wslink: %w", err)
	}
	return l.add(ws, r.RemoteAddr, "accepted", l.policies.Accepted, m.heard)
}

// add begins to watch a connection. Heard is nil if its bytes aren't seen.
func (l *Links) add(ws *websocket.Conn, peer, side string, p Policy, heard *meter.Meter) (*Conn, error) {
	ws.SetReadLimit(l.limit)
	if heard == nil {
		heard = meter.New()
	}
	c := &Conn{
		ws: ws, links: l, peer: peer, side: side, policy: p, opened: time.Now(),
		heard: heard, used: meter.New(), heldUp: meter.New(), kick: make(chan struct{}, 1),
	}
	c.ctx, c.stop = context.WithCancelCause(context.Background())
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

// remove forgets a connection that has ended.
func (l *Links) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// Doubt makes all open connections doubtful: those that haven't brought anything lately are pinged
// at once.
func (l *Links) Doubt() {
	for _, c := range l.all() {
		c.doubt()
	}
}

// Close ends all connections and takes no more.
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
