// Package meter records when an event last happened, such as the arrival of
// bytes on a connection.
package meter

import (
	"net"
	"sync/atomic"
	"time"
)

// EventTime records when an event last happened, by the monotonic clock. It is
// safe for concurrent use. The zero value is not ready for use; call New.
type EventTime struct {
	since time.Time
	// last is the time of the event as nanoseconds after since.
	last atomic.Int64
}

// New returns an EventTime whose event happens now.
func New() *EventTime { return &EventTime{since: time.Now()} }

// Touch records that the event happens now.
func (m *EventTime) Touch() { m.last.Store(int64(time.Since(m.since))) }

// Last returns when the event last happened.
func (m *EventTime) Last() time.Time { return m.since.Add(time.Duration(m.last.Load())) }

// Ago returns the time since the event last happened.
func (m *EventTime) Ago() time.Duration { return time.Since(m.Last()) }

// Conn wraps a connection so that Touch is called whenever bytes arrive on it.
func (m *EventTime) Conn(c net.Conn) net.Conn { return &metered{Conn: c, received: m} }

// metered is a connection that records when bytes arrive.
type metered struct {
	net.Conn
	received *EventTime
}

// Read implements net.Conn.
func (c *metered) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.received.Touch()
	}
	return n, err
}
