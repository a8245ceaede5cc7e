package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
)

// slowTransport is a direct path whose answer begins to arrive after a delay
// and ends much later.
type slowTransport struct{ begins time.Duration }

// RoundTrip implements http.RoundTripper.
func (s slowTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	time.Sleep(s.begins)
	if onArrival, ok := req.Context().Value(arrivalKey{}).(func()); ok {
		onArrival()
	}
	time.Sleep(3 * hedgeDelay)
	return NewResponse(req, http.StatusOK, nil), nil
}

// TestNoHedgeWhileAnswerArrives checks that no peer is tried while an answer
// is already arriving: the second copy would share a slow link with the first.
// The peer in this test is unreachable, so that trying it sets
// peersSuspectUntil.
func TestNoHedgeWhileAnswerArrives(t *testing.T) {
	for _, c := range []struct {
		begins   time.Duration
		usesPeer bool
	}{
		{hedgeDelay / 2, false},
		{2 * hedgeDelay, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			links := NewLinks((&net.Dialer{}).DialContext, zap.NewNop())
			defer links.Close()
			p := New("http://store", RouteStore, &http.Client{Transport: slowTransport{c.begins}}, links, zap.NewNop())
			p.SetPeers([]Peer{{Address: "no address"}})
			req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://store/x", nil)
			if err != nil {
				t.Fatal(err)
			}
			resp, err := p.RoundTrip(req)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			if usesPeer := !p.peersSuspectUntil.IsZero(); usesPeer != c.usesPeer {
				t.Errorf("the answer begins after %v: a peer was tried: %t", c.begins, usesPeer)
			}
		})
	}
}

// silentTransport is a direct path that never answers. It counts the calls
// tried on it.
type silentTransport struct{ tried atomic.Int32 }

// RoundTrip implements http.RoundTripper.
func (s *silentTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	s.tried.Add(1)
	<-req.Context().Done()
	return nil, req.Context().Err()
}

// TestSilentDirectWay checks that once a peer has answered a call for which the
// direct path was silent, the next call goes to the peer at once.
//
// Once a peer has answered, the call on the direct path is canceled, so it
// isn't recorded as a failure of the direct path. If nothing else detected the
// silence, every call would wait for the hedge delay first. In the failure
// seen, the owner's path to the store was silent for 7 s: each append took half
// a second, and 512 starts took a little more than one second. Of 130 jobs that
// arrived within 6 s, 82 were late.
func TestSilentDirectWay(t *testing.T) {
	store := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(store.Close)
	dial := (&net.Dialer{}).DialContext
	others := NewLinks(dial, zap.NewNop())
	t.Cleanup(others.Close)
	peer := httptest.NewServer(New(store.URL, RouteStore, store.Client(), others, zap.NewNop()).Handler())
	t.Cleanup(peer.Close)
	links := NewLinks(dial, zap.NewNop())
	t.Cleanup(links.Close)
	direct := &silentTransport{}
	p := New(store.URL, RouteStore, &http.Client{Transport: direct}, links, zap.NewNop())
	p.SetPeers([]Peer{{Address: strings.TrimPrefix(peer.URL, "http://")}})
	for range 2 {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, store.URL+"/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := p.RoundTrip(req)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
	}
	if n := direct.tried.Load(); n != 1 {
		t.Errorf("%d of 2 calls were tried on the silent direct path first, want 1", n)
	}
}
