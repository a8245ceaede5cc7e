package intake

import (
	"context"
	"io"
	"net"
	"syscall"
	"time"

	"curlewsill.org/curlewsill/core/unit"
)

const (
	// minBuffer and maxBuffer bound the size of a connection's buffers in the
	// kernel, in each direction. The more memory the buffers of others take, the
	// smaller are those of a new connection.
	minBuffer, maxBuffer = 8 * unit.KiB, 64 * unit.KiB
	// bufferFactor is how much memory the buffers of a connection take, as a
	// multiple of their size: Linux doubles it, in both directions.
	bufferFactor = 4
	// bufferFraction is the part of the memory left that the buffers of a new
	// connection may take, as a divisor.
	bufferFraction = 64
	// refusalTimeout bounds the time for sending a refusal. It fits into the empty
	// buffer of a new connection.
	refusalTimeout = 10 * time.Millisecond
)

// listener accepts connections within an Intake's limits.
type listener struct {
	net.Listener
	intake *Intake
}

// Listen opens a listener. It accepts all connections at once, so that none waits in
// the kernel with bytes that nobody counts, and closes those for which there is no
// room.
func (i *Intake) Listen(address string) (net.Listener, error) {
	c := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// Connections inherit the sizes, also while they wait to be accepted. A
			// system that doesn't know the options uses its own sizes.
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, int(minBuffer))
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, int(minBuffer))
		})
	}}
	l, err := c.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return &listener{l, i}, nil
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.intake.admit(nc); c != nil {
			return c, nil
		}
	}
}

// admit admits a connection, or closes it and returns nil.
func (i *Intake) admit(nc net.Conn) *conn {
	c := &conn{Conn: nc, intake: i}
	i.mu.Lock()
	victim, evict, err := i.budget.Add(c, i.now())
	// Those that give way are still there while they get their answers.
	lingering := i.budget.Clients() > i.limits.Connections+i.limits.Connections/8
	if err != nil {
		i.usage.Refused++
	} else {
		c.buffers = i.takeBuffers(nc)
		i.usage.PeakConnections = max(i.usage.PeakConnections, i.budget.Clients())
	}
	i.mu.Unlock()
	if err != nil {
		i.logLimited()
		_ = nc.SetWriteDeadline(time.Now().Add(refusalTimeout))
		_, _ = io.WriteString(nc, i.limits.Refusal) // the client may be gone
		_ = nc.Close()
		return nil
	}
	if evict {
		i.logLimited()
		i.evict([]*conn{victim})
		if lingering {
			victim.abort()
		}
	}
	return c
}

// takeBuffers sets the sizes of a connection's buffers and returns the memory that
// they take. The caller holds the mutex.
func (i *Intake) takeBuffers(nc net.Conn) unit.Bytes {
	size := min(max((i.limits.Buffers-i.buffers)/bufferFraction/bufferFactor, minBuffer), maxBuffer)
	if t, ok := nc.(*net.TCPConn); ok && size > minBuffer {
		_ = t.SetReadBuffer(int(size)) // else the sizes stay the least ones
		_ = t.SetWriteBuffer(int(size))
	}
	i.buffers += size * bufferFactor
	return size * bufferFactor
}
