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

// TestOverdueOnSilentLink checks that a call which is overdue on a silent link is made again on a new one, though no ping has failed yet.
//
// Symptom: calls ended unknown after all links had gone silent, though new links work. Sequence: a host stands still while a call waits on a
// silent link; when it goes on, the call's limit of 1 s and the ping's, 0.75 s after the call at the latest, are over together. Cause: of the two
// the call's was taken, or drawn. Settled by: the call ends with "the owner has not answered in time" after 1.0007 s, and its link is found dead
// 0.002 s later, unheard for 1.02 s.
func TestOverdueOnSilentLink(t *testing.T) {
	late := Policies()
	late.Dialed.Answer = time.Minute // as of a host on which the ping's timer is late
	synctest.Test(t, func(t *testing.T) { callAfterSilence(t, late, http.StatusOK, http.StatusOK) })
}

// TestRefusedRepeat checks that a call whose link has died is made once more when its repeat is refused.
//
// Symptom: calls ended unknown after all links had gone silent, though the owner took records a moment later. Sequence: a call's link dies, the call is
// made again, and the owner refuses it, since its host has stood still while the record waited behind an append. What the first copy did isn't known, so
// that the refusal can't be passed on. Cause: a refused repeat was the last try. Settled by: "peer-call-again" with status 503, then the call's 504.
func TestRefusedRepeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		callAfterSilence(t, Policies(), http.StatusOK, http.StatusServiceUnavailable, http.StatusOK)
	})
}

// TestUnlistedPeerAnswers checks that a call under way at a peer is answered though the platform doesn't list the peer for a moment.
//
// Symptom: calls ended unknown after all links had gone silent, though the owner took records. Sequence: the hosts stand still for longer than the
// platform lists one that is silent, while the last try of a call is under way. Cause: links to peers that aren't listed were closed with the calls
// under way. Settled by: "link-closed" with "wslink: closed" for all links to the owner's host, and the calls' 504 0.1 ms later.
func TestUnlistedPeerAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lis := &thinListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		links := NewLinks(lis.dial, zap.NewNop())
		store := &statusStore{statuses: []int{http.StatusOK}, takes: 500 * time.Millisecond}
		peer := New("http://store", RouteStore, &http.Client{Transport: store}, links, zap.NewNop())
		s := &http.Server{Handler: peer.Handler(), ReadHeaderTimeout: time.Second}
		go func() { _ = s.Serve(lis) }()
		path := New("http://store", RouteStore, http.DefaultClient, links, zap.NewNop())
		path.SetPeers([]Peer{{Address: "peer"}})
		go func() {
			time.Sleep(200 * time.Millisecond)
			path.SetPeers(nil)
		}()
		status, _, err := path.To(t.Context(), "peer", Request{Method: http.MethodGet, Path: "/", Limit: time.Second})
		if err != nil || status != http.StatusOK {
			t.Errorf("status %d, %v", status, err)
		}
		time.Sleep(2 * linkIdle)
		if n := links.Open(); n != 0 {
			t.Errorf("%d links are open", n)
		}
		links.Close()
		_ = s.Close()
		time.Sleep(time.Minute) // the bubble's time; what a link still carries comes to its end
	})
}

// callAfterSilence makes a call on a link, and another one after that has gone silent. Both are to succeed; the calls that reach the peer get the
// statuses in turn.
func callAfterSilence(t *testing.T, policies wslink.Policies, statuses ...int) {
	lis := &thinListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	cuts := &cutDialer{dial: lis.dial}
	links := wslink.New(wslink.NewClient(cuts.open), policies, maxBody, zap.NewNop())
	peer := New("http://store", RouteStore, &http.Client{Transport: &statusStore{statuses: statuses}}, links, zap.NewNop())
	s := &http.Server{Handler: peer.Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = s.Serve(lis) }()
	path := New("http://store", RouteStore, http.DefaultClient, links, zap.NewNop())
	for _, silent := range []bool{false, true} {
		if silent {
			cuts.silence()
		}
		status, _, err := path.To(t.Context(), "peer", Request{Method: http.MethodGet, Path: "/", Limit: time.Second})
		if err != nil || status != http.StatusOK {
			t.Errorf("with a silent link %t: status %d, %v", silent, status, err)
		}
	}
	links.Close()
	_ = s.Close()
	time.Sleep(time.Minute) // the bubble's time; what a link still carries comes to its end
}

// statusStore answers calls with the statuses in turn, each after a time, and refuses all others.
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
		return Answer(req, http.StatusServiceUnavailable, nil), nil
	}
	status := s.statuses[0]
	s.statuses = s.statuses[1:]
	return Answer(req, status, nil), nil
}

// cutDialer opens connections and makes those that are open silent.
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

// silence makes the open connections silent.
func (d *cutDialer) silence() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.conns {
		c.cut()
	}
}

// cutConn drops what is written once it is cut.
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
