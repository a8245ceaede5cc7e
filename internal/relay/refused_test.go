package relay_test

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/scripttest"
	"curlewsill.org/curlewsill/internal/relay"
)

// TestRefusedPeers runs the scripts of testdata/refused, in which the store
// refuses this host and some of its peers.
//
// It guards against a host that gives up after the first refused peer. In the
// failure seen, a store refused 16 of 45 hosts for 9 s. A refused host tried
// only the peer to which it had an open link. If this peer was refused too, the
// host's call failed, and so did all its calls of the next second. 12 jobs and
// 27 queries were refused within 1 to 7 ms, while the store served 29 hosts.
//
//	peers MODE...      replaces the peers; a mode is as in TestScripts
//	calls N OUTCOME    makes N calls from a host that the store refuses; all end so
//	made MOST          since the last peers command, the peers made at most so many calls
func TestRefusedPeers(t *testing.T) {
	scripttest.EachIn(t, "refused", func(t *testing.T, text string) {
		links := newLinks(t)
		direct := &scriptedPath{mode: "busy"}
		store := httptest.NewServer(http.HandlerFunc(direct.store))
		t.Cleanup(store.Close)
		transport := relay.New(store.URL, relay.RouteStore, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, links, zap.NewNop())
		var paths []*scriptedPath
		for i, line := range strings.Split(text, "\n") {
			f := strings.Fields(line)
			if len(f) == 0 || f[0] == "#" {
				continue
			}
			switch f[0] {
			case "peers":
				var peers []relay.Peer
				paths = nil
				for _, mode := range f[1:] {
					w := &scriptedPath{links: links, mode: mode}
					s := httptest.NewServer(http.HandlerFunc(w.peer))
					t.Cleanup(s.Close)
					paths, peers = append(paths, w), append(peers, relay.Peer{Address: strings.TrimPrefix(s.URL, "http://")})
				}
				transport.SetPeers(peers)
			case "calls":
				for n := range number(t, f[1]) {
					if got := call(t, transport, store.URL, nil); got != f[2] {
						t.Errorf("line %d: call %d is %s, want %s", i+1, n, got, f[2])
					}
				}
			case "made":
				made := 0
				for _, w := range paths {
					made += int(w.made.Load())
				}
				if made > number(t, f[1]) {
					t.Errorf("line %d: %d calls were made", i+1, made)
				}
			default:
				t.Fatalf("line %d: unknown command %s", i+1, f[0])
			}
		}
	})
}

func number(t *testing.T, text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return n
}
