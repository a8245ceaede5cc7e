package peerlink_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/peer"
	"curlewsill.org/curlewsill/core/scripttest"
	"curlewsill.org/curlewsill/internal/faultproxy"
	"curlewsill.org/curlewsill/internal/peerlink"
)

const (
	// frameInterval is the time between two frames.
	frameInterval = 20 * time.Millisecond
	// conditionTimeout is how long a script waits for a condition before it
	// fails.
	conditionTimeout = 20 * time.Second
)

// TestSilent tests connections that go silent for good, without a reset, while
// new ones work. A script has one command per line:
//
//	beat               from now on a host sends frames to its peer
//	heard              waits until the peer receives a frame that was sent from now on
//	silence DIRECTION  drops all data on open connections: to-target, from-target or both
//	open N             waits until N connections are open at both ends
//	stop               stops the host
func TestSilent(t *testing.T) {
	scripttest.Each(t, func(t *testing.T, text string) {
		t.Parallel()
		w := newPair(t)
		for line := range strings.Lines(text) {
			if f := strings.Fields(line); len(f) > 0 && f[0] != "#" {
				w.do(t, f)
			}
		}
	})
}

// pair is a host that sends frames, and a proxy in front of its peer.
type pair struct {
	links *peerlink.Links
	proxy *faultproxy.Proxy
	// sent and heard are the numbers of the newest frame sent and received.
	sent, heard atomic.Uint64
	stop        context.CancelFunc
	ctx         context.Context
}

func newPair(t testing.TB) *pair {
	t.Helper()
	w := &pair{}
	w.ctx, w.stop = context.WithCancel(context.Background())
	t.Cleanup(w.stop)
	other := peerlink.New(zap.NewNop(), http.DefaultClient, false, func(_ context.Context, f peer.Frame) { w.heard.Store(f.Digest) })
	server := httptest.NewServer(other)
	t.Cleanup(server.Close)
	proxy, err := faultproxy.New(strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = proxy.Close() })
	w.proxy = proxy
	w.links = peerlink.New(zap.NewNop(), http.DefaultClient, false, nil)
	w.links.SetAddresses(map[id.Host]string{"other": proxy.Addr()})
	return w
}

// do runs one command.
func (w *pair) do(t *testing.T, f []string) {
	t.Helper()
	switch f[0] {
	case "beat":
		go w.beat()
	case "heard":
		from := w.sent.Load()
		await(t, f, func() bool { return w.heard.Load() > from })
	case "silence":
		w.proxy.Silence(map[string]faultproxy.Direction{
			"to-target": faultproxy.ToTarget, "from-target": faultproxy.FromTarget, "both": faultproxy.Both,
		}[f[1]])
	case "open":
		await(t, f, func() bool { return strconv.Itoa(w.proxy.OpenCount()) == f[1] })
	case "stop":
		w.stop()
	default:
		t.Fatalf("unknown command %q", f)
	}
}

// beat sends frames until the host stops.
func (w *pair) beat() {
	for w.ctx.Err() == nil {
		w.links.Send(w.ctx, "other", peer.Frame{From: "self", Digest: w.sent.Add(1)})
		time.Sleep(frameInterval)
	}
}

// await polls until seen reports true, and fails the test after
// conditionTimeout.
func await(t testing.TB, words []string, seen func() bool) {
	t.Helper()
	for end := time.Now().Add(conditionTimeout); !seen(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%v: condition not met in time", words)
		}
	}
}
