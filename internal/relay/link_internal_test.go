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
	l := linkTo(t, func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-gate:
		case <-r.Context().Done():
		}
	})
	first := make(chan error, 1)
	go func() {
		_, err := l.do(context.Background(), call{Method: http.MethodPost, Path: "/", Limit: time.Minute})
		first <- err
	}()
	awaitCalls(t, l, 1)
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
	l := linkTo(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	if _, err := l.do(context.Background(), call{Method: http.MethodPost, Path: "/", Limit: -hedgeAfter}); !errors.Is(err, errOverdue) {
		t.Fatalf("the call ended with %v", err)
	}
	awaitCalls(t, l, 0)
}

// linkTo returns a link to a peer whose store answers as told.
func linkTo(t *testing.T, answer http.HandlerFunc) *link {
	t.Helper()
	store := httptest.NewServer(answer)
	t.Cleanup(store.Close)
	links := func() *wslink.Links {
		out := NewLinks((&net.Dialer{}).DialContext, zap.NewNop())
		t.Cleanup(out.Close)
		return out
	}
	peer := httptest.NewServer(New(store.URL, RouteStore, store.Client(), links(), zap.NewNop()).Handler())
	t.Cleanup(peer.Close)
	l, err := dial(context.Background(), strings.TrimPrefix(peer.URL, "http://"), "", links())
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// awaitCalls waits until so many calls are expected to be answered on a link.
func awaitCalls(t *testing.T, l *link, n int) {
	t.Helper()
	for range 1000 {
		l.mu.Lock()
		got := len(l.waiting)
		l.mu.Unlock()
		if got == n {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("%d calls never were under way", n)
}
