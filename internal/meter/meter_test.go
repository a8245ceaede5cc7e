package meter_test

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"curlewsill.org/curlewsill/internal/meter"
)

// TestConn checks that received bytes count as the event, and sent bytes don't.
func TestConn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer func() { _, _ = near.Close(), far.Close() }()
		m := meter.New()
		c := m.Conn(near)
		b := make([]byte, 1)
		go func() {
			_, _ = far.Read(make([]byte, 1))
			time.Sleep(time.Second)
			_, _ = far.Write(b)
		}()
		time.Sleep(time.Second)
		if _, err := c.Write(b); err != nil || m.Ago() != time.Second {
			t.Errorf("after a write: %v ago, %v", m.Ago(), err)
		}
		if _, err := c.Read(b); err != nil || m.Ago() != 0 || !m.Last().Equal(time.Now()) {
			t.Errorf("after a read: %v ago, %v", m.Ago(), err)
		}
	})
}
