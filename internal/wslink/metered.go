package wslink

import (
	"bufio"
	"context"
	"net"
	"net/http"

	"curlewsill.org/curlewsill/internal/meter"
)

// metered is a connection that records when bytes arrive on it.
type metered struct {
	net.Conn
	received *meter.EventTime
}

// newMetered wraps a connection to record the arrival of bytes in received.
func newMetered(c net.Conn, received *meter.EventTime) *metered {
	return &metered{Conn: received.Conn(c), received: received}
}

// meteredWriter wraps the connection in metered when the response writer is
// hijacked.
type meteredWriter struct {
	http.ResponseWriter
	received *meter.EventTime
}

// Hijack implements http.Hijacker.
func (w *meteredWriter) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	conn, rw, err := http.NewResponseController(w.ResponseWriter).Hijack()
	if err != nil {
		return nil, nil, err
	}
	return newMetered(conn, w.received), rw, nil
}

// DialFunc opens a connection, like net.Dialer's DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client for New that wraps its connections in metered. It
// keeps no idle connections.
func NewClient(dial DialFunc) *http.Client {
	open := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newMetered(conn, meter.New()), nil
	}
	return &http.Client{Transport: &http.Transport{DialContext: open, DisableKeepAlives: true}}
}
