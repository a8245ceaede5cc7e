package relay

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/internal/wslink"
)

// TestOverdueOnSilentLink checks that a call that is overdue on a silent link
// is retried on a new one, even if no ping has failed yet.
//
// A host is paused while a call waits on a silent link. When the host resumes,
// two limits have passed: the call's limit of 1 s, and that of the ping, which
// ends at most 0.75 s after the call's start. If the call's limit is handled
// first, the call must not end as overdue, since a new link works. In the
// failure seen, the call ended with an unknown outcome after 1.0007 s. The link
// was found dead 0.002 s later, after 1.02 s without bytes.
func TestOverdueOnSilentLink(t *testing.T) {
	late := Policies()
	late.Dialed.PongTimeout = time.Minute // as if the ping's timer fires late
	synctest.Test(t, func(t *testing.T) { callAfterSilence(t, late, http.StatusOK, http.StatusOK) })
}

// TestRefusedRepeat checks that a call whose link has died is tried once more
// when its retry is refused.
//
// A call's link dies and the call is retried. The owner refuses the retry
// (503), since the owner's host was paused while the call's record was queued
// behind an append. The effect of the first try is unknown, so the refusal
// can't be returned. Without a further try, the call ends with an unknown
// outcome (504), although the owner accepts records a moment later.
func TestRefusedRepeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		callAfterSilence(t, Policies(), http.StatusOK, http.StatusServiceUnavailable, http.StatusOK)
	})
}

// TestUnlistedPeerAnswers checks that a call in flight at a peer is answered
// even if the platform stops listing the peer for a moment.
//
// The platform no longer lists a host that is paused for longer than the
// platform's timeout. If the links to this host are closed at once, the last
// try of a call in flight ends with an unknown outcome, although the owner
// accepts the record. In the failure seen, all links to the owner's host were
// logged as closed, and the calls failed with 504 0.1 ms later.
func TestUnlistedPeerAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lis := &slowListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		links := NewLinks(lis.dial, zap.NewNop())
		store := &statusStore{statuses: []int{http.StatusOK}, takes: 500 * time.Millisecond}
		peer := New("http://store", RouteStore, &http.Client{Transport: store}, links, zap.NewNop())
		s := &http.Server{Handler: peer.Handler(), ReadHeaderTimeout: time.Second}
		go func() { _ = s.Serve(lis) }()
		transport := New("http://store", RouteStore, http.DefaultClient, links, zap.NewNop())
		transport.SetPeers([]Peer{{Address: "peer"}})
		go func() {
			time.Sleep(200 * time.Millisecond)
			transport.SetPeers(nil)
		}()
		status, _, err := transport.CallPeer(t.Context(), "peer", Request{Method: http.MethodGet, Path: "/", Timeout: time.Second})
		if err != nil || status != http.StatusOK {
			t.Errorf("status %d, %v", status, err)
		}
		time.Sleep(2 * idleTimeout)
		if n := links.Open(); n != 0 {
			t.Errorf("%d links are open", n)
		}
		links.Close()
		_ = s.Close()
		time.Sleep(time.Minute) // virtual time; data still in transit on links is delivered or dropped
	})
}

// callAfterSilence makes a call on a link, and a second one after the link has
// gone silent. Both must succeed. The calls that reach the peer get the given
// statuses in turn.
func callAfterSilence(t *testing.T, policies wslink.Policies, statuses ...int) {
	lis := &slowListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	cuts := &cutDialer{dial: lis.dial}
	links := wslink.New(wslink.NewClient(cuts.open), policies, maxBody, zap.NewNop())
	peer := New("http://store", RouteStore, &http.Client{Transport: &statusStore{statuses: statuses}}, links, zap.NewNop())
	s := &http.Server{Handler: peer.Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = s.Serve(lis) }()
	transport := New("http://store", RouteStore, http.DefaultClient, links, zap.NewNop())
	for _, silent := range []bool{false, true} {
		if silent {
			cuts.silence()
		}
		status, _, err := transport.CallPeer(t.Context(), "peer", Request{Method: http.MethodGet, Path: "/", Timeout: time.Second})
		if err != nil || status != http.StatusOK {
			t.Errorf("with a silent link %t: status %d, %v", silent, status, err)
		}
	}
	links.Close()
	_ = s.Close()
	time.Sleep(time.Minute) // virtual time; data still in transit on links is delivered or dropped
}

// statusStore answers calls with the statuses in turn, each after a delay, and
// refuses all further calls.
type statusStore struct {
	takes time.Duration

	mu       sync.Mutex
	statuses []int
}

// RoundTrip implements http.RoundTripper.
func (s *statusStore) RoundTrip(req *http.Request) (*http.Response, error) {
	time.Sleep(s.takes)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.statuses) == 0 {
		return NewResponse(req, http.StatusServiceUnavailable, nil), nil
	}
	status := s.statuses[0]
	s.statuses = s.statuses[1:]
	return NewResponse(req, status, nil), nil
}

// cutDialer opens connections, and can make all open ones drop further writes.
type cutDialer struct {
	dial wslink.DialFunc

	mu    sync.Mutex
	conns []*cutConn
}

// open opens a connection.
func (d *cutDialer) open(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	out := &cutConn{Conn: c}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns = append(d.conns, out)
	return out, nil
}

// silence makes the open connections drop further writes.
func (d *cutDialer) silence() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.conns {
		c.cut()
	}
}

// cutConn is a connection that drops all writes once it is cut.
type cutConn struct {
	net.Conn

	mu     sync.Mutex
	silent bool
}

func (c *cutConn) cut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

// Write implements net.Conn.
func (c *cutConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	silent := c.silent
	c.mu.Unlock()
	if silent {
		return len(b), nil
	}
	return c.Conn.Write(b)
}
