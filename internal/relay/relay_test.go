package relay_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/coder/websocket"
	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/scripttest"
	"curlewsill.org/curlewsill/internal/relay"
	"curlewsill.org/curlewsill/internal/wslink"
)

// TestScripts makes calls over paths that work or fail. A script has one call
// per line:
//
//	DIRECT PEER -> OUTCOME [by PATH]
//
// DIRECT and PEER say what happens to the call on that path: ok, busy (503),
// lost (the call is read and its connection closed), down (no connection) or
// none (no such path). OUTCOME is ok, busy, unsent (certainly no effect) or
// unknown. A call with a PATH is bound to the path of that index. The lines of
// a script share one relay.Transport, which remembers which path works.
func TestScripts(t *testing.T) {
	scripttest.Each(t, run)
}

// scriptedPath is one path of a call, with scripted behavior.
type scriptedPath struct {
	mode string
	// host makes the calls of a peer on its own direct path.
	host *relay.Transport
	// made counts the calls that reached the store.
	made atomic.Int32
}

// newLinks returns a set of links that is closed when the test ends.
func newLinks(t *testing.T) *wslink.Links {
	t.Helper()
	l := relay.NewLinks((&net.Dialer{}).DialContext, zap.NewNop())
	t.Cleanup(l.Close)
	return l
}

func run(t *testing.T, text string) {
	links := newLinks(t)
	direct, peer := &scriptedPath{}, &scriptedPath{}
	store := httptest.NewServer(http.HandlerFunc(direct.store))
	t.Cleanup(store.Close)
	peerStore := httptest.NewServer(http.HandlerFunc(peer.store))
	t.Cleanup(peerStore.Close)
	peer.host = relay.New(peerStore.URL, relay.RouteStore, peerStore.Client(), links, zap.NewNop())
	other := httptest.NewServer(http.HandlerFunc(peer.peer))
	t.Cleanup(other.Close)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: direct.dial}}
	transport := relay.New(store.URL, relay.RouteStore, client, links, zap.NewNop())
	for i, line := range strings.Split(text, "\n") {
		f := strings.Fields(line)
		if len(f) == 0 || f[0] == "#" {
			continue
		}
		direct.mode, peer.mode = f[0], f[1]
		transport.SetPeers(nil)
		if peer.mode != "none" {
			transport.SetPeers([]relay.Peer{{Address: strings.TrimPrefix(other.URL, "http://")}})
		}
		if got := call(t, transport, store.URL, f[4:]); got != f[3] {
			t.Errorf("line %d: %s: got %s", i+1, line, got)
		}
	}
}

func call(t *testing.T, transport *relay.Transport, url string, bound []string) string {
	ctx := context.Background()
	if len(bound) == 2 {
		n, err := strconv.Atoi(bound[1])
		if err != nil {
			t.Fatal(err)
		}
		ctx = relay.WithPath(ctx, relay.PathIndex(n))
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/x", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := transport.RoundTrip(req)
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		return "unsent"
	case err != nil:
		return "unknown"
	case resp.StatusCode == http.StatusServiceUnavailable:
		return "busy"
	}
	return "ok"
}

func (w *scriptedPath) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if w.mode == "down" {
		return nil, &net.OpError{Op: "dial", Net: network, Err: errors.New("refused")}
	}
	return (&net.Dialer{}).DialContext(ctx, network, address)
}

func (w *scriptedPath) store(rw http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.made.Add(1)
	switch w.mode {
	case "busy":
		rw.WriteHeader(http.StatusServiceUnavailable)
	case "lost":
		panic(http.ErrAbortHandler)
	}
}

// peer handles connections as a peer does, making calls on its own direct path.
func (w *scriptedPath) peer(rw http.ResponseWriter, r *http.Request) {
	if w.mode == "down" {
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	if w.mode == "lost" {
		conn, err := websocket.Accept(rw, r, nil)
		if err != nil {
			return
		}
		_, _, _ = conn.Read(r.Context())
		_ = conn.CloseNow()
		return
	}
	w.host.Handler().ServeHTTP(rw, r)
}
