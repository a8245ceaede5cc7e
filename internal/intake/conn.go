package intake

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"curlewsill.org/curlewsill/core/unit"
)

// phase is what a connection is used for.
type phase int

const (
	// idle: no request, or its head is being received.
	idle phase = iota
	// receiving: a handler serves the request, whose body is being received.
	receiving
	// waiting: the request is carried out. Its client doesn't give way.
	waiting
	// answering: the answer is being sent.
	answering
)

const (
	// lingerTimeout and maxLingerBytes bound for how long, and for how many bytes, a
	// connection is kept after a refusal, so that its client can read it.
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 1 << 20
)

// conn is a connection of a client. While its client sends a request's head, the
// memory that the head takes is reserved as the bytes arrive.
type conn struct {
	net.Conn
	intake *Intake
	// buffers is the memory that the kernel's buffers take. The Intake's mutex
	// guards it.
	buffers unit.Bytes

	mu    sync.Mutex
	phase phase
	// head is how many bytes of the current head have come; reserved is what was
	// reserved for it.
	head, reserved unit.Bytes
	// evicted is set once the client has to give way, and cut if it gets no answer.
	evicted, cut, closed bool
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.intake.received(c, n) != nil {
		return 0, io.EOF // the server ends the connection without an answer
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if c.beginAnswer() {
		c.intake.answering(c)
	}
	return c.Conn.Write(b)
}

// SetReadDeadline implements net.Conn. The deadline of a client that has to give
// way stays in the past.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	first, answered := !c.closed, c.evicted && !c.cut && c.phase == answering
	c.closed = true
	c.mu.Unlock()
	if first && answered {
		c.linger()
	}
	err := c.Conn.Close()
	if first {
		c.intake.remove(c)
	}
	return err
}

// linger lets a client that is still sending read the answer to its request: a
// connection that is closed with unread bytes is reset.
func (c *conn) linger() {
	if !c.intake.mayLinger(c) {
		return
	}
	_ = c.CloseWrite() // fails only if the connection is broken, as the calls below
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes)
}

// CloseWrite ends the answer, so that the client can read it before the connection
// is closed.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// evict makes the client give way. While its body is being received, its handler is
// left time to answer: reads fail at once. Else the connection is closed. It reports
// whether the client didn't have to give way before.
func (c *conn) evict() bool {
	c.mu.Lock()
	first := !c.evicted
	c.evicted = true
	answer := c.phase == receiving
	if answer {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is closed
	}
	c.mu.Unlock()
	if !answer {
		c.abort()
	}
	return first
}

// abort closes the connection without waiting for an answer.
func (c *conn) abort() {
	c.mu.Lock()
	c.cut = true
	c.mu.Unlock()
	_ = c.Close()
}

func (c *conn) isEvicted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}

func (c *conn) setPhase(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = p
}

// beginAnswer notes that bytes of an answer are sent. It reports false if there is no
// request yet, as in the handshake of TLS.
func (c *conn) beginAnswer() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == idle {
		return false
	}
	c.phase = answering
	return true
}

// addHead adds n bytes that have come to the current head. It returns the size of
// the head so far, 0 if the bytes belong to no head, and whether they are its first.
func (c *conn) addHead(n int) (size unit.Bytes, first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != idle {
		return 0, false
	}
	first = c.head == 0
	c.head += unit.Bytes(n)
	return c.head, first
}

func (c *conn) addReserved(n unit.Bytes) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reserved += n
}

// endHead begins another phase after a whole head, and returns what was reserved for
// the head.
func (c *conn) endHead(p phase) unit.Bytes {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.reserved
	c.phase, c.head, c.reserved = p, 0, 0
	return n
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// connOf returns the connection of a request, or nil if it came over none that an
// Intake has accepted.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// unwrap returns the connection below a TLS connection.
func unwrap(c net.Conn) *conn {
	if t, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = t.NetConn()
	}
	own, _ := c.(*conn)
	return own
}

// headSize returns the memory that a parsed head takes.
func headSize(r *http.Request) unit.Bytes {
	n := len(r.Method) + len(r.RequestURI)
	for name, values := range r.Header {
		n += fieldSize + len(name)
		for _, v := range values {
			n += valueSize + len(v)
		}
	}
	return unit.Bytes(n)
}
