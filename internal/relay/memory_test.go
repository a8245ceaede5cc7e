package relay_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// readHeaderTimeout bounds the reading of a request's header by a server of a
// memoryNetwork.
const readHeaderTimeout = time.Second

// memoryNetwork is an in-memory network for tests in virtual time. Only the
// test's own calls reach its servers.
type memoryNetwork struct {
	mu sync.Mutex
	// servers maps each address to the server that listens there.
	servers map[string]*memoryServer
}

func newMemoryNetwork() *memoryNetwork {
	return &memoryNetwork{servers: map[string]*memoryServer{}}
}

// serve starts a server and returns its address.
func (n *memoryNetwork) serve(h http.HandlerFunc) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	address := fmt.Sprintf("server%d:80", len(n.servers))
	s := &memoryServer{
		conns: make(chan net.Conn), closed: make(chan struct{}),
		http: &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout},
	}
	n.servers[address] = s
	go func() { _ = s.http.Serve(s) }()
	return address
}

// dial opens a connection, like net.Dialer's DialContext.
func (n *memoryNetwork) dial(ctx context.Context, network, address string) (net.Conn, error) {
	n.mu.Lock()
	s := n.servers[address]
	n.mu.Unlock()
	if s == nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: &net.AddrError{Err: "no server listens", Addr: address}}
	}
	near, far := net.Pipe()
	select {
	case s.conns <- far:
		return near, nil
	case <-s.closed:
		return nil, &net.OpError{Op: "dial", Net: network, Err: net.ErrClosed}
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	}
}

// close closes all servers and their connections.
func (n *memoryNetwork) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, s := range n.servers {
		_ = s.http.Close()
	}
}

// memoryServer is a server of a memoryNetwork, and its listener.
type memoryServer struct {
	http   *http.Server
	conns  chan net.Conn
	once   sync.Once
	closed chan struct{}
}

// Accept implements net.Listener.
func (s *memoryServer) Accept() (net.Conn, error) {
	select {
	case c := <-s.conns:
		return c, nil
	case <-s.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (s *memoryServer) Close() error {
	s.once.Do(func() { close(s.closed) })
	return nil
}

// Addr implements net.Listener.
func (*memoryServer) Addr() net.Addr { return &net.TCPAddr{} }
