package relay

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
)

const (
	// slowLinkRate is the rate of the link in the tests, in bytes per second:
	// 10 Mbit/s.
	slowLinkRate = 1_250_000
	// slowLinkChunk is how many bytes the link carries at a time.
	slowLinkChunk = 4 << 10
	// pageSize is the size of a page of the store in bytes.
	pageSize = 1 << 20
)

// TestLongAnswerOverThinLink checks that the limit for writing a peer's answer
// grows with its size.
//
// With a fixed limit, a host whose direct path to the store fails never gets a
// page of records through a peer: 1 MB takes 0.84 s at 10 Mbit/s, longer than
// writeTimeout, so the peer ends the link with all other calls on it. The call
// is retried on two more links, which end the same way: three links within
// 1.5 s.
func TestLongAnswerOverThinLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lis := &slowListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		links := NewLinks(lis.dial, zap.NewNop())
		peer := New("http://store", RouteStore, &http.Client{Transport: pageStore{}}, links, zap.NewNop())
		s := &http.Server{Handler: peer.Handler(), ReadHeaderTimeout: time.Second}
		go func() { _ = s.Serve(lis) }()
		transport := New("http://store", RouteStore, http.DefaultClient, links, zap.NewNop())
		status, body, err := transport.CallPeer(t.Context(), "peer", Request{Method: http.MethodGet, Path: "/", Timeout: 8 * time.Second})
		if err != nil || status != http.StatusOK || len(body) != pageSize {
			t.Errorf("status %d, %d bytes, %v", status, len(body), err)
		}
		if lis.dialed != 1 {
			t.Errorf("%d links were opened, want 1", lis.dialed)
		}
		links.Close()
		_ = s.Close()
		time.Sleep(time.Minute) // virtual time; data still in transit on links is delivered or dropped
	})
}

// pageStore answers every call with a page of pageSize bytes.
type pageStore struct{}

// RoundTrip implements http.RoundTripper.
func (pageStore) RoundTrip(req *http.Request) (*http.Response, error) {
	return NewResponse(req, http.StatusOK, make([]byte, pageSize)), nil
}

// slowListener accepts in-memory connections over a low-bandwidth link.
type slowListener struct {
	conns  chan net.Conn
	closed chan struct{}
	// dialed counts the connections that were opened.
	dialed int
}

// dial opens a connection.
func (l *slowListener) dial(context.Context, string, string) (net.Conn, error) {
	l.dialed++
	near, far := net.Pipe()
	l.conns <- slowConn{far}
	return near, nil
}

// Accept implements net.Listener.
func (l *slowListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *slowListener) Close() error {
	close(l.closed)
	return nil
}

// Addr implements net.Listener.
func (*slowListener) Addr() net.Addr { return &net.TCPAddr{} }

// slowConn is a connection that writes at slowLinkRate.
type slowConn struct{ net.Conn }

// Write implements net.Conn.
func (c slowConn) Write(b []byte) (int, error) {
	sent := 0
	for sent < len(b) {
		part := b[sent:min(len(b), sent+slowLinkChunk)]
		time.Sleep(time.Duration(len(part)) * time.Second / slowLinkRate)
		n, err := c.Conn.Write(part)
		sent += n
		if err != nil {
			return sent, err
		}
	}
	return sent, nil
}
