package relay_test

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/scripttest"
	"curlewsill.org/curlewsill/internal/relay"
	"curlewsill.org/curlewsill/internal/wslink"
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
// The hosts and the stores are on an in-memory network, in virtual time. On
// sockets, a store may get the port of a server that another test's process has
// closed, and it would count the calls of that server's clients.
//
//	peers MODE...      replaces the peers; a mode is as in TestScripts
//	calls N OUTCOME    makes N calls from a host that the store refuses; all end so
//	made MOST          since the last peers command, the peers made at most so many calls
//	wait DURATION      waits
func TestRefusedPeers(t *testing.T) {
	scripttest.EachIn(t, "refused", func(t *testing.T, text string) {
		synctest.Test(t, func(t *testing.T) {
			h := newRefusedHost(t)
			for i, line := range strings.Split(text, "\n") {
				f := strings.Fields(line)
				if len(f) == 0 || f[0] == "#" {
					continue
				}
				h.do(t, i+1, f)
			}
		})
	})
}

// refusedHost is a host that the store refuses, with its peers.
type refusedHost struct {
	network   *memoryNetwork
	transport *relay.Transport
	links     *wslink.Links
	paths     []*scriptedPath
}

func newRefusedHost(t *testing.T) *refusedHost {
	t.Helper()
	n := newMemoryNetwork()
	h := &refusedHost{network: n, links: relay.NewLinks(n.dial, zap.NewNop())}
	t.Cleanup(func() {
		h.links.Close()
		n.close()
		time.Sleep(time.Minute) // virtual time; the connections' goroutines end
	})
	direct := &scriptedPath{mode: "busy"}
	h.transport = h.newTransport(n.serve(direct.store))
	return h
}

// newTransport returns a transport to the store at an address.
func (h *refusedHost) newTransport(store string) *relay.Transport {
	client := &http.Client{Transport: &http.Transport{DialContext: h.network.dial, DisableKeepAlives: true}}
	return relay.New("http://"+store, relay.RouteStore, client, h.links, zap.NewNop())
}

// do executes one command of a script; TestRefusedPeers describes the commands.
func (h *refusedHost) do(t *testing.T, line int, f []string) {
	t.Helper()
	switch f[0] {
	case "peers":
		h.setPeers(f[1:])
	case "calls":
		for n := range number(t, f[1]) {
			if got := call(t, h.transport, "http://store", nil); got != f[2] {
				t.Errorf("line %d: call %d is %s, want %s", line, n, got, f[2])
			}
		}
	case "made":
		made := 0
		for _, w := range h.paths {
			made += int(w.made.Load())
		}
		if made > number(t, f[1]) {
			t.Errorf("line %d: %d calls were made", line, made)
		}
	case "wait":
		d, err := time.ParseDuration(f[1])
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(d)
	default:
		t.Fatalf("line %d: unknown command %s", line, f[0])
	}
}

// setPeers replaces the peers by new ones with the given modes.
func (h *refusedHost) setPeers(modes []string) {
	var peers []relay.Peer
	h.paths = nil
	for _, mode := range modes {
		w := &scriptedPath{mode: mode}
		w.host = h.newTransport(h.network.serve(w.store))
		h.paths, peers = append(h.paths, w), append(peers, relay.Peer{Address: h.network.serve(w.peer)})
	}
	h.transport.SetPeers(peers)
}

func number(t *testing.T, text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return n
}
