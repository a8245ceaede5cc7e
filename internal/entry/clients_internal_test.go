package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/scripttest"
	"curlewsill.org/curlewsill/internal/relay"
)

// behaviors are what silent clients send before they stop sending. All but
// idle, whole and unread send an incomplete request.
var behaviors = map[string]string{
	"nothing":                 "",
	"half-header":             "GET /q/ HTTP/1.1\r\nHost: jo",
	"half-body":               "POST /q/j HTTP/1.1\r\nHost: jobs.example\r\nContent-Length: 100\r\n\r\n{",
	"half-body-long-deadline": "POST /q/j HTTP/1.1\r\nHost: jobs.example\r\nDeadline-Ms: 60000\r\nContent-Length: 100\r\n\r\n{",
	"unread":                  "GET /q/ HTTP/1.1\r\nHost: jobs.example\r\n\r\n",
	"idle":                    "GET /q/ HTTP/1.1\r\nHost: jobs.example\r\n\r\n",
	"whole":                   "GET /q/ HTTP/1.1\r\nHost: jobs.example\r\n\r\n",
}

// observationTime is longer than any time limit of the servers.
const observationTime = 10 * time.Minute

// TestSilentClients checks after what time each listener closes the connection
// of a client that stops sending or receiving.
func TestSilentClients(t *testing.T) {
	scripttest.EachLine(t, "silent/clients.txt", func(f []string) {
		t.Run(f[0]+" "+f[1], func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if got := playClient(t, f[0], f[1]); got != f[2] {
					t.Errorf("got %s, want %s", got, f[2])
				}
			})
		})
	})
}

// playClient returns after what time the host has closed a client's connection.
// It returns good if the client gets an answer and the connection is still open
// then.
func playClient(t *testing.T, listener, behavior string) string {
	h := &Host{log: zap.NewNop(), metrics: newMetrics()}
	h.links = relay.NewLinks((&net.Dialer{}).DialContext, zap.NewNop())
	h.storePath = relay.New("http://store", relay.RouteStore, http.DefaultClient, h.links, zap.NewNop())
	h.advicePath, h.recordsPath = h.storePath, h.storePath
	clientEnd, serverEnd := net.Pipe()
	ended := make(chan struct{})
	lis := &oneConn{conn: &closeSignalConn{Conn: serverEnd, ended: ended}, closed: make(chan struct{})}
	s := h.newServers()[slices.Index([]string{"front", "readiness", "metrics", "peers"}, listener)]
	go func() { _ = s.Serve(lis) }()
	defer func() { _, _, _ = s.Close(), clientEnd.Close(), lis.Close() }()
	began := time.Now()
	if _, err := io.WriteString(clientEnd, behaviors[behavior]); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(clientEnd)
	switch behavior {
	case "idle", "whole":
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		if behavior == "whole" {
			return "good"
		}
	case "unread":
	default:
		go func() { _, _ = io.Copy(io.Discard, reader) }()
	}
	select {
	case <-ended:
		return time.Since(began).Round(time.Second).String()
	case <-time.After(observationTime):
		return "never"
	}
}

// oneConn is a listener with a single connection.
type oneConn struct {
	conn   net.Conn
	closed chan struct{}
}

// Accept implements net.Listener.
func (l *oneConn) Accept() (net.Conn, error) {
	if c := l.conn; c != nil {
		l.conn = nil
		return c, nil
	}
	<-l.closed
	return nil, net.ErrClosed
}

// Close implements net.Listener.
func (l *oneConn) Close() error {
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	return nil
}

// Addr implements net.Listener.
func (*oneConn) Addr() net.Addr { return &net.TCPAddr{} }

// closeSignalConn is a connection that closes the channel ended when the
// connection is closed.
type closeSignalConn struct {
	net.Conn
	ended chan struct{}
}

// Close implements net.Conn.
func (c *closeSignalConn) Close() error {
	select {
	case <-c.ended:
	default:
		close(c.ended)
	}
	return c.Conn.Close()
}
