// Package meter tells when something happened last, such as the coming of bytes on a connection.
package meter

import (
	"net"
	"sync/atomic"
	"time"
)

// Meter tells when something happened last, by a clock that never jumps. It is safe for concurrent
// use. The zero value is not ready; call New.
type Meter struct {
	since time.Time
	// last counts from since.
	last atomic.Int64
}

// New returns a meter of something that happens now.
func New() *Meter { return &Meter{since: time.Now()} }

// Touch notes that it happens now.
func (m *Meter) Touch() { m.last.Store(int64(time.Since(m.since))) }

// Last returns when it happened last.
func (m *Meter) Last() time.Time { return m.since.Add(time.Duration(m.last.Load())) }

// Ago returns how long ago it happened.
func (m *Meter) Ago() time.Duration { return time.Since(m.Last()) }

// Conn returns a connection that touches the meter whenever bytes come on it.
func (m *Meter) Conn(c net.Conn) net.Conn { return &metered{Conn: c, heard: m} }

// metered is a connection that notes when bytes come.
type metered struct {
	net.Conn
	heard *Meter
}

// Read implements net.Conn.
func (c *metered) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.heard.Touch()
	}
	return n, err
}
