// Package meter records when an event last happened, such as the arrival of
// bytes on a connection.
package meter

import (
	"net"
	"sync/atomic"
	"time"
)

// Meter records when an event last happened, by the monotonic clock. It is safe
// for concurrent use. The zero value is not ready for use; call New.
type Meter struct {
	since time.Time
	// last is the time of the event as nanoseconds after since.
	last atomic.Int64
}

// New returns a meter whose event happens now.
func New() *Meter { return &Meter{since: time.Now()} }

// Touch records that the event happens now.
func (m *Meter) Touch() { m.last.Store(int64(time.Since(m.since))) }

// Last returns when the event last happened.
func (m *Meter) Last() time.Time { return m.since.Add(time.Duration(m.last.Load())) }

// Ago returns the time since the event last happened.
func (m *Meter) Ago() time.Duration { return time.Since(m.Last()) }

// Conn wraps a connection so that the meter is touched whenever bytes arrive on
// it.
func (m *Meter) Conn(c net.Conn) net.Conn { return &metered{Conn: c, received: m} }

// metered is a connection that records when bytes arrive.
type metered struct {
	net.Conn
	received *Meter
}

// Read implements net.Conn.
func (c *metered) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.received.Touch()
	}
	return n, err
}
