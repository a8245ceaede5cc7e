package wslink

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"go.uber.org/zap"

	"curlewsill.org/curlewsill/internal/meter"
)

// Causes of the end of a connection.
var (
	// ErrSilent reports a peer from which nothing arrived in time.
	ErrSilent = errors.New("wslink: the peer is silent")
	// ErrIdle reports a connection that wasn't used for Policy.IdleTimeout.
	ErrIdle = errors.New("wslink: the connection was idle")
	// ErrBroken reports a connection that failed or that the peer closed.
	ErrBroken = errors.New("wslink: the connection broke")
	// ErrClosed reports a connection that this side closed.
	ErrClosed = errors.New("wslink: closed")
)

// pingJitter is the part of Policy.PingAfter that is random. A quarter spreads
// the pings of 40 connections over 250 ms if PingAfter is 1 s: one every 6 ms.
// It costs at most a third more pings.
const pingJitter = 0.25

// minSlowWrite is the shortest duration of a write that counts as delaying
// pings. A path that drops bytes silently accepts messages at once, so a write
// on it takes less. A working path of 10 Mbit/s carries 60 kB in this time.
const minSlowWrite = 50 * time.Millisecond

// Conn is one connection. Its methods may be called concurrently, except that
// Read must have a single caller at a time.
type Conn struct {
	ws     *websocket.Conn
	links  *Links
	peer   string
	side   string
	policy Policy
	opened time.Time
	// received records when bytes last arrived from the peer. If reads of bytes
	// aren't observed, it records when the last message or pong arrived.
	// lastUse records when a message was last sent or received.
	received, lastUse *meter.EventTime
	// lastSlowWrite records the end of the last write that took at least
	// minSlowWrite.
	lastSlowWrite *meter.EventTime
	// users counts the callers that wait on the connection. activeWrites counts
	// the messages that are being written.
	users, activeWrites atomic.Int32
	// suspect is set until the peer has answered a ping.
	suspect atomic.Bool
	// wake makes watch reconsider its timers.
	wake chan struct{}

	endOnce sync.Once
	// ctx is done once the connection has ended; cancel sets the cause.
	ctx    context.Context
	cancel context.CancelCauseFunc
}

// Context is done when the connection has ended.
func (c *Conn) Context() context.Context { return c.ctx }

// Cause returns why the connection has ended, or nil while it is open.
func (c *Conn) Cause() error { return context.Cause(c.ctx) }

// LastReceived returns when bytes last arrived from the peer.
func (c *Conn) LastReceived() time.Time { return c.received.Last() }

// Use marks the connection as in use until release is called. A connection in
// use isn't closed as idle. It is pinged at once unless bytes have arrived
// within Policy.InUsePingAfter.
func (c *Conn) Use() (release func()) {
	c.users.Add(1)
	c.wakeWatch()
	return func() {
		c.lastUse.Touch()
		c.users.Add(-1)
	}
}

// Read reads a message. It fails once the connection has ended.
func (c *Conn) Read(ctx context.Context) ([]byte, error) {
	_, raw, err := c.ws.Read(ctx)
	if err != nil {
		c.endWith(fmt.Errorf("%w: %w", ErrBroken, err))
		return nil, c.Cause()
	}
	c.received.Touch()
	c.links.received.Touch()
	c.lastUse.Touch()
	return raw, nil
}

// Write writes a message. If the write fails, or ctx is done before the message
// is written completely, the connection ends. ctx must have a deadline: pings
// wait until the message is written, so they can't detect a dead peer meanwhile.
func (c *Conn) Write(ctx context.Context, raw []byte) error {
	began := time.Now()
	c.activeWrites.Add(1)
	defer func() {
		if time.Since(began) >= minSlowWrite {
			c.lastSlowWrite.Touch()
		}
		c.activeWrites.Add(-1)
	}()
	if err := c.ws.Write(ctx, websocket.MessageBinary, raw); err != nil {
		c.endWith(fmt.Errorf("%w: %w", ErrBroken, err))
		return c.Cause()
	}
	c.lastUse.Touch()
	return nil
}

// Ping pings the peer. It fails with ErrSilent if no byte arrived within
// Policy.PongTimeout, and with ErrBroken if the connection has failed. While a
// long message is being written or received, Ping returns nil even if no pong
// arrived, since the message delays the ping or the pong. Ping doesn't close
// the connection.
func (c *Conn) Ping(ctx context.Context) error {
	began, lastReceived := time.Now(), c.received.Last()
	ctx, cancel := context.WithTimeout(ctx, c.policy.PongTimeout)
	defer cancel()
	err := c.ws.Ping(ctx)
	if err == nil {
		c.received.Touch()
		c.links.received.Touch()
		return nil
	}
	if !c.received.Last().Equal(lastReceived) {
		return nil // a long message is arriving, and the pong is queued behind it
	}
	if c.Cause() == nil && (c.activeWrites.Load() > 0 || c.lastSlowWrite.Last().After(began)) {
		return nil // the ping waited behind a message of this side; that message's own deadline ends the connection
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("%w: %w", ErrSilent, err)
	}
	return fmt.Errorf("%w: %w", ErrBroken, err)
}

// Close closes the connection. It may be called more than once.
func (c *Conn) Close() { c.endWith(ErrClosed) }

// CloseSilent closes the connection with ErrSilent, since nothing has arrived
// for as long as the policy allows. It may be called more than once.
func (c *Conn) CloseSilent() { c.endWith(fmt.Errorf("%w: a call got no answer in time", ErrSilent)) }

// endWith closes the connection with a cause, unless it has ended.
func (c *Conn) endWith(cause error) {
	c.endOnce.Do(func() {
		c.links.forget(c)
		c.report(cause)
		c.cancel(cause)
		go func() { _ = c.ws.CloseNow() }()
		if errors.Is(cause, ErrSilent) {
			c.links.MarkAllSuspect()
		}
	})
}

// report logs and counts the end of a connection.
func (c *Conn) report(cause error) {
	fields := []zap.Field{
		zap.String("peer", c.peer), zap.String("side", c.side), zap.Duration("age", time.Since(c.opened)),
		zap.Duration("unheard", c.received.Ago()), zap.Duration("unused", c.lastUse.Ago()), zap.Int32("waiting", c.users.Load()), zap.Error(cause),
	}
	switch {
	case errors.Is(cause, ErrSilent):
		c.links.deadCount.Add(1)
		c.links.log.Info("link-found-dead", fields...)
	case errors.Is(cause, ErrBroken) && !errors.Is(cause, io.EOF):
		c.links.log.Info("link-lost", fields...)
	default: // closed on purpose by one of the sides
		c.links.log.Debug("link-closed", fields...)
	}
}

// markSuspect makes the connection suspect: watch pings the peer once nothing
// has arrived for Policy.InUsePingAfter.
func (c *Conn) markSuspect() {
	c.suspect.Store(true)
	c.wakeWatch()
}

// wakeWatch makes watch reconsider its timers now.
func (c *Conn) wakeWatch() {
	select {
	case c.wake <- struct{}{}:
	default: // a wake-up is pending already
	}
}

// watch pings the peer when a ping is due, and closes the connection when it is
// dead or idle.
func (c *Conn) watch() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		pingIn := c.untilPing()
		if pingIn <= 0 {
			if err := c.Ping(context.Background()); err != nil {
				c.endWith(err)
				return
			}
			c.suspect.Store(false)
			continue
		}
		idleLeft := c.untilIdle()
		if idleLeft <= 0 {
			c.endWith(ErrIdle)
			return
		}
		timer.Reset(min(pingIn, idleLeft))
		select {
		case <-c.ctx.Done():
			return
		case <-c.wake:
		case <-timer.C:
		}
	}
}

// untilPing returns the time until the next ping is due.
func (c *Conn) untilPing() time.Duration {
	due := c.policy.PingAfter - time.Duration(rand.Float64()*pingJitter*float64(c.policy.PingAfter))
	if c.users.Load() > 0 || c.suspect.Load() {
		due = c.policy.InUsePingAfter
	}
	return due - c.received.Ago()
}

// untilIdle returns the time until the connection has to be closed as idle. If
// the connection is in use, or is never closed as idle, untilIdle returns
// PingAfter, so that watch checks again after this time.
func (c *Conn) untilIdle() time.Duration {
	if c.policy.IdleTimeout == 0 || c.users.Load() > 0 {
		return c.policy.PingAfter
	}
	return c.policy.IdleTimeout - c.lastUse.Ago()
}
