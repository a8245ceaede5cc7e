package faultproxy

import (
	"net"
	"sync"
)

// conn is one connection through a proxy.
type conn struct {
	proxy *Proxy
	// client is the accepted connection, target the one to the proxy's target.
	client, target net.Conn

	mu sync.Mutex
	// silent holds the directions in which bytes are dropped.
	silent Direction
}

// silence drops all further bytes in a direction.
func (c *conn) silence(d Direction) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent |= d
}

// forwards reports whether bytes are forwarded in a direction.
func (c *conn) forwards(d Direction) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent&d == 0
}

// forward forwards bytes in one direction until the sender closes the
// connection or it fails. The close is forwarded too, unless the direction is
// silent.
func (c *conn) forward(to, from net.Conn, d Direction) {
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
	_ = from.Close() // the read has failed or reached the end
	if c.forwards(d) {
		_ = to.Close()
	}
}

// write waits until the bytes may be forwarded, and then writes them, unless
// the direction has become silent.
func (c *conn) write(to net.Conn, b []byte, d Direction) {
	c.proxy.waitToForward(d)
	if !c.forwards(d) {
		return
	}
	if _, err := to.Write(b); err != nil {
		_ = to.Close() // this ends the loop of the other direction
	}
}

// reset resets both connections.
func (c *conn) reset() {
	resetConn(c.client)
	resetConn(c.target)
}

// resetConn closes a connection with a TCP reset instead of an orderly close.
func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // if it fails the close is orderly, which is accepted
	}
	_ = c.Close()
}
