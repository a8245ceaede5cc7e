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
)

// errAnswerTooLarge reports an answer above the size limit.
var errAnswerTooLarge = errors.New("edge: answer too large")

// probeTimeout bounds a probe. One that takes longer says nothing.
const probeTimeout = 800 * time.Millisecond

// hopHeaders are the headers that belong to one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// Send sends a request to a backend server, in a goroutine of its own.
func (e *Edge) Send(a route.Attempt) {
	c := e.find(a.Request)
	if c == nil {
		// The caller went away before the core heard of it. Nothing was sent.
		go e.core.Push(context.Background(), node.Ended{Result: route.Result{Attempt: a, Outcome: route.Unreached, Load: -1}})
		return
	}
	go e.attempt(c, a)
}

func (e *Edge) attempt(c *call, a route.Attempt) {
	// A request not to be repeated goes on when its caller leaves, because nobody
	// could say afterwards whether it ran.
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
	fail(span, res.Outcome)
	e.core.Push(context.WithoutCancel(ctx), node.Ended{Result: res})
}

// exchange sends the request once and reads the answer whole.
func (e *Edge) exchange(ctx context.Context, c *call, a route.Attempt) route.Result {
	res := route.Result{Attempt: a, Outcome: route.Unreached, Load: -1}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := e.outgoing(ctx, c, a)
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
	body, err := readAnswer(resp, int64(e.bodyLimit))
	echo := resp.Header.Get(RequestHeader)
	if err != nil || echo != "" && echo != requestName(e, a) {
		// Cut short, too large, or the answer to another request.
		res.Outcome = route.Broken
		return res
	}
	res.Outcome = outcome(resp)
	if res.Outcome == route.Whole {
		c.keep(a.Number, &answer{resp.StatusCode, passOn(resp.Header), body})
	}
	return res
}

// requestName is the name under which a backend server knows a request.
func requestName(e *Edge, a route.Attempt) string {
	return string(e.host) + "-" + strconv.FormatUint(uint64(a.Request), 10) + "-" + strconv.Itoa(a.Number)
}

func (e *Edge) outgoing(ctx context.Context, c *call, a route.Attempt) (*http.Request, error) {
	path := strings.TrimPrefix(c.in.URL.EscapedPath(), Prefix+string(c.service))
	if path == "" {
		path = "/"
	}
	target := "http://" + string(a.Backend) + path
	if q := c.in.URL.RawQuery; q != "" {
		target += "?" + q
	}
	req, err := http.NewRequestWithContext(ctx, c.in.Method, target, nil)
	if err != nil {
		return nil, err
	}
	// The HTTP client would send some requests again on its own. It can't with a
	// body that it doesn't know how to get a second time.
	req.Body, req.ContentLength = newBody(c.body), int64(len(c.body))
	req.Header = passOn(c.in.Header)
	req.Header.Set(RequestHeader, requestName(e, a))
	e.tracer.Inject(ctx, propagation.HeaderCarrier(req.Header))
	return req, nil
}

// passOn returns the headers that go on to the next hop.
func passOn(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range strings.Split(out.Get("Connection"), ",") {
		out.Del(strings.TrimSpace(name))
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// readAnswer reads an answer's body to its end.
func readAnswer(resp *http.Response, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, errAnswerTooLarge
	}
	return body, nil
}

// outcome tells a backend server's refusal from an answer of its own.
func outcome(resp *http.Response) route.Outcome {
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(RanHeader) != string(route.RanNo) {
		return route.Whole
	}
	if resp.Header.Get(RefusalHeader) == string(route.Leaving) {
		return route.Leaving
	}
	return route.Busy
}

// keep stores a whole answer until the core has decided about it.
func (c *call) keep(number int, a *answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.answers[number] = a
	}
}
