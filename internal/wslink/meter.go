package wslink

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// meter tells when something happened last, by a clock that never jumps.
type meter struct {
	since time.Time
	// last counts from since.
	last atomic.Int64
}

// newMeter returns a meter of something that happens now.
func newMeter() *meter { return &meter{since: time.Now()} }

// touch notes that it happens now.
func (m *meter) touch() { m.last.Store(int64(time.Since(m.since))) }

// at returns when it happened last, counted from the meter's beginning.
func (m *meter) at() time.Duration { return time.Duration(m.last.Load()) }

// ago returns how long ago it happened.
func (m *meter) ago() time.Duration { return time.Since(m.since) - m.at() }

// metered is a connection that notes when bytes come.
type metered struct {
	net.Conn
	heard *meter
}

// Read implements net.Conn.
func (c *metered) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.heard.touch()
	}
	return n, err
}

// meteredWriter takes over the connection of an HTTP call as a metered one.
type meteredWriter struct {
	http.ResponseWriter
	heard *meter
}

// Hijack implements http.Hijacker.
func (w *meteredWriter) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	conn, rw, err := http.NewResponseController(w.ResponseWriter).Hijack()
	if err != nil {
		return nil, nil, err
	}
	return &metered{Conn: conn, heard: w.heard}, rw, nil
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
		return &metered{Conn: conn, heard: newMeter()}, nil
	}
	return &http.Client{Transport: &http.Transport{DialContext: open, DisableKeepAlives: true}}
}
