// Package peerlink carries frames between entry hosts over WebSocket. Each
// frame is one binary message of CBOR.
//
// A host opens one connection to each of its neighbors and only writes to it.
// It receives frames over connections that others opened. A neighbor that
// accepts frames too slowly misses some of them, but never delays the host: if
// the neighbor's queue is full, a new frame is dropped. This is safe, since the
// next frame repeats the whole state.
//
// Writes succeed on a connection that has died without a reset. So both sides
// send pings. After a connection is found dead, the next frame goes over a new
// one.
package peerlink

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/codec"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/peer"
	"curlewsill.org/curlewsill/internal/ring"
	"curlewsill.org/curlewsill/internal/wslink"
)

// Path is the URL path at which a host accepts connections of its peers.
const Path = "/v1/peer"

const (
	// maxFrame bounds a frame in bytes.
	maxFrame = 512 << 10
	// queueSize is how many frames may wait for one neighbor.
	queueSize = 4
	// writeTimeout bounds the writing of one frame.
	writeTimeout = time.Second
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 2 * time.Second
	// minRetryPause and maxRetryPause bound the pause before a connection is
	// tried again. The pause is random each time, so that hosts don't reconnect
	// all at once.
	minRetryPause = 200 * time.Millisecond
	maxRetryPause = 3 * time.Second
	// idleAfter is the time without frames for a host after which the
	// connection to it is closed, since the host is no longer a neighbor.
	idleAfter = 30 * time.Second
	// pingAfter is how long a neighbor may send nothing before it is pinged,
	// and pongTimeout how long the neighbor may take to answer. A host counts
	// as up until 4 s have passed without a frame from it. A dead connection is
	// found after 2 s, and the next frame follows within half a second, so the
	// host still counts as up. Including headers, a ping and its answer take
	// 200 bytes: four neighbors cost 0.8 kB a second.
	pingAfter   = time.Second
	pongTimeout = time.Second
	// acceptedPingAfter is pingAfter for the accepting side. A working peer
	// would have sent five frames and two pings of its own in this time.
	acceptedPingAfter = 2500 * time.Millisecond
)

// policies says when connections are pinged. Frames are one-way, so no caller
// waits on a connection.
var policies = wslink.Policies{
	Dialed:   wslink.Policy{PingAfter: pingAfter, InUsePingAfter: pingAfter, PongTimeout: pongTimeout},
	Accepted: wslink.Policy{PingAfter: acceptedPingAfter, InUsePingAfter: pingAfter, PongTimeout: pongTimeout},
}

var frames = codec.New[peer.Frame]()

// Links is the set of a host's connections. It is safe for concurrent use.
type Links struct {
	log   *zap.Logger
	conns *wslink.Links
	// scheme is ws or wss.
	scheme  string
	onFrame func(context.Context, peer.Frame)

	mu        sync.Mutex
	addresses map[id.Host]string
	queues    map[id.Host]*ring.Ring[[]byte]

	sent, received, dropped atomic.Uint64
}

// New returns links that pass received frames to onFrame, which may block.
func New(log *zap.Logger, c *http.Client, tls bool, onFrame func(context.Context, peer.Frame)) *Links {
	scheme := "ws"
	if tls {
		scheme = "wss"
	}
	return &Links{
		log: log, conns: wslink.New(c, policies, maxFrame, log), scheme: scheme, onFrame: onFrame,
		addresses: map[id.Host]string{}, queues: map[id.Host]*ring.Ring[[]byte]{},
	}
}

// Bytes returns how many bytes of frames were sent and received.
func (l *Links) Bytes() (sent, received uint64) { return l.sent.Load(), l.received.Load() }

// Dropped returns how many frames were dropped because a queue was full.
func (l *Links) Dropped() uint64 { return l.dropped.Load() }

// FoundDead returns how many connections were closed because nothing came from
// the peer.
func (l *Links) FoundDead() uint64 { return l.conns.FoundDead() }

// SetAddresses replaces the addresses at which the hosts listen.
func (l *Links) SetAddresses(m map[id.Host]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addresses = m
}

// Send queues a frame for a peer. It never blocks.
func (l *Links) Send(ctx context.Context, to id.Host, f peer.Frame) {
	raw, err := frames.Encode(f)
	if err != nil {
		l.log.Error("peer frame", zap.Error(err))
		return
	}
	l.mu.Lock()
	r := l.queues[to]
	if r == nil {
		r = ring.New[[]byte](queueSize)
		l.queues[to] = r
		go l.write(ctx, to, r)
	}
	l.mu.Unlock()
	if !r.Offer(raw) {
		l.dropped.Add(1)
	}
}

// write sends the queued frames to one neighbor. It runs in a separate
// goroutine until ctx is done or no frame was queued for idleAfter.
func (l *Links) write(ctx context.Context, to id.Host, r *ring.Ring[[]byte]) {
	defer l.forget(to)
	var conn *wslink.Conn
	defer func() {
		if conn != nil {
			conn.Close()
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
			if conn == nil || conn.Cause() != nil {
				conn = l.dial(ctx, to)
			}
			if conn != nil && !l.writeFrame(ctx, conn, raw) {
				conn.Close()
				if errors.Is(conn.Cause(), wslink.ErrSilent) {
					continue // no pause: after one, this host might count as down before the next frame arrives
				}
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
	delete(l.queues, to)
}

func (l *Links) dial(ctx context.Context, to id.Host) *wslink.Conn {
	l.mu.Lock()
	address := l.addresses[to]
	l.mu.Unlock()
	if address == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := l.conns.Dial(ctx, l.scheme+"://"+address+Path)
	if err != nil {
		l.log.Debug("peer connection", zap.String("peer", string(to)), zap.Error(err))
		return nil
	}
	go drain(conn)
	return conn
}

// drain reads from a connection that is only written to, until it ends, so that
// pings are answered. No messages are expected.
func drain(conn *wslink.Conn) {
	_, _ = conn.Read(conn.Context()) // the cause is logged by the connection
	conn.Close()
}

func (l *Links) writeFrame(ctx context.Context, conn *wslink.Conn, raw []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := conn.Write(ctx, raw); err != nil {
		return false
	}
	l.sent.Add(uint64(len(raw)))
	return true
}

// pause waits for a random time.
func pause(ctx context.Context) {
	t := time.NewTimer(minRetryPause + rand.N(maxRetryPause-minRetryPause))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// ServeHTTP accepts a connection of a peer and reads frames until it ends.
func (l *Links) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := l.conns.Accept(w, r)
	if err != nil {
		l.log.Info("peer refused", zap.Error(err))
		return
	}
	defer conn.Close()
	for {
		raw, err := conn.Read(conn.Context())
		if err != nil {
			return
		}
		l.received.Add(uint64(len(raw)))
		f, err := frames.Decode(raw)
		if err != nil {
			l.log.Warn("peer frame not understood", zap.Error(err))
			return
		}
		l.onFrame(conn.Context(), f) // the context ends the wait when the connection ends
	}
}
