package faultproxy

import (
	"net"
	"sync"
)

// conn is one connection through a proxy.
type conn struct {
	proxy *Proxy
	// near is the accepted side, far the one to the target.
	near, far net.Conn

	mu sync.Mutex
	// silent holds the directions that carry nothing more.
	silent Direction
}

// silence ends the carrying of bytes in a direction.
func (c *conn) silence(d Direction) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent |= d
}

// carries reports whether bytes are carried in a direction.
func (c *conn) carries(d Direction) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent&d == 0
}

// pump carries bytes one way until that side ends. The end is passed on unless the direction is
// silent.
func (c *conn) pump(to, from net.Conn, d Direction) {
	buf := make([]byte, chunkSize)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			c.write(to, buf[:n], d)
		}
		if err != nil {
			break
		}
	}
	_ = from.Close() // its end is what this loop has seen
	if c.carries(d) {
		_ = to.Close()
	}
}

// write passes bytes on, unless the direction is silent by the time they may move.
func (c *conn) write(to net.Conn, b []byte, d Direction) {
	c.proxy.hold(d)
	if !c.carries(d) {
		return
	}
	if _, err := to.Write(b); err != nil {
		_ = to.Close() // the other pump sees it and ends
	}
}

// reset breaks both sides with a reset.
func (c *conn) reset() {
	resetConn(c.near)
	resetConn(c.far)
}

// resetConn closes a connection with a reset instead of an orderly end.
func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without it the close is orderly; nothing else depends on it
	}
	_ = c.Close()
}
