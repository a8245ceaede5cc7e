// Package edge is the reverse proxy of an entry host: it accepts callers'
// requests over HTTP, sends them to the backend servers that the core chose,
// and gives each caller exactly one response.
//
// Request and response bodies are buffered completely before they are
// forwarded, up to a size limit. So an attempt can be retried, and a caller
// never receives part of a response whose rest is lost. Each response is stored
// with the attempt that received it. The response to an attempt that the core
// has abandoned is discarded.
package edge

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	oteltrace "go.opentelemetry.io/otel/trace"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/node"
	"curlewsill.org/curlewsill/core/route"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/internal/intake"
	"curlewsill.org/curlewsill/internal/problem"
	"curlewsill.org/curlewsill/internal/trace"
)

// HTTP headers and paths of the interface. docs/API.md describes them.
const (
	// CustomerHeader carries the name of the customer.
	CustomerHeader = "Curlewsill-Customer"
	// OnceHeader with the value "true" marks a request that must run at most
	// once.
	OnceHeader = "Curlewsill-Once"
	// IdempotencyKeyHeader carries the caller's idempotency key for a request
	// that must run at most once.
	IdempotencyKeyHeader = "Idempotency-Key"
	// TimeoutHeader carries the caller's timeout in milliseconds.
	TimeoutHeader = "Curlewsill-Timeout-Ms"
	// RanHeader says in every response whether the request ran.
	RanHeader = "Curlewsill-Ran"
	// LoadHeader carries the number of slots in use at a backend server.
	LoadHeader = "Curlewsill-Load"
	// RefusalHeader says why a backend server refused a request: busy or
	// leaving.
	RefusalHeader = "Curlewsill-Refusal"
	// HealthPath is the path at which backend servers report whether they
	// accept requests.
	HealthPath = "/healthz"
	// RequestHeader carries the ID of an attempt to the backend server, which
	// may echo it.
	RequestHeader = "Curlewsill-Request"
)

// ServicePathPrefix is the path prefix of services: /services/NAME/....
const ServicePathPrefix = "/services/"

// maxKeyBytes and maxServiceBytes bound the length of an idempotency key and of the
// name of a service, which the spans of a request carry.
const maxKeyBytes, maxServiceBytes = 200, 200

// writeTimeout bounds the time in which a caller must read its response.
// Without it, a caller that stops reading would hold its connection and its
// slot among the requests in flight forever, because its kernel still answers
// TCP keep-alive probes. It is half the time limit for receiving a request.
const writeTimeout = 30 * time.Second

// Core receives the events of requests.
type Core interface {
	Offer(node.Event) bool
	Push(context.Context, node.Event) bool
}

// Observer is called once for each request, when its handling ends.
type Observer func(service id.Service, code route.Code, ran route.Ran, took time.Duration)

// Clients are the HTTP clients for backend servers. Probes use separate
// connections, so that a probe never waits for a request.
type Clients struct {
	Requests, Probes *http.Client
}

// Edge is the HTTP handler for callers' requests.
type Edge struct {
	host      id.Host
	core      Core
	clients   Clients
	tracer    *trace.Tracer
	observe   Observer
	bodyLimit unit.Bytes
	slots     chan struct{}

	lastID atomic.Uint64
	mu     sync.Mutex
	calls  map[id.Request]*call
}

// call is a caller's request in flight.
type call struct {
	id      id.Request
	service id.Service
	once    bool
	request *http.Request
	body    *intake.Body
	reply   chan route.Reply
	ctx     context.Context

	mu        sync.Mutex
	responses map[int]*response
	closed    bool
}

// response is a complete response of a backend server.
type response struct {
	status int
	header http.Header
	body   *intake.Body
}

// New returns a handler that admits at most limit requests in flight.
func New(host id.Host, core Core, c Clients, t *trace.Tracer, bodyLimit unit.Bytes, limit int, o Observer) *Edge {
	return &Edge{
		host: host, core: core, clients: c, tracer: t, observe: o, bodyLimit: bodyLimit,
		slots: make(chan struct{}, limit), calls: map[id.Request]*call{},
	}
}

// ServeHTTP handles a request and writes its final response.
func (e *Edge) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	ctx := e.tracer.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := e.tracer.Start(ctx, "request", oteltrace.WithSpanKind(oteltrace.SpanKindServer))
	defer span.End()
	setWriteDeadline(w) // for a refusal, which is written at once
	service, code, ran := e.serve(ctx, w, r)
	span.SetAttributes(
		attribute.String("service", string(service)),
		attribute.String("code", string(code)),
		attribute.String("ran", string(ran)),
	)
	e.observe(service, code, ran, time.Since(began))
}

func (e *Edge) serve(ctx context.Context, w http.ResponseWriter, r *http.Request) (id.Service, route.Code, route.Ran) {
	select {
	case e.slots <- struct{}{}:
		defer func() { <-e.slots }()
	default:
		return "", refuse(w, route.CodeQueueFull, time.Second), route.RanNo
	}
	q, err := e.parse(r)
	if err != nil {
		problem.Write(w, problem.Problem{Status: http.StatusBadRequest, Code: "bad-request", Detail: err.Error(), Ran: route.RanNo})
		return "", "bad-request", route.RanNo
	}
	body, err := intake.ReadBody(w, r, e.bodyLimit)
	if err != nil {
		return "", writeBodyError(w, err), route.RanNo
	}
	c := &call{
		id: q.ID, service: q.Service, once: q.Once, request: r, body: body, ctx: ctx,
		reply: make(chan route.Reply, 1), responses: map[int]*response{},
	}
	e.register(c)
	defer e.unregister(c)
	if !e.core.Offer(node.RequestArrived{Request: q}) {
		return "", refuse(w, route.CodeQueueFull, time.Second), route.RanNo
	}
	select {
	case rep := <-c.reply:
		return knownService(q.Service, rep), rep.Code, e.writeReply(w, c, rep)
	case <-r.Context().Done():
		e.core.Push(context.WithoutCancel(ctx), node.CallerGone{Request: q.ID})
		return "", codeCallerGone, route.RanUnknown
	}
}

// codeCallerGone is the code of a request whose caller didn't wait for its response.
const codeCallerGone route.Code = "caller-gone"

// knownService returns the service of a request, or "" if the reply doesn't show that
// there is one of that name. The name comes from the caller: as the label of a
// metric, it would let callers create any number of time series.
func knownService(s id.Service, rep route.Reply) id.Service {
	switch rep.Code {
	case route.CodeNoService, route.CodeNotReady, route.CodeStopping:
		return ""
	}
	return s
}

// Errors in the path and headers of a request. Callers receive them as details.
var (
	errPath    = errors.New("want a path like /services/NAME/PATH")
	errService = errors.New("want the name of the service to have at most 200 bytes")
	errOnce    = errors.New("want " + OnceHeader + " to be true or false")
	errTimeout = errors.New("want " + TimeoutHeader + " to be a positive number of milliseconds")
	errKey     = errors.New("want " + IdempotencyKeyHeader + " to have at most 200 bytes")
)

// parse returns what the core needs to route the request.
func (e *Edge) parse(r *http.Request) (route.Request, error) {
	q := route.Request{ID: id.Request(e.lastID.Add(1)), Customer: id.Customer(r.Header.Get(CustomerHeader))}
	rest, ok := strings.CutPrefix(r.URL.Path, ServicePathPrefix)
	name, _, _ := strings.Cut(rest, "/")
	if !ok || name == "" {
		return q, errPath
	}
	if len(name) > maxServiceBytes {
		return q, errService
	}
	q.Service = id.Service(name)
	q.Key = r.Header.Get(IdempotencyKeyHeader)
	if len(q.Key) > maxKeyBytes {
		return q, errKey
	}
	switch v := r.Header.Get(OnceHeader); v {
	case "", "false":
	case "true":
		q.Once = true
	default:
		return q, errOnce
	}
	if v := r.Header.Get(TimeoutHeader); v != "" {
		ms, err := strconv.ParseUint(v, 10, 31)
		if err != nil || ms == 0 {
			return q, errTimeout
		}
		q.Deadline = unit.At(time.Now()).Add(time.Duration(ms) * time.Millisecond)
	}
	return q, nil
}

func (e *Edge) register(c *call) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls[c.id] = c
}

func (e *Edge) unregister(c *call) {
	e.mu.Lock()
	delete(e.calls, c.id)
	e.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed, c.responses = true, nil
}

func (e *Edge) find(request id.Request) *call {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.calls[request]
}

// Reply delivers the core's final reply to the handler of the request.
func (e *Edge) Reply(rep route.Reply) {
	if c := e.find(rep.Request); c != nil {
		c.reply <- rep
	}
}

// writeReply writes the final response to the caller.
func (e *Edge) writeReply(w http.ResponseWriter, c *call, rep route.Reply) route.Ran {
	setWriteDeadline(w)
	if rep.RelayedAttempt == 0 {
		problem.Write(w, problem.FromReply(rep))
		return rep.Ran
	}
	c.mu.Lock()
	a := c.responses[rep.RelayedAttempt]
	c.mu.Unlock()
	h := w.Header()
	for k, v := range a.header {
		h[k] = v
	}
	h.Set(RanHeader, string(rep.Ran))
	h.Set("Content-Length", strconv.Itoa(a.body.Len()))
	w.WriteHeader(a.status)
	_, _ = io.Copy(w, a.body.NewReader()) // the caller may be gone
	return rep.Ran
}

// setWriteDeadline bounds the time for writing a response, from now on.
func setWriteDeadline(w http.ResponseWriter) {
	// The error is ignored: if the connection doesn't support deadlines, as in
	// tests of handlers, the response is written without one.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

func refuse(w http.ResponseWriter, code route.Code, after time.Duration) route.Code {
	problem.Write(w, problem.FromReply(route.Reply{Code: code, Ran: route.RanNo, RetryAfter: after}))
	return code
}

func writeBodyError(w http.ResponseWriter, err error) route.Code {
	p := problem.Problem{
		Status: http.StatusBadRequest, Code: "bad-body",
		Detail: "the body could not be read", Ran: route.RanNo,
	}
	// The rest of the body isn't waited for.
	w.Header().Set("Connection", "close")
	if errors.Is(err, intake.ErrRefused) {
		return refuse(w, route.CodeQueueFull, time.Second)
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		p.Status, p.Code, p.Detail = http.StatusRequestEntityTooLarge, "body-too-large", "the body is larger than this host takes"
	}
	problem.Write(w, p)
	return p.Code
}

// nonReplayableBody is a request body that the HTTP client can't copy. So the
// client never retries the request by itself.
type nonReplayableBody struct{ io.Reader }

func (nonReplayableBody) Close() error { return nil }

// newNonReplayableBody returns a request body that the HTTP client can't
// replay.
func newNonReplayableBody(b *intake.Body) io.ReadCloser { return nonReplayableBody{b.NewReader()} }

// recordOutcome sets the span's status to error unless the response was
// complete.
func recordOutcome(span oteltrace.Span, o route.Outcome) {
	if o != route.Complete {
		span.SetStatus(codes.Error, string(o))
	}
}
