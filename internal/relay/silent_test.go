package relay_test

import (
	"context"
	"crypto/rand"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/scripttest"
	"curlewsill.org/curlewsill/internal/faultproxy"
	"curlewsill.org/curlewsill/internal/relay"
)

const (
	// limit bounds each call that a script makes. A dead link has to be found
	// long before; no test asserts how long.
	limit = 8 * time.Second
	// conditionTimeout is how long a script waits for a condition before it
	// fails.
	conditionTimeout = 20 * time.Second
)

// TestSilent tests links that go silent for good, without a reset, while new
// ones work. A script in testdata/silent has one command per line:
//
//	calls N OUTCOME       makes N calls concurrently through the peer; ok, or unknown
//	silence DIRECTION     drops all data on open links: to-target, from-target or both
//	open N                waits until N links are open at both ends
//	made N                waits until the peer has made N calls in all
//	hold | let            blocks the peer's calls | unblocks them
//	start N | ended       starts N calls that must succeed | waits until they have ended
func TestSilent(t *testing.T) {
	scripttest.EachIn(t, "silent", func(t *testing.T, text string) {
		t.Parallel()
		w := newPair(t)
		for line := range strings.Lines(text) {
			if words := strings.Fields(line); len(words) > 0 && words[0] != "#" {
				w.do(t, words)
			}
		}
	})
}

// pair is a host and its peer, with a proxy between them.
type pair struct {
	proxy     *faultproxy.Proxy
	transport *relay.Transport
	// path is the URL path of the calls. It is random, so that the store can
	// tell them from calls that other tests' processes make to a server that
	// had the store's port before.
	path     string
	made     atomic.Int32
	inFlight sync.WaitGroup

	mu sync.Mutex
	// gate blocks the peer's calls until it is closed.
	gate chan struct{}
}

func newPair(t *testing.T) *pair {
	t.Helper()
	w := &pair{path: "/" + rand.Text(), gate: make(chan struct{})}
	close(w.gate)
	store := httptest.NewServer(http.HandlerFunc(w.store))
	t.Cleanup(store.Close)
	peer := relay.New(store.URL, relay.RouteStore, store.Client(), newLinks(t), zap.NewNop())
	server := httptest.NewServer(peer.Handler())
	t.Cleanup(server.Close)
	proxy, err := faultproxy.New(strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = proxy.Close() })
	w.proxy = proxy
	w.transport = relay.New("http://store", relay.RouteStore, http.DefaultClient, newLinks(t), zap.NewNop())
	return w
}

// store answers a call of the peer once the gate is open.
func (w *pair) store(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path != w.path {
		http.NotFound(rw, r)
		return
	}
	w.made.Add(1)
	w.mu.Lock()
	gate := w.gate
	w.mu.Unlock()
	select {
	case <-gate:
	case <-r.Context().Done():
	}
}

// do executes one command of a script; TestSilent describes the commands.
func (w *pair) do(t *testing.T, words []string) {
	t.Helper()
	n := 0
	if len(words) > 1 {
		n, _ = strconv.Atoi(words[1]) // 0 for a direction
	}
	switch words[0] {
	case "calls":
		w.start(t, n, words[2])
		w.inFlight.Wait()
	case "start":
		w.start(t, n, "ok")
	case "ended":
		w.inFlight.Wait()
	case "silence":
		w.proxy.Silence(map[string]faultproxy.Direction{
			"to-target": faultproxy.ToTarget, "from-target": faultproxy.FromTarget, "both": faultproxy.Both,
		}[words[1]])
	case "open":
		await(t, words, func() bool { return w.proxy.OpenCount() == n })
	case "made":
		await(t, words, func() bool { return int(w.made.Load()) == n })
	case "hold":
		w.mu.Lock()
		w.gate = make(chan struct{})
		w.mu.Unlock()
	case "let":
		close(w.gate)
	default:
		t.Fatalf("unknown command %q", words)
	}
}

// start starts n calls and checks their outcomes.
func (w *pair) start(t *testing.T, n int, want string) {
	for range n {
		w.inFlight.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), limit)
			defer cancel()
			status, _, err := w.transport.CallPeer(ctx, w.proxy.Addr(), relay.Request{Method: http.MethodPost, Path: w.path, Timeout: limit})
			got := "unknown"
			if err == nil && status == http.StatusOK {
				got = "ok"
			}
			if got != want {
				t.Errorf("a call was answered %s (%v), want %s", got, err, want)
			}
		})
	}
}

// await polls until seen reports true, and fails the test after
// conditionTimeout.
func await(t *testing.T, words []string, seen func() bool) {
	t.Helper()
	for end := time.Now().Add(conditionTimeout); !seen(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%v: condition not met in time", words)
		}
	}
}
