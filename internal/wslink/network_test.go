package wslink_test

import (
	"context"
	"net"
	"sync"
	"time"
)

// direction says which bytes of a connection a fault concerns.
type direction int

const (
	toTarget direction = 1 << iota
	fromTarget
)

// network is a listener in memory, for tests in virtual time. What is sent on a silenced connection
// is taken and dropped, and neither end hears of the other's close.
type network struct {
	backlog chan net.Conn
	once    sync.Once
	closed  chan struct{}

	mu sync.Mutex
	// wires are the connections that were opened, in their order.
	wires []*wire
	// pause is how long each chunk takes.
	pause time.Duration
}

// wire is one connection: two pipes and what carries bytes between them.
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

// pump carries bytes one way until that side ends.
func (n *network) pump(w *wire, to, from net.Conn, d direction) {
	buf := make([]byte, 4<<10)
	for {
		k, err := from.Read(buf)
		if err != nil {
			break
		}
		n.mu.Lock()
		pause := n.pause
		n.mu.Unlock()
		time.Sleep(pause)
		if w.carries(d) {
			_, _ = to.Write(buf[:k]) // a closed end is seen by the other pump
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

// silence makes the connections from the first one on that are open now carry nothing more.
func (n *network) silence(first int, d direction) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, w := range n.wires[first:] {
		w.mu.Lock()
		w.silent |= d
		w.mu.Unlock()
	}
}

// setPause sets how long each chunk takes.
func (n *network) setPause(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pause = d
}
