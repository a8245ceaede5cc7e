package host_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/node"
	"curlewsill.org/curlewsill/core/route"
	"curlewsill.org/curlewsill/internal/host"
	"curlewsill.org/curlewsill/internal/platform/hosts"
	"curlewsill.org/curlewsill/internal/platform/logs"
	"curlewsill.org/curlewsill/internal/platform/workers"
)

// replies is a Calls that collects the answers to callers.
type replies struct{ got chan route.Reply }

func (replies) Send(route.Attempt)                 {}
func (replies) Probe(context.Context, route.Probe) {}
func (r replies) Reply(rep route.Reply)            { r.got <- rep }

// TestLateRequests offers requests until a stopping host accepts no more. Each
// accepted request must be answered, including those that are queued after the
// core has stopped.
func TestLateRequests(t *testing.T) {
	platform := httptest.NewServer(http.NotFoundHandler())
	defer platform.Close()
	c := platform.Client()
	h := host.New("h", zap.NewNop(), host.Platform{
		Logs: logs.New(platform.URL, c), Hosts: hosts.New(platform.URL, c), Workers: workers.New(platform.URL, c),
	}, c, false, func(err error) { t.Error(err) })
	r := replies{make(chan route.Reply, 10_000)}
	ended := make(chan struct{})
	go func() {
		h.Run(t.Context(), r)
		close(ended)
	}()
	accepted := 0
	for stopping := false; ; {
		if h.Offer(node.RequestArrived{Request: route.Request{ID: 1, Service: "s", Customer: "c"}}) {
			accepted++
		} else if stopping {
			break
		}
		if accepted > 100 && !stopping {
			stopping = true
			h.Push(t.Context(), node.Stop{})
		}
		for len(r.got) > 0 {
			<-r.got
			accepted--
		}
	}
	<-ended
	if left := accepted - len(r.got); left != 0 {
		t.Errorf("%d requests were accepted and not answered", left)
	}
}
