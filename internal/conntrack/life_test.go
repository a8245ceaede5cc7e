package conntrack_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"curlewsill.org/curlewsill/internal/conntrack"
)

// TestConnectionsPerIncarnation makes calls one after the other and checks
// which of them open a connection, and to which address. The Host of each call
// is the address that the caller gave, whatever name the incarnation has.
func TestConnectionsPerIncarnation(t *testing.T) {
	served := &echo{}
	transport := conntrack.NewPerIncarnation(&http.Transport{DialContext: served.dial}, func(conntrack.DeadConn) {})
	t.Cleanup(transport.CloseIdleConnections)
	for _, c := range []struct {
		incarnation, address string
		status               string
		opens                bool
	}{
		{"", "10.0.0.1:80", "200", true},
		{"", "10.0.0.1:80", "200", false},
		{"i-1", "10.0.0.1:80", "200", true},
		{"i-1", "10.0.0.1:80", "200", false},
		{"i-2", "10.0.0.1:80", "200", true},
		{"i-1", "10.0.0.1:80", "200", false},
		{"i-1", "10.0.0.2:80", "200", true},
		{"i-1", "[::1]:80", "200", true},
		{"i-1", "[::1]:80", "200", false},
		{"i:1/@é", "worker.example:80", "200", true},
		{"i:1/@é", "worker.example:80", "200", false},
		{"i-2", "10.0.0.1:80", "421", false}, // also closes the incarnation's connections
		{"i-2", "10.0.0.1:80", "200", true},
		{"i-1", "10.0.0.1:80", "200", false},
		{"", "10.0.0.1:80", "421", false}, // the call names no incarnation, so no connection becomes stale
		{"", "10.0.0.1:80", "200", false},
	} {
		before := served.opened()
		served.call(t, transport, c.incarnation, c.address, c.status)
		got := served.opened()[len(before):]
		if opens := slices.Equal(got, []string{c.address}); opens != c.opens || !opens && len(got) > 0 {
			t.Errorf("a call for %q at %s, answered %s, opened %v", c.incarnation, c.address, c.status, got)
		}
	}
}

// echo answers calls over in-memory connections.
type echo struct {
	mu    sync.Mutex
	dials []string
}

// opened returns the addresses that were dialed.
func (e *echo) opened() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.dials)
}

func (e *echo) dial(_ context.Context, _, address string) (net.Conn, error) {
	near, far := net.Pipe()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dials = append(e.dials, address)
	s := &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(&single{conn: far}) }()
	return near, nil
}

// ServeHTTP answers with the status in the call's Status header, and with the
// call's Host as the body.
func (e *echo) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Status") == "421" {
		rw.WriteHeader(http.StatusMisdirectedRequest)
	}
	_, _ = io.WriteString(rw, r.Host)
}

// call makes a call and checks that it arrives with address as its Host, and
// that the caller's request is unchanged afterwards.
func (e *echo) call(t *testing.T, c *conntrack.Transport, incarnation, address, status string) {
	ctx := t.Context()
	if incarnation != "" {
		ctx = conntrack.WithIncarnation(ctx, incarnation)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/hold", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "" // the host of the URL is then used
	req.Header.Set("Status", status)
	resp, err := c.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	host, err := io.ReadAll(resp.Body)
	if err != nil || string(host) != address || req.URL.Host != address || resp.Request != req && incarnation != "" {
		t.Errorf("a call for %q at %s came with the Host %q (%v); its URL is now %s", incarnation, address, host, err, req.URL)
	}
}

// single is a listener that accepts one connection.
type single struct {
	conn  net.Conn
	taken sync.Once
}

func (s *single) Accept() (c net.Conn, err error) {
	err = net.ErrClosed
	s.taken.Do(func() { c, err = s.conn, nil })
	return c, err
}

func (s *single) Close() error   { return nil }
func (s *single) Addr() net.Addr { return &net.TCPAddr{} }
