package relay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/internal/faultproxy"
	"curlewsill.org/curlewsill/internal/wslink"
)

// TestGivenUpBeforeSending checks that canceling a call doesn't end the other
// calls on its link.
//
// A call may be canceled before its message is written completely, as when the
// direct path answers first, or when the message is queued behind a long one
// until the call times out. If the context of the call ended the write, the
// link would be closed. The other calls on the link would then fail with
// errLinkDead: they would be made twice, or end with an unknown outcome.
func TestGivenUpBeforeSending(t *testing.T) {
	gate := make(chan struct{})
	store := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-gate:
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(store.Close)
	l := linkTo(t, New(store.URL, RouteStore, store.Client(), newTestLinks(t), zap.NewNop()).Handler())
	first := make(chan error, 1)
	go func() {
		_, err := l.do(context.Background(), call{Method: http.MethodPost, Path: "/", Timeout: time.Minute})
		first <- err
	}()
	for l.inFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 20 { // whether the library sees the end of a context first is random
		if _, err := l.do(ctx, call{Method: http.MethodPost, Path: "/", Timeout: time.Minute}); !errors.Is(err, context.Canceled) {
			t.Errorf("the canceled call ended with %v", err)
		}
	}
	close(gate)
	if err := <-first; err != nil {
		t.Errorf("the other call ended with %v", err)
	}
}

// TestOverdueCallIsRemoved checks that a call whose answer is overdue is
// removed from the link. A link that other calls keep open would otherwise leak
// one map entry and channel for each such call.
func TestOverdueCallIsRemoved(t *testing.T) {
	l := linkTo(t, unansweringHandler(newTestLinks(t)))
	if _, err := l.do(context.Background(), call{Method: http.MethodPost, Path: "/", Timeout: -hedgeDelay}); !errors.Is(err, errOverdue) {
		t.Fatalf("the call ended with %v", err)
	}
	if n := l.inFlight(); n != 0 {
		t.Errorf("%d calls still wait for an answer", n)
	}
}

// TestAllLinksSilent checks that a call is retried on a new link when all links
// of its host go silent together.
//
// A host has links to six peers, and all go silent. The link of a call is found
// dead and the call is retried. If the retry may use another old link, whose
// ping hasn't failed yet, the retry is lost as well. Without the check, two of
// three such calls ended with an unknown outcome after three tries, 0.95 to 1 s
// after the links went silent, although new links worked.
func TestAllLinksSilent(t *testing.T) {
	const peers, limit = 6, 8 * time.Second
	transport := New("http://store", RouteStore, http.DefaultClient, newTestLinks(t), zap.NewNop())
	store := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(store.Close)
	c := call{Method: http.MethodPost, Path: "/", Timeout: limit}
	var proxies []*faultproxy.Proxy
	var known []Peer
	for range peers {
		peer := httptest.NewServer(New(store.URL, RouteStore, store.Client(), newTestLinks(t), zap.NewNop()).Handler())
		t.Cleanup(peer.Close)
		proxy, err := faultproxy.New(strings.TrimPrefix(peer.URL, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = proxy.Close() })
		proxies, known = append(proxies, proxy), append(known, Peer{Address: proxy.Addr()})
	}
	transport.SetPeers(known)
	for i := range known {
		if _, err := transport.callWithRetry(context.Background(), func(ctx context.Context) (*link, error) {
			return transport.linkFor(ctx, PathIndex(i+1))
		}, c); err != nil {
			t.Fatal(err)
		}
	}
	for _, p := range proxies {
		p.Silence(faultproxy.Both)
	}
	for range 3 { // the link is chosen at random
		if res, err := transport.callWithRetry(context.Background(), transport.pick, c); err != nil || res.Status != http.StatusOK {
			t.Errorf("status %d, %v", res.Status, err)
		}
	}
}

// newTestLinks returns a set of links that is closed when the test ends.
func newTestLinks(t *testing.T) *wslink.Links {
	l := NewLinks((&net.Dialer{}).DialContext, zap.NewNop())
	t.Cleanup(l.Close)
	return l
}

// unansweringHandler accepts links and answers no call.
func unansweringHandler(links *wslink.Links) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := links.Accept(w, r)
		for err == nil {
			_, err = conn.Read(r.Context())
		}
	})
}

// linkTo returns a link to a peer with the given handler.
func linkTo(t *testing.T, h http.Handler) *link {
	t.Helper()
	peer := httptest.NewServer(h)
	t.Cleanup(peer.Close)
	l, err := dial(context.Background(), strings.TrimPrefix(peer.URL, "http://"), "", newTestLinks(t))
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// inFlight returns how many calls wait for their result.
func (l *link) inFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending)
}
