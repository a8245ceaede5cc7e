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
	// thinLink is what the link of the tests carries, in bytes a second: 10 Mbit/s.
	thinLink = 1_250_000
	// thinChunk is how many bytes it carries at a time.
	thinChunk = 4 << 10
	// longAnswer is the size of a page of the store in bytes.
	longAnswer = 1 << 20
)

// TestLongAnswerOverThinLink checks that a peer's answer may take as long as its size asks for.
//
// Symptom: a host whose own way to the store fails never gets a page of records through a peer, and
// calls that are under way there end unknown. Sequence: the peer writes the page for longer than
// writeTimeout and ends the link; the call is made again, twice, on new links, which end in the same
// way, with all else that is under way there. Cause: the limit for writing a message didn't depend on
// its size. Figures: 1 MB over 10 Mbit/s takes 0.84 s; three links ended within 1.5 s.
func TestLongAnswerOverThinLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lis := &thinListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		links := NewLinks(lis.dial, zap.NewNop())
		peer := New("http://store", RouteStore, &http.Client{Transport: pageStore{}}, links, zap.NewNop())
		s := &http.Server{Handler: peer.Handler(), ReadHeaderTimeout: time.Second}
		go func() { _ = s.Serve(lis) }()
		path := New("http://store", RouteStore, http.DefaultClient, links, zap.NewNop())
		status, body, err := path.To(t.Context(), "peer", Request{Method: http.MethodGet, Path: "/", Limit: 8 * time.Second})
		if err != nil || status != http.StatusOK || len(body) != longAnswer {
			t.Errorf("status %d, %d bytes, %v", status, len(body), err)
		}
		if lis.dialed != 1 {
			t.Errorf("%d links were opened, want 1", lis.dialed)
		}
		links.Close()
		_ = s.Close()
		time.Sleep(time.Minute) // the bubble's time; what a link still carries comes to its end
	})
}

// pageStore answers every call with a long page.
type pageStore struct{}

// RoundTrip implements http.RoundTripper.
func (pageStore) RoundTrip(req *http.Request) (*http.Response, error) {
	return Answer(req, http.StatusOK, make([]byte, longAnswer)), nil
}

// thinListener takes connections within the process over a thin link.
type thinListener struct {
	conns  chan net.Conn
	closed chan struct{}
	// dialed counts the connections that were opened.
	dialed int
}

// dial opens a connection.
func (l *thinListener) dial(context.Context, string, string) (net.Conn, error) {
	l.dialed++
	near, far := net.Pipe()
	l.conns <- thinConn{far}
	return near, nil
}

// Accept implements net.Listener.
func (l *thinListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *thinListener) Close() error {
	close(l.closed)
	return nil
}

// Addr implements net.Listener.
func (*thinListener) Addr() net.Addr { return &net.TCPAddr{} }

// thinConn is a connection that carries bytes as slowly as a thin link.
type thinConn struct{ net.Conn }

// Write implements net.Conn.
func (c thinConn) Write(b []byte) (int, error) {
	sent := 0
	for sent < len(b) {
		part := b[sent:min(len(b), sent+thinChunk)]
		time.Sleep(time.Duration(len(part)) * time.Second / thinLink)
		n, err := c.Conn.Write(part)
		sent += n
		if err != nil {
			return sent, err
		}
	}
	return sent, nil
}
