package conntrack

import (
	"context"
	"errors"
	"fmt"
	"net"
)

// ErrNotSent reports a call for a life that ended before it had a connection: nothing of it was sent.
var ErrNotSent = errors.New("conntrack: the call was not sent")

// Handshake makes sure that the process which has accepted a connection is the one that a call is for. It may use the connection until it returns,
// and must have read all that was answered by then. The connection is closed if it fails.
type Handshake func(context.Context, net.Conn) error

// handshakeKey carries the handshake of the connections that a call opens.
type handshakeKey struct{}

// WithHandshake notes in ctx what precedes all calls on a connection that a call for a life opens. A connection is to the process that
// has accepted it until its end: a life that has answered a handshake gets what is sent there later, or nobody does.
func WithHandshake(ctx context.Context, h Handshake) context.Context {
	return context.WithValue(ctx, handshakeKey{}, h)
}

// shake carries out the handshake of a connection that the call has opened, if it has one.
func (c *call) shake(ctx context.Context, x net.Conn) error {
	h, some := ctx.Value(handshakeKey{}).(Handshake)
	if c.life == "" || !some {
		return nil
	}
	return h(ctx, x)
}

// unsent marks the error of a call for a life that had no connection.
func (c *call) unsent(err error) error {
	c.transport.mu.Lock()
	defer c.transport.mu.Unlock()
	if c.life == "" || c.conn != nil {
		return err
	}
	return fmt.Errorf("%w: %w", ErrNotSent, err)
}
