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

// TestGivenUpBeforeSending checks that a caller who gives up leaves the link to the other calls on it.
//
// Symptom: calls through a peer were made twice, or ended unknown, though nobody had lost a link.
// Sequence: several calls are under way on one link; one more is given up before its message is
// written whole, as when the direct way answers first, or when it waits behind a long message until
// its time is over. Cause: the writing of a message ended with its caller's patience, and a message
// that isn't written whole ends the link. Figures: of two calls on a link the one that waited for its
// answer ended with errDied.
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
		_, err := l.do(context.Background(), call{Method: http.MethodPost, Path: "/", Limit: time.Minute})
		first <- err
	}()
	for l.under() == 0 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 20 { // the library draws whether it sees the end of a context first
		if _, err := l.do(ctx, call{Method: http.MethodPost, Path: "/", Limit: time.Minute}); !errors.Is(err, context.Canceled) {
			t.Errorf("the call that was given up ended with %v", err)
		}
	}
	close(gate)
	if err := <-first; err != nil {
		t.Errorf("the other call ended with %v", err)
	}
}

// TestOverdueIsForgotten checks that nothing is kept of a call whose answer is overdue.
//
// Symptom: a link that other calls keep in use holds a channel for each call that it never answered.
// Sequence: a call's answer is overdue, and the link lives on for the other calls under way. Cause:
// only calls that their callers had given up were forgotten. Figures: one entry for each such call.
func TestOverdueIsForgotten(t *testing.T) {
	l := linkTo(t, mute(newTestLinks(t)))
	if _, err := l.do(context.Background(), call{Method: http.MethodPost, Path: "/", Limit: -hedgeAfter}); !errors.Is(err, errOverdue) {
		t.Fatalf("the call ended with %v", err)
	}
	if n := l.under(); n != 0 {
		t.Errorf("%d calls are expected to be answered", n)
	}
}

// TestAllLinksSilent checks that a call whose link goes silent together with all others of its host is
// made again on a new one.
//
// Symptom: a call through any peer ends unknown though new links work. Sequence: a host has links to
// six peers, and all go silent; the call's link is found dead, and the call is made again on another
// one, which is silent as well. Cause: a link that may have died together with another one was still
// taken for calls until its own ping had failed. Figures: two of three such calls ended unknown after
// three tries, 0.95 to 1 s after the silence.
func TestAllLinksSilent(t *testing.T) {
	const peers, limit = 6, 8 * time.Second
	path := New("http://store", RouteStore, http.DefaultClient, newTestLinks(t), zap.NewNop())
	store := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(store.Close)
	c := call{Method: http.MethodPost, Path: "/", Limit: limit}
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
	path.SetPeers(known)
	for i := range known {
		if _, err := path.ask(context.Background(), func(ctx context.Context) (*link, error) { return path.peer(ctx, Way(i+1)) }, c); err != nil {
			t.Fatal(err)
		}
	}
	for _, p := range proxies {
		p.Silence(faultproxy.Both)
	}
	for range 3 { // which link is taken is drawn
		if res, err := path.ask(context.Background(), path.pick, c); err != nil || res.Status != http.StatusOK {
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

// mute takes links and answers no call.
func mute(links *wslink.Links) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := links.Accept(w, r)
		for err == nil {
			_, err = conn.Read(r.Context())
		}
	})
}

// linkTo returns a link to a peer with a handler.
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

// under returns how many calls are expected to be answered.
func (l *link) under() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting)
}
