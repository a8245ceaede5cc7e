package conntrack

import (
	"context"
	"errors"
	"fmt"
	"net"
)

// ErrNotSent reports a call for an incarnation that failed before the call had
// a connection, so that nothing of the call was sent.
var ErrNotSent = errors.New("conntrack: the call was not sent")

// Handshake verifies that the process that accepted a connection is the
// incarnation that a call is for. It may use the connection until it returns,
// and must have read the whole answer by then. The connection is closed if it
// fails.
type Handshake func(context.Context, net.Conn) error

// handshakeKey is the context key of WithHandshake.
type handshakeKey struct{}

// WithHandshake sets in ctx the handshake that precedes all calls on a
// connection opened for an incarnation. Only the process that accepted a
// connection reads from it, so what is sent after the handshake reaches the
// incarnation that answered the handshake, or none.
func WithHandshake(ctx context.Context, h Handshake) context.Context {
	return context.WithValue(ctx, handshakeKey{}, h)
}

// runHandshake runs the handshake of a connection that the call has opened, if
// it has one.
func (c *call) runHandshake(ctx context.Context, x net.Conn) error {
	h, ok := ctx.Value(handshakeKey{}).(Handshake)
	if c.incarnation == "" || !ok {
		return nil
	}
	return h(ctx, x)
}

// markNotSent wraps the error of a call for an incarnation in ErrNotSent if the
// call had no connection.
func (c *call) markNotSent(err error) error {
	c.transport.mu.Lock()
	defer c.transport.mu.Unlock()
	if c.incarnation == "" || c.conn != nil {
		return err
	}
	return fmt.Errorf("%w: %w", ErrNotSent, err)
}
