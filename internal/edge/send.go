package edge

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	oteltrace "go.opentelemetry.io/otel/trace"

	"curlewsill.org/curlewsill/core/node"
	"curlewsill.org/curlewsill/core/route"
	"curlewsill.org/curlewsill/internal/intake"
)

// probeTimeout bounds a probe. A probe that takes longer is inconclusive.
const probeTimeout = 800 * time.Millisecond

// hopByHopHeaders are the headers of a single connection. They aren't
// forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// Send makes one attempt to send a request to a backend server, in a new
// goroutine.
func (e *Edge) Send(a route.Attempt) {
	c := e.find(a.Request)
	if c == nil {
		// The caller has disconnected and the core didn't know it yet. Nothing
		// was sent.
		go e.core.Push(context.Background(), node.AttemptEnded{Result: route.Result{Attempt: a, Outcome: route.NotSent, Load: -1}})
		return
	}
	go e.attempt(c, a)
}

func (e *Edge) attempt(c *call, a route.Attempt) {
	// A request that must run at most once continues after its caller
	// disconnects. If it were cancelled, the host couldn't find out whether
	// it ran.
	parent := c.ctx
	if c.once {
		parent = context.WithoutCancel(parent)
	}
	ctx, cancel := context.WithDeadline(parent, a.Deadline.Time())
	defer cancel()
	ctx, span := e.tracer.Start(ctx, "attempt", oteltrace.WithSpanKind(oteltrace.SpanKindClient))
	defer span.End()
	span.SetAttributes(attribute.String("backend", string(a.Backend)), attribute.Int("number", a.Number))
	began := time.Now()
	res := e.exchange(ctx, c, a)
	res.Took = time.Since(began)
	recordOutcome(span, res.Outcome)
	e.core.Push(context.WithoutCancel(ctx), node.AttemptEnded{Result: res})
}

// exchange sends the request once and reads the complete response.
func (e *Edge) exchange(ctx context.Context, c *call, a route.Attempt) route.Result {
	res := route.Result{Attempt: a, Outcome: route.NotSent, Load: -1}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := e.newBackendRequest(ctx, c, a)
	if err != nil {
		return res
	}
	resp, err := e.clients.Requests.Do(req)
	if err != nil {
		if connected.Load() {
			res.Outcome = route.Broken
		}
		return res
	}
	defer func() { _ = resp.Body.Close() }()
	if n, err := strconv.Atoi(resp.Header.Get(LoadHeader)); err == nil && n >= 0 {
		res.Load = n
	}
	body, err := e.readAnswer(ctx, c, resp)
	echo := resp.Header.Get(RequestHeader)
	if err != nil || echo != "" && echo != attemptID(e, a) {
		// The response is incomplete, too large or belongs to another request.
		res.Outcome = route.Broken
		return res
	}
	res.Outcome = classify(resp)
	if res.Outcome == route.Complete {
		c.store(a.Number, &response{resp.StatusCode, endToEndHeaders(resp.Header), body})
	}
	return res
}

// attemptID returns the ID of an attempt: host, request and attempt number.
func attemptID(e *Edge, a route.Attempt) string {
	return string(e.host) + "-" + strconv.FormatUint(uint64(a.Request), 10) + "-" + strconv.Itoa(a.Number)
}

func (e *Edge) newBackendRequest(ctx context.Context, c *call, a route.Attempt) (*http.Request, error) {
	path := strings.TrimPrefix(c.request.URL.EscapedPath(), ServicePathPrefix+string(c.service))
	if path == "" {
		path = "/"
	}
	target := "http://" + string(a.Backend) + path
	if q := c.request.URL.RawQuery; q != "" {
		target += "?" + q
	}
	req, err := http.NewRequestWithContext(ctx, c.request.Method, target, nil)
	if err != nil {
		return nil, err
	}
	// The HTTP client retries some requests by itself, but never one whose body
	// it can't replay.
	req.Body, req.ContentLength = newNonReplayableBody(c.body), int64(c.body.Len())
	req.Header = endToEndHeaders(c.request.Header)
	req.Header.Set(RequestHeader, attemptID(e, a))
	e.tracer.Inject(ctx, propagation.HeaderCarrier(req.Header))
	return req, nil
}

// endToEndHeaders returns a copy of the headers without the hop-by-hop ones.
func endToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range strings.Split(out.Get("Connection"), ",") {
		out.Del(strings.TrimSpace(name))
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// readAnswer reads a response body to its end. Nobody receives it if the caller is
// gone, but whether it was complete tells whether the request ran.
func (e *Edge) readAnswer(ctx context.Context, c *call, resp *http.Response) (*intake.Body, error) {
	body, err := intake.ReadAnswer(ctx, c.request, resp, e.bodyLimit)
	if errors.Is(err, intake.ErrRefused) && c.request.Context().Err() != nil {
		body = &intake.Body{}
		_, err = io.Copy(io.Discard, resp.Body)
	}
	return body, err
}

// classify tells a backend server's refusal from a response of the service.
func classify(resp *http.Response) route.Outcome {
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(RanHeader) != string(route.RanNo) {
		return route.Complete
	}
	if resp.Header.Get(RefusalHeader) == string(route.Leaving) {
		return route.Leaving
	}
	return route.Busy
}

// store keeps a complete response until the core has chosen the caller's reply.
func (c *call) store(number int, a *response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.responses[number] = a
	}
}
