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

// TestRefusedPeers plays the scripts of testdata/refused, in which the store turns away this host and some of its peers.
//
// A store turned away 16 of 45 hosts for 9 s. A host that was refused asked the one peer to which it had a link open; if the store refused that one
// too, the call was refused, and so were all others for a second. 12 jobs and 27 questions on jobs of such hosts were refused ("the store takes no
// records", "the newest state can't be read") 1 to 7 ms after they had come, while the store served 29 hosts.
//
//	peers MODE...      these are the peers; a mode is as in TestScripts
//	calls N OUTCOME    so many calls of a host that the store turns away all end so
//	made MOST          all peers together have made at most so many calls since they were named
func TestRefusedPeers(t *testing.T) {
	scripttest.EachIn(t, "refused", func(t *testing.T, text string) {
		links := newLinks(t)
		direct := &way{mode: "busy"}
		store := httptest.NewServer(http.HandlerFunc(direct.store))
		t.Cleanup(store.Close)
		path := relay.New(store.URL, relay.RouteStore, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, links, zap.NewNop())
		var ways []*way
		for i, line := range strings.Split(text, "\n") {
			f := strings.Fields(line)
			if len(f) == 0 || f[0] == "#" {
				continue
			}
			switch f[0] {
			case "peers":
				var peers []relay.Peer
				ways = nil
				for _, mode := range f[1:] {
					w := &way{links: links, mode: mode}
					s := httptest.NewServer(http.HandlerFunc(w.peer))
					t.Cleanup(s.Close)
					ways, peers = append(ways, w), append(peers, relay.Peer{Address: strings.TrimPrefix(s.URL, "http://")})
				}
				path.SetPeers(peers)
			case "calls":
				for n := range number(t, f[1]) {
					if got := call(t, path, store.URL, nil); got != f[2] {
						t.Errorf("line %d: call %d is %s, want %s", i+1, n, got, f[2])
					}
				}
			case "made":
				made := 0
				for _, w := range ways {
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
