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

// Why a connection has ended.
var (
	// ErrSilent reports a peer from which nothing came in time.
	ErrSilent = errors.New("wslink: the peer is silent")
	// ErrIdle reports a connection that nobody has used for a while.
	ErrIdle = errors.New("wslink: not used for a while")
	// ErrBroken reports a connection that failed or that the peer ended.
	ErrBroken = errors.New("wslink: the connection broke")
	// ErrClosed reports a connection that this side has closed.
	ErrClosed = errors.New("wslink: closed")
)

// drawnShare is the part of a quiet pause that is drawn: a quarter of a second spreads 40
// connections by 6 ms each, and costs a third more pings at most.
const drawnShare = 0.25

// slowWrite is how long the writing of a message takes at least that holds up pings. A silent path takes
// messages at once; one of 10 Mbit/s carries 60 kB in that time.
const slowWrite = 50 * time.Millisecond

// Conn is one connection. Its methods may be called at the same time, but Read only by one.
type Conn struct {
	ws     *websocket.Conn
	links  *Links
	peer   string
	side   string
	policy Policy
	opened time.Time
	// heard tells when the last byte came from the peer, or the last message or answer to a
	// ping if bytes aren't seen; used tells when the last message was sent or came.
	heard, used *meter.Meter
	// heldUp tells when the writing of a message ended last that took slowWrite or longer.
	heldUp *meter.Meter
	// uses counts those who wait on the connection, writes the messages that are being written.
	uses, writes atomic.Int32
	// doubtful is set until the peer has answered a ping.
	doubtful atomic.Bool
	// kick makes watch look again.
	kick chan struct{}

	end sync.Once
	// ctx is done once the connection has ended, stop ends it for a reason.
	ctx  context.Context
	stop context.CancelCauseFunc
}

// Context is done when the connection has ended.
func (c *Conn) Context() context.Context { return c.ctx }

// Cause returns why the connection has ended, or nil while it is open.
func (c *Conn) Cause() error { return context.Cause(c.ctx) }

// LastHeard returns when the last byte came from the peer.
func (c *Conn) LastHeard() time.Time { return c.heard.Last() }

// Use notes that somebody waits on the connection until release is called: it isn't idle, and it
// is pinged at once unless something has come from the peer lately.
func (c *Conn) Use() (release func()) {
	c.uses.Add(1)
	c.look()
	return func() {
		c.used.Touch()
		c.uses.Add(-1)
	}
}

// Read reads a message. It fails once the connection has ended.
func (c *Conn) Read(ctx context.Context) ([]byte, error) {
	_, raw, err := c.ws.Read(ctx)
	if err != nil {
		c.finish(fmt.Errorf("%w: %w", ErrBroken, err))
		return nil, c.Cause()
	}
	c.heard.Touch()
	c.used.Touch()
	return raw, nil
}

// Write writes a message. When it fails, as when ctx is done before it is written whole, the
// connection ends. ctx has to bound it: pings wait behind it.
func (c *Conn) Write(ctx context.Context, raw []byte) error {
	began := time.Now()
	c.writes.Add(1)
	defer func() {
		if time.Since(began) >= slowWrite {
			c.heldUp.Touch()
		}
		c.writes.Add(-1)
	}()
	if err := c.ws.Write(ctx, websocket.MessageBinary, raw); err != nil {
		c.finish(fmt.Errorf("%w: %w", ErrBroken, err))
		return c.Cause()
	}
	c.used.Touch()
	return nil
}

// Ping asks the peer for a sign of life. It fails with ErrSilent if no byte came within the time
// that the policy allows for it, and with ErrBroken if the connection has failed. It tells nothing,
// and doesn't fail, while a long message is being written. It doesn't end the connection.
func (c *Conn) Ping(ctx context.Context) error {
	began, before := time.Now(), c.heard.Last()
	ctx, cancel := context.WithTimeout(ctx, c.policy.Answer)
	defer cancel()
	err := c.ws.Ping(ctx)
	if err == nil {
		c.heard.Touch()
		return nil
	}
	if !c.heard.Last().Equal(before) {
		return nil // a long message is on its way, behind which the answer waits
	}
	if c.Cause() == nil && (c.writes.Load() > 0 || c.heldUp.Last().After(began)) {
		return nil // the ping has waited behind a message of this side, whose own limit ends the connection
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("%w: %w", ErrSilent, err)
	}
	return fmt.Errorf("%w: %w", ErrBroken, err)
}

// Close ends the connection. It may be called again.
func (c *Conn) Close() { c.finish(ErrClosed) }

// EndSilent ends the connection because nothing has come on it for as long as a peer may be silent. It may be called again.
func (c *Conn) EndSilent() { c.finish(fmt.Errorf("%w: a call has waited in vain", ErrSilent)) }

// finish ends the connection for a reason, unless it has ended.
func (c *Conn) finish(cause error) {
	c.end.Do(func() {
		c.links.remove(c)
		c.report(cause)
		c.stop(cause)
		go func() { _ = c.ws.CloseNow() }()
		if errors.Is(cause, ErrSilent) {
			c.links.Doubt()
		}
	})
}

// report logs and counts the end of a connection.
func (c *Conn) report(cause error) {
	fields := []zap.Field{
		zap.String("peer", c.peer), zap.String("side", c.side), zap.Duration("age", time.Since(c.opened)),
		zap.Duration("unheard", c.heard.Ago()), zap.Duration("unused", c.used.Ago()), zap.Int32("waiting", c.uses.Load()), zap.Error(cause),
	}
	switch {
	case errors.Is(cause, ErrSilent):
		c.links.silent.Add(1)
		c.links.log.Info("link-found-dead", fields...)
	case errors.Is(cause, ErrBroken) && !errors.Is(cause, io.EOF):
		c.links.log.Info("link-lost", fields...)
	default: // closed by one of the sides on purpose
		c.links.log.Debug("link-closed", fields...)
	}
}

// doubt makes watch ping the peer soon.
func (c *Conn) doubt() {
	c.doubtful.Store(true)
	c.look()
}

// look makes watch look at the connection now.
func (c *Conn) look() {
	select {
	case c.kick <- struct{}{}:
	default: // it will look anyway
	}
}

// watch pings the peer whenever that is due, and ends the connection when it is dead or idle.
func (c *Conn) watch() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		wait := c.untilPing()
		if wait <= 0 {
			if err := c.Ping(context.Background()); err != nil {
				c.finish(err)
				return
			}
			c.doubtful.Store(false)
			continue
		}
		left := c.untilIdle()
		if left <= 0 {
			c.finish(ErrIdle)
			return
		}
		timer.Reset(min(wait, left))
		select {
		case <-c.ctx.Done():
			return
		case <-c.kick:
		case <-timer.C:
		}
	}
}

// untilPing returns how long no ping is due.
func (c *Conn) untilPing() time.Duration {
	due := c.policy.Quiet - time.Duration(rand.Float64()*drawnShare*float64(c.policy.Quiet))
	if c.uses.Load() > 0 || c.doubtful.Load() {
		due = c.policy.Waiting
	}
	return due - c.heard.Ago()
}

// untilIdle returns how long the connection is not idle yet.
func (c *Conn) untilIdle() time.Duration {
	if c.policy.Idle == 0 || c.uses.Load() > 0 {
		return c.policy.Quiet
	}
	return c.policy.Idle - c.used.Ago()
}
