package wslink_test

import (
	"context"
	"net"
	"sync"
	"time"
)

// direction is a set of the directions that a fault affects.
type direction int

const (
	toTarget direction = 1 << iota
	fromTarget
)

// network is an in-memory listener for tests in virtual time. Bytes sent on a
// silenced connection are accepted and dropped, and neither end sees the
// other's close.
type network struct {
	backlog chan net.Conn
	once    sync.Once
	closed  chan struct{}

	mu sync.Mutex
	// wires holds the connections that were opened, in order.
	wires []*wire
	// chunkDelay is how long each chunk takes.
	chunkDelay time.Duration
}

// wire is one connection: two pipes whose bytes are forwarded between them.
type wire struct {
	mu     sync.Mutex
	silent direction
}

func newNetwork() *network {
	return &network{backlog: make(chan net.Conn), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (n *network) Accept() (net.Conn, error) {
	select {
	case c := <-n.backlog:
		return c, nil
	case <-n.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (n *network) Close() error {
	n.once.Do(func() { close(n.closed) })
	return nil
}

// Addr implements net.Listener.
func (n *network) Addr() net.Addr { return &net.TCPAddr{} }

// dial opens a connection.
func (n *network) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	near, a := net.Pipe()
	b, far := net.Pipe()
	w := &wire{}
	n.mu.Lock()
	n.wires = append(n.wires, w)
	n.mu.Unlock()
	go n.pump(w, b, a, toTarget)
	go n.pump(w, a, b, fromTarget)
	select {
	case n.backlog <- far:
		return near, nil
	case <-ctx.Done():
		_, _ = near.Close(), far.Close()
		return nil, ctx.Err()
	}
}

// pump forwards bytes in one direction until the source is closed.
func (n *network) pump(w *wire, to, from net.Conn, d direction) {
	buf := make([]byte, 4<<10)
	for {
		k, err := from.Read(buf)
		if err != nil {
			break
		}
		n.mu.Lock()
		chunkDelay := n.chunkDelay
		n.mu.Unlock()
		time.Sleep(chunkDelay)
		if w.carries(d) {
			_, _ = to.Write(buf[:k]) // the other pump notices that the end is closed
		}
	}
	_ = from.Close()
	if w.carries(d) {
		_ = to.Close()
	}
}

func (w *wire) carries(d direction) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.silent&d == 0
}

// silence makes connections drop all further bytes in direction d. The
// connections are numbered in the order of their opening; those from number
// first on are affected.
func (n *network) silence(first int, d direction) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, w := range n.wires[first:] {
		w.mu.Lock()
		w.silent |= d
		w.mu.Unlock()
	}
}

// setChunkDelay sets how long each chunk takes to cross the network.
func (n *network) setChunkDelay(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.chunkDelay = d
}
