package relay

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/scripttest"
)

// TestSilence judges the direct way as a peer answers a call that is under way on both, by the lines of testdata/silence/cases.txt.
//
// A way that is taken for silent carries no calls until a probe is answered. When the store is slow for all hosts, a host that leaves its way for that
// makes its calls through peers, which are as slow and have calls of their own.
func TestSilence(t *testing.T) {
	scripttest.EachLine(t, "silence/cases.txt", func(f []string) {
		synctest.Test(t, func(t *testing.T) {
			p := New("http://store", RouteStore, http.DefaultClient, nil, zap.NewNop())
			waited, peer, now := duration(t, f[0]), duration(t, f[1]), time.Now()
			r := &race{path: p, req: httptest.NewRequest(http.MethodGet, "/", nil), directSince: now.Add(-waited), peerSince: now.Add(-peer)}
			if f[2] != "never" {
				p.direct.heard = now.Add(-duration(t, f[2]))
			}
			p.learnSilence(r)
			got := "works"
			if p.direct.silent {
				got = "silent"
			}
			if got != f[3] {
				t.Errorf("%v: the direct way is taken for one that is %s", f, got)
			}
		})
	})
}

// get makes a call over a path and wants an answer.
func get(t *testing.T, p *Path) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, p.base+"/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := p.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("status %d", resp.StatusCode)
	}
}

func duration(t *testing.T, text string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// mendedWay is a direct way that answers nothing until it is mended.
type mendedWay struct {
	silentWay
	mended atomic.Bool
}

// RoundTrip implements http.RoundTripper.
func (m *mendedWay) RoundTrip(req *http.Request) (*http.Response, error) {
	if m.mended.Load() {
		return Answer(req, http.StatusOK, nil), nil
	}
	return m.silentWay.RoundTrip(req)
}

// TestSilentWayReturns checks that the direct way is the first choice again once it answers, and that no call waits for it until then: it is probed
// beside calls.
func TestSilentWayReturns(t *testing.T) {
	way := &mendedWay{}
	p := newPeeredPath(t, way, func(http.ResponseWriter, *http.Request) {})
	get(t, p)
	tried := way.tried.Load()
	p.mu.Lock()
	p.direct.suspect = time.Now().Add(-time.Millisecond) // a probe is due
	p.mu.Unlock()
	get(t, p)
	for way.tried.Load() == tried {
		time.Sleep(time.Millisecond)
	}
	if !p.silent() {
		t.Error("the direct way is taken for one that works")
	}
	way.mended.Store(true)
	for p.silent() {
		get(t, p)
		time.Sleep(time.Millisecond)
	}
}

// silent reports whether the direct way is taken for silent.
func (p *Path) silent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.direct.silent
}

// TestSilentPeer checks that a peer that got no answer is left out while there are others, as one is whose call was refused. Without it each
// call was tried through the one peer to which a link was open.
func TestSilentPeer(t *testing.T) {
	p := newPeeredPath(t, refusedWay{}, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, p.base+"/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := p.RoundTrip(req); !errors.Is(err, errNoAnswer) {
		t.Errorf("the call ended with %v", err)
	}
	if p.othersLeft() {
		t.Error("the silent peer is not avoided")
	}
}

// refusedWay is a direct way on which all calls are refused.
type refusedWay struct{}

// RoundTrip implements http.RoundTripper.
func (refusedWay) RoundTrip(req *http.Request) (*http.Response, error) {
	return Answer(req, http.StatusServiceUnavailable, nil), nil
}

// newPeeredPath returns a path with a direct way and one peer, whose own direct way leads to a store.
func newPeeredPath(t *testing.T, direct http.RoundTripper, store http.HandlerFunc) *Path {
	s := httptest.NewServer(store)
	t.Cleanup(s.Close)
	dial := (&net.Dialer{}).DialContext
	others := NewLinks(dial, zap.NewNop())
	t.Cleanup(others.Close)
	peer := httptest.NewServer(New(s.URL, RouteStore, s.Client(), others, zap.NewNop()).Handler())
	t.Cleanup(peer.Close)
	links := NewLinks(dial, zap.NewNop())
	t.Cleanup(links.Close)
	p := New(s.URL, RouteStore, &http.Client{Transport: direct}, links, zap.NewNop())
	p.SetPeers([]Peer{{Address: strings.TrimPrefix(peer.URL, "http://")}})
	return p
}
