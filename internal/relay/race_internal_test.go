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

// slowBody is a direct way whose answer begins to arrive after a time and ends much later.
type slowBody struct{ begins time.Duration }

// RoundTrip implements http.RoundTripper.
func (s slowBody) RoundTrip(req *http.Request) (*http.Response, error) {
	time.Sleep(s.begins)
	if arrives, ok := req.Context().Value(arrivalKey{}).(func()); ok {
		arrives()
	}
	time.Sleep(3 * hedgeAfter)
	return Answer(req, http.StatusOK, nil), nil
}

// TestNoSecondCopy checks that no peer is asked for an answer that arrives already: the copy would
// share a slow link with it. The peer here can't be reached, which marks the way over peers.
func TestNoSecondCopy(t *testing.T) {
	for _, c := range []struct {
		begins time.Duration
		asked  bool
	}{
		{hedgeAfter / 2, false},
		{2 * hedgeAfter, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			links := NewLinks((&net.Dialer{}).DialContext, zap.NewNop())
			defer links.Close()
			p := New("http://store", RouteStore, &http.Client{Transport: slowBody{c.begins}}, links, zap.NewNop())
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
			if asked := !p.peersSuspect.IsZero(); asked != c.asked {
				t.Errorf("the answer begins after %v: a peer was asked: %t", c.begins, asked)
			}
		})
	}
}

// silentWay is a direct way that never answers. It counts the calls that are tried on it.
type silentWay struct{ tried atomic.Int32 }

// RoundTrip implements http.RoundTripper.
func (s *silentWay) RoundTrip(req *http.Request) (*http.Response, error) {
	s.tried.Add(1)
	<-req.Context().Done()
	return nil, req.Context().Err()
}

// TestSilentDirectWay makes a call whose direct way is silent and which a peer answers, and then another one: that one goes to the peer at once.
//
// The owner's way to the store was silent for 7 s. Each of its calls waited for half a second there before a peer was asked, since a way that is
// given up because another one has answered isn't noted as one that failed: 52 lines "connection-dead" of the store in those 7 s, and only after them
// "direct-path works=false". Appends took half a second each, and 512 starts a little more than one: of 130 jobs that came within 6 s 82 were late.
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
	way := &silentWay{}
	p := New(store.URL, RouteStore, &http.Client{Transport: way}, links, zap.NewNop())
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
	if n := way.tried.Load(); n != 1 {
		t.Errorf("%d of 2 calls were tried on the silent way first, want 1", n)
	}
}
