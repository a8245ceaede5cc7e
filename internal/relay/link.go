package relay

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/internal/wslink"
)

const (
	// dialTimeout bounds the opening of a link. A handshake takes a few
	// milliseconds, and a peer behind a network partition never answers.
	dialTimeout = 400 * time.Millisecond
	// writeTimeout bounds the writing of one message, in addition to the time
	// that its size takes at minWriteRate. It equals the time that a path may
	// take before the second one is tried.
	writeTimeout = 500 * time.Millisecond
	// minWriteRate is the lowest accepted rate of writing a message, in bytes
	// per second. The time limit of a write grows with the message's size at
	// this rate. With a fixed limit, a large page would exceed it on every
	// low-bandwidth link, and end the link.
	minWriteRate = 1 << 20
	// maxServed bounds the calls that are made concurrently for one peer: twice
	// the connections of a host to the store.
	maxServed = 16
	// maxServedQueued bounds the calls of one peer that wait because maxServed
	// calls are being made. Further calls are refused. This bounds memory,
	// since queued calls have been read completely.
	maxServedQueued = 48
)

// The tightest deadline on a link is that of recording a client's call, which
// may wait for one second while the store is slow. A dead link has to be found
// early enough to leave time for another try.
const (
	// inUsePingAfter is the time without bytes from a peer after which the peer
	// is pinged, while a call waits for its answer. A usual answer takes a few
	// milliseconds, so most calls cost no ping.
	inUsePingAfter = 250 * time.Millisecond
	// pongTimeout is how long a peer may take to answer a ping. It allows for
	// 512 kB that are queued ahead of the ping, which take 420 ms at 10 Mbit/s,
	// or for throttling by a CPU quota, which stops a process for at most
	// 100 ms.
	pongTimeout = 500 * time.Millisecond
	// pingAfter is the time without bytes after which the peer is pinged while
	// no call waits for an answer. Together with pongTimeout, a dead link is
	// found within 1.5 s. The cost is one ping per second.
	pingAfter = time.Second
	// idleTimeout is the time after which a link that no call uses is closed.
	// Including headers, a ping and its answer take 200 bytes, and opening a
	// link takes 1 kB. So the pings of an unused link cost as much in this time
	// as opening the link again.
	idleTimeout = 5 * time.Second
	// acceptedPingAfter is pingAfter for the accepting side. A working peer
	// would have sent two pings of its own in this time.
	acceptedPingAfter = 2500 * time.Millisecond
)

// Policies returns when links are pinged and when they are closed.
func Policies() wslink.Policies {
	return wslink.Policies{
		Dialed:   wslink.Policy{PingAfter: pingAfter, InUsePingAfter: inUsePingAfter, PongTimeout: pongTimeout, IdleTimeout: idleTimeout},
		Accepted: wslink.Policy{PingAfter: acceptedPingAfter, InUsePingAfter: inUsePingAfter, PongTimeout: pongTimeout},
	}
}

// NewLinks returns a set of links for New. The function dial opens their
// connections.
func NewLinks(dial wslink.DialFunc, log *zap.Logger) *wslink.Links {
	return wslink.New(wslink.NewClient(dial), Policies(), maxBody, log)
}

// Errors of calls on a link. Except for errUnsent, the call may have taken
// effect.
var (
	// errUnsent reports a link that was closed before the call was sent.
	errUnsent = fmt.Errorf("%w: the link has ended", ErrNoPeer)
	// errLinkDead reports a link that was closed with calls in flight.
	errLinkDead = errors.New("relay: the link has died")
	// errOverdue reports that no answer came in time.
	errOverdue = errors.New("relay: the answer is overdue")
)

// link is one connection to a peer. It carries many calls concurrently.
type link struct {
	address string
	conn    *wslink.Conn
	nextID  atomic.Uint64

	mu sync.Mutex
	// pending maps the ID of each call in flight to the channel that receives
	// the call's result. It is nil once the link is closed.
	pending map[uint64]chan result
	// closed is set once the link is closed. retired is set once no new calls
	// may use the link.
	closed, retired bool
}

// dial opens a link to a peer and starts to read from it.
func dial(ctx context.Context, address string, route Route, links *wslink.Links) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := links.Dial(ctx, "ws://"+address+string(route))
	if err != nil {
		return nil, err
	}
	l := &link{address: address, conn: conn, pending: map[uint64]chan result{}}
	go l.read()
	return l, nil
}

// usable reports whether new calls may use the link.
func (l *link) usable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.closed && !l.retired
}

// retire keeps the link for the calls in flight only: the next call opens
// another link.
func (l *link) retire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retired = true
}

// close closes the link and fails the calls in flight on it. It may be called
// more than once.
func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.closed = true
	for _, c := range l.pending {
		close(c)
	}
	l.pending = nil
	l.conn.Close()
}

// read delivers results to the calls in flight until the link is closed.
func (l *link) read() {
	defer l.close()
	for {
		res, err := l.receive()
		if err != nil {
			return
		}
		l.mu.Lock()
		c := l.pending[res.ID]
		delete(l.pending, res.ID)
		l.mu.Unlock()
		if c != nil {
			c <- res
		}
	}
}

// receive reads one result.
func (l *link) receive() (result, error) {
	raw, err := l.conn.Read(context.Background())
	if err != nil {
		return result{}, err
	}
	return results.Decode(raw)
}

// register adds a call in flight and returns the channel for its result. It
// reports false if the link is closed. The channel is closed without a result
// when the link is closed.
func (l *link) register(id uint64) (<-chan result, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, false
	}
	answer := make(chan result, 1)
	l.pending[id] = answer
	return answer, true
}

// writeLimit returns how long the writing of a message may take, by its size.
func writeLimit(raw []byte) time.Duration {
	return writeTimeout + time.Duration(len(raw))*time.Second/minWriteRate
}

// send writes a call. If the write fails, send closes the link; the connection
// logs the cause itself. The write doesn't use the caller's context: canceling
// it in the middle of a message would end the link, with all other calls in
// flight on it.
func (l *link) send(raw []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), writeLimit(raw))
	defer cancel()
	if err := l.conn.Write(ctx, raw); err != nil {
		l.close()
	}
}

// do makes a call on the link. If the answer is overdue but the link isn't
// silent, do retires the link instead of closing it: other calls in flight may
// still be answered on it, and pings find out if it dies.
func (l *link) do(ctx context.Context, c call) (result, error) {
	if err := ctx.Err(); err != nil {
		return result{}, fmt.Errorf("%w: %w", ErrNoPeer, err) // nothing was sent
	}
	c.ID = l.nextID.Add(1)
	raw, err := calls.Encode(c)
	if err != nil {
		return result{}, err
	}
	answer, ok := l.register(c.ID)
	if !ok {
		return result{}, errUnsent
	}
	defer l.forget(c.ID)
	release := l.conn.Use()
	defer release()
	go l.send(raw)
	overdue := time.NewTimer(c.Timeout + hedgeDelay)
	defer overdue.Stop()
	sent := time.Now()
	select {
	case res, ok := <-answer:
		return l.takeResult(res, ok)
	case <-overdue.C:
		return l.handleOverdue(answer, errOverdue)
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) || time.Since(sent) >= c.Timeout-hedgeDelay {
			return l.handleOverdue(answer, fmt.Errorf("%w: %w", errOverdue, ctx.Err()))
		}
		return result{}, ctx.Err()
	}
}

// takeResult returns the result received for a call, or errLinkDead if the link
// was closed while the call was in flight.
func (l *link) takeResult(res result, ok bool) (result, error) {
	if !ok {
		return result{}, errLinkDead
	}
	if res.Status == 0 {
		l.retire() // the peer's own direct path fails too; the next call tries another peer
	}
	return res, nil
}

// handleOverdue handles a call whose time limit has passed. After a pause of
// this process, the limit may pass before the link's ping fails, or at the same
// time. If the link has been silent for as long as a ping takes to become due
// and to fail, the call fails with errLinkDead, so that it is retried on another
// link. Otherwise the peer is alive and only this answer is overdue.
func (l *link) handleOverdue(answer <-chan result, err error) (result, error) {
	if time.Since(l.conn.LastReceived()) >= inUsePingAfter+pongTimeout {
		l.conn.CloseSilent()
	}
	select {
	case res, ok := <-answer:
		return l.takeResult(res, ok)
	default:
	}
	if errors.Is(l.conn.Cause(), wslink.ErrSilent) {
		return result{}, errLinkDead
	}
	l.retire()
	return result{}, err
}

// forget removes a call that no one waits for any more.
func (l *link) forget(n uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, n)
}
