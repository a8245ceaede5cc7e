// Package peerlink carries frames between entry hosts over WebSocket, each frame one
// binary message of CBOR.
//
// A host opens one connection to each of its neighbors and only writes to it; what it
// hears comes over connections that others opened. A neighbor that doesn't take
// frames fast enough loses the oldest news, never the host's time: frames that find
// no room are dropped, and the next one says everything again.
//
// Writes into a connection that has died without a sign succeed. So both sides ping, and the next
// frame goes over a new connection.
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
	// linkQuiet and linkAnswer are after which time without a word a neighbor is pinged, and how
	// long it may take to answer. A host counts as up for 4 s without a frame: a dead connection
	// is found after 2 s, and the next frame comes within half a second. By its size with headers,
	// a ping and its answer take 200 bytes: four neighbors cost 0.8 kB a second.
	linkQuiet  = time.Second
	linkAnswer = time.Second
	// acceptedQuiet is linkQuiet of the accepting side: five frames and two pings of the other
	// side must be missing.
	acceptedQuiet = 2500 * time.Millisecond
)

// policies are when connections are pinged. Frames are only sent, so that nobody waits on one.
var policies = wslink.Policies{
	Dialed:   wslink.Policy{Quiet: linkQuiet, Waiting: linkQuiet, Answer: linkAnswer},
	Accepted: wslink.Policy{Quiet: acceptedQuiet, Waiting: linkQuiet, Answer: linkAnswer},
}

var frames = codec.New[peer.Frame]()

// Links is the set of a host's connections. It is safe for concurrent use.
type Links struct {
	log   *zap.Logger
	conns *wslink.Links
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
		log: log, conns: wslink.New(c, policies, maxFrame, log), scheme: scheme, heard: heard,
		address: map[id.Host]string{}, out: map[id.Host]*ring.Ring[[]byte]{},
	}
}

// Bytes returns how many bytes of frames were sent and received.
func (l *Links) Bytes() (sent, received uint64) { return l.sent.Load(), l.received.Load() }

// Dropped returns how many frames found no room.
func (l *Links) Dropped() uint64 { return l.dropped.Load() }

// Silent returns how many connections were found dead because nothing came from the peer.
func (l *Links) Silent() uint64 { return l.conns.Silent() }

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
					continue // the pause would take what is left of the time for which this host counts as up
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
	delete(l.out, to)
}

func (l *Links) dial(ctx context.Context, to id.Host) *wslink.Conn {
	l.mu.Lock()
	address := l.address[to]
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

// drain reads a connection that is only written to, until it ends: pings are answered, and nothing
// else is expected.
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
	t := time.NewTimer(retryLeast + rand.N(retryMost-retryLeast))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// ServeHTTP takes a connection of a peer and reads frames until it ends.
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
		l.heard(conn.Context(), f) // it waits no longer than the connection lasts
	}
}
