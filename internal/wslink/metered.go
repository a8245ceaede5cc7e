package wslink

import (
	"bufio"
	"context"
	"net"
	"net/http"

	"curlewsill.org/curlewsill/internal/meter"
)

// metered is a connection with the meter that tells when bytes come on it.
type metered struct {
	net.Conn
	heard *meter.Meter
}

// newMetered returns a connection with a meter.
func newMetered(c net.Conn, heard *meter.Meter) *metered {
	return &metered{Conn: heard.Conn(c), heard: heard}
}

// meteredWriter takes over the connection of an HTTP call as a metered one.
type meteredWriter struct {
	http.ResponseWriter
	heard *meter.Meter
}

// Hijack implements http.Hijacker.
func (w *meteredWriter) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	conn, rw, err := http.NewResponseController(w.ResponseWriter).Hijack()
	if err != nil {
		return nil, nil, err
	}
	return newMetered(conn, w.heard), rw, nil
}

// DialFunc opens a connection, like net.Dialer's DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client for New whose connections' bytes are seen. It keeps no connections.
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
