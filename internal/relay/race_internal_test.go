package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
)

// slowBody is a direct way whose answer begins to arrive after a time and ends much later.
type slowBody struct{ begins time.Duration }

// RoundTrip implements http.RoundTripper.
func (s slowBody) RoundTrip(req *http.Request) (*http.Response, error) {
	time.Sleep(s.begins)
	if arrives, ok := req.Context().Value(arrivalKey{}).(func()); ok {
		arrives()
	}
	time.Sleep(3 * hedgeAfter)
	return Answer(req, http.StatusOK, nil), nil
}

// TestNoSecondCopy checks that no peer is asked for an answer that arrives already: the copy would
// share a slow link with it. The peer here can't be reached, which marks the way over peers.
func TestNoSecondCopy(t *testing.T) {
	for _, c := range []struct {
		begins time.Duration
		asked  bool
	}{
		{hedgeAfter / 2, false},
		{2 * hedgeAfter, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			links := NewLinks((&net.Dialer{}).DialContext, zap.NewNop())
			defer links.Close()
			p := New("http://store", RouteStore, &http.Client{Transport: slowBody{c.begins}}, links, zap.NewNop())
			p.SetPeers([]Peer{{Address: "no address"}})
			req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://store/x", nil)
			if err != nil {
				t.Fatal(err)
			}
			resp, err := p.RoundTrip(req)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			if asked := !p.peersSuspect.IsZero(); asked != c.asked {
				t.Errorf("the answer begins after %v: a peer was asked: %t", c.begins, asked)
			}
		})
	}
}
