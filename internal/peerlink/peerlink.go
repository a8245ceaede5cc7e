// Package peerlink carries frames between entry hosts over WebSocket, each frame one
// binary message of CBOR.
//
// A host opens one connection to each of its neighbors and only writes to it; what it
// hears comes over connections that others opened. A neighbor that doesn't take
// frames fast enough loses the oldest news, never the host's time: frames that find
// no room are dropped, and the next one says everything again.
package peerlink

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/codec"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/peer"
	"curlewsill.org/curlewsill/internal/ring"
)

// Path is where a host takes connections of its peers.
const Path = "/v1/peer"

const (
	// maxFrame bounds a frame in bytes.
	maxFrame = 512 << 10
	// queued is how many frames wait for one neighbor.
	queued = 4
	// writeTimeout bounds the writing of one frame.
	writeTimeout = time.Second
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 2 * time.Second
	// retryLeast and retryMost bound the pause before a connection is tried again.
	// The pause is drawn anew each time, so that hosts don't come back together.
	retryLeast = 200 * time.Millisecond
	retryMost  = 3 * time.Second
	// idleAfter closes a connection to a host that is no longer a neighbor.
	idleAfter = 30 * time.Second
)

var frames = codec.New[peer.Frame]()

// Links is the set of a host's connections. It is safe for concurrent use.
type Links struct {
	log  *zap.Logger
	http *http.Client
	// scheme is ws or wss.
	scheme string
	heard  func(context.Context, peer.Frame)

	mu      sync.Mutex
	address map[id.Host]string
	out     map[id.Host]*ring.Ring[[]byte]

	sent, received, dropped atomic.Uint64
}

// New returns links that hand what they hear to heard, which may block.
func New(log *zap.Logger, c *http.Client, tls bool, heard func(context.Context, peer.Frame)) *Links {
	scheme := "ws"
	if tls {
		scheme = "wss"
	}
	return &Links{
		log: log, http: c, scheme: scheme, heard: heard,
		address: map[id.Host]string{}, out: map[id.Host]*ring.Ring[[]byte]{},
	}
}

// Bytes returns how many bytes of frames were sent and received.
func (l *Links) Bytes() (sent, received uint64) { return l.sent.Load(), l.received.Load() }

// Dropped returns how many frames found no room.
func (l *Links) Dropped() uint64 { return l.dropped.Load() }

// Addresses takes over where the hosts listen.
func (l *Links) Addresses(m map[id.Host]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.address = m
}

// Send queues a frame for a peer. It never blocks.
func (l *Links) Send(ctx context.Context, to id.Host, f peer.Frame) {
	raw, err := frames.Encode(f)
	if err != nil {
		l.log.Error("peer frame", zap.Error(err))
		return
	}
	l.mu.Lock()
	r := l.out[to]
	if r == nil {
		r = ring.New[[]byte](queued)
		l.out[to] = r
		go l.write(ctx, to, r)
	}
	l.mu.Unlock()
	if !r.Offer(raw) {
		l.dropped.Add(1)
	}
}

// write is the goroutine of one neighbor.
func (l *Links) write(ctx context.Context, to id.Host, r *ring.Ring[[]byte]) {
	defer l.forget(to)
	var conn *websocket.Conn
	defer func() {
		if conn != nil {
			_ = conn.CloseNow()
		}
	}()
	idle := time.NewTimer(idleAfter)
	defer idle.Stop()
	for {
		idle.Reset(idleAfter)
		select {
		case <-ctx.Done():
			return
		case <-idle.C:
			return
		case raw := <-r.C():
			if conn == nil {
				conn = l.dial(ctx, to)
			}
			if conn != nil && !l.writeFrame(ctx, conn, raw) {
				_ = conn.CloseNow()
				conn = nil
			}
			if conn == nil {
				pause(ctx)
			}
		}
	}
}

func (l *Links) forget(to id.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.out, to)
}

func (l *Links) dial(ctx context.Context, to id.Host) *websocket.Conn {
	l.mu.Lock()
	address := l.address[to]
	l.mu.Unlock()
	if address == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, resp, err := websocket.Dial(ctx, l.scheme+"://"+address+Path, &websocket.DialOptions{HTTPClient: l.http})
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	if err != nil {
		l.log.Debug("peer connection", zap.String("peer", string(to)), zap.Error(err))
		return nil
	}
	// The connection is only written to. CloseRead answers pings and closes.
	conn.CloseRead(context.WithoutCancel(ctx))
	return conn
}

func (l *Links) writeFrame(ctx context.Context, conn *websocket.Conn, raw []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := conn.Write(ctx, websocket.MessageBinary, raw); err != nil {
		return false
	}
	l.sent.Add(uint64(len(raw)))
	return true
}

// pause waits for a random time.
func pause(ctx context.Context) {
	t := time.NewTimer(retryLeast + rand.N(retryMost-retryLeast))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// ServeHTTP takes a connection of a peer and reads frames until it ends.
func (l *Links) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer func() { _ = conn.CloseNow() }()
	conn.SetReadLimit(maxFrame)
	for {
		_, raw, err := conn.Read(r.Context())
		if err != nil {
			if websocket.CloseStatus(err) == -1 && !errors.Is(err, context.Canceled) {
				l.log.Debug("peer connection ended", zap.Error(err))
			}
			return
		}
		l.received.Add(uint64(len(raw)))
		f, err := frames.Decode(raw)
		if err != nil {
			l.log.Warn("peer frame not understood", zap.Error(err))
			return
		}
		l.heard(r.Context(), f)
	}
}
