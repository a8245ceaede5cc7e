package edge_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/node"
	"curlewsill.org/curlewsill/core/route"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/internal/edge"
	"curlewsill.org/curlewsill/internal/trace"
)

// oneBackend is a core that sends every request to one backend server and
// relays its response.
type oneBackend struct {
	edge    *edge.Edge
	backend id.Backend
	ended   []route.Outcome
}

func (o *oneBackend) Offer(ev node.Event) bool {
	q := ev.(node.RequestArrived).Request
	o.edge.Send(route.Attempt{
		Request: q.ID, Service: q.Service, Number: 1, Backend: o.backend, Deadline: unit.At(time.Now().Add(time.Minute)),
	})
	return true
}

func (o *oneBackend) Push(_ context.Context, ev node.Event) bool {
	if e, ok := ev.(node.AttemptEnded); ok {
		o.ended = append(o.ended, e.Result.Outcome)
		rep := route.Reply{Request: e.Result.Request, RelayedAttempt: 1, Ran: route.RanYes}
		if e.Result.Outcome != route.Complete {
			rep = route.Reply{Request: e.Result.Request, Code: route.CodeInterrupted, Ran: route.RanUnknown}
		}
		o.edge.Reply(rep)
	}
	return true
}

// call sends one request through an edge to a backend server and returns the
// response, its body, the outcomes of the attempts and the spans.
func call(t *testing.T, backend http.HandlerFunc, header http.Header) (*http.Response, string, []route.Outcome, tracetest.SpanStubs) {
	srv := httptest.NewServer(backend)
	defer srv.Close()
	spans := tracetest.NewInMemoryExporter()
	tracer := trace.NewWithProcessor("h", sdk.NewSimpleSpanProcessor(spans), 100)
	core := &oneBackend{backend: id.Backend(strings.TrimPrefix(srv.URL, "http://"))}
	core.edge = edge.New("h", core, edge.Clients{Requests: &http.Client{}, Probes: &http.Client{}}, tracer, unit.KiB, 10,
		func(id.Service, route.Code, route.Ran, time.Duration) {})
	front := httptest.NewServer(core.edge)
	defer front.Close()
	req, err := http.NewRequest(http.MethodGet, front.URL+"/services/svc/a/b?c=d", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header = header
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body), core.ended, spans.GetSpans()
}

// TestTrace checks that a request creates a span for each hop and that its
// trace context reaches the backend server.
func TestTrace(t *testing.T) {
	const id = "4bf92f3577b34da6a3ce929d0e0e4736"
	got := ""
	resp, body, _, spans := call(t, func(w http.ResponseWriter, r *http.Request) {
		got = r.Header.Get("Traceparent")
		_, _ = io.WriteString(w, r.URL.String())
	}, http.Header{"Traceparent": {"00-" + id + "-00f067aa0ba902b7-01"}})
	if body != "/a/b?c=d" || resp.Header.Get(edge.RanHeader) != "yes" {
		t.Errorf("response %q, ran %q", body, resp.Header.Get(edge.RanHeader))
	}
	if !strings.Contains(got, id) {
		t.Errorf("the backend server got traceparent %q", got)
	}
	if len(spans) != 2 || spans[0].Name != "attempt" || spans[1].Name != "request" {
		t.Fatalf("spans: %v", spans)
	}
	for _, s := range spans {
		if s.SpanContext.TraceID().String() != id {
			t.Errorf("span %s has trace %s", s.Name, s.SpanContext.TraceID())
		}
	}
}

// TestAnswers checks which outcome an edge reports for each kind of response of
// a backend server.
func TestAnswers(t *testing.T) {
	for _, x := range []struct {
		name    string
		backend http.HandlerFunc
		want    route.Outcome
	}{
		{"cut short", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "half")
			panic(http.ErrAbortHandler)
		}, route.Broken},
		{"another request's", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(edge.RequestHeader, "h-99-1")
		}, route.Broken},
		{"larger than the limit", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, strings.Repeat("x", 2000))
		}, route.Broken},
		{"busy", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(edge.RanHeader, "no")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, route.Busy},
		{"leaving", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(edge.RanHeader, "no")
			w.Header().Set(edge.RefusalHeader, "leaving")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, route.Leaving},
		{"unavailable, and it may have run", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}, route.Complete},
		{"any other status is an answer", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusTeapot)
		}, route.Complete},
	} {
		t.Run(x.name, func(t *testing.T) {
			_, _, ended, _ := call(t, x.backend, http.Header{})
			if len(ended) != 1 || ended[0] != x.want {
				t.Errorf("outcomes %v, want %s", ended, x.want)
			}
		})
	}
}
