// Package edge is the side of callers and backend servers: it takes requests over
// HTTP, sends them to the backend servers that the core chose, and gives each caller
// exactly one answer.
//
// A request is read whole before it is sent and an answer is read whole before it is
// passed on, both within a size limit. So an attempt can be retried, and a caller
// never sees the beginning of an answer whose end is lost. An answer belongs to the
// attempt that it came back on; an attempt that the core has given up writes to
// nobody.
package edge

import (
	"bytes"
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
	"curlewsill.org/curlewsill/internal/problem"
	"curlewsill.org/curlewsill/internal/trace"
)

// The headers of the interface; docs/API.md describes them.
const (
	// CustomerHeader names the customer.
	CustomerHeader = "Curlewsill-Customer"
	// OnceHeader with the value "true" marks a request not to be repeated.
	OnceHeader = "Curlewsill-Once"
	// KeyHeader carries the caller's key of a request not to be repeated.
	KeyHeader = "Idempotency-Key"
	// TimeoutHeader carries the time in milliseconds that the caller will wait.
	TimeoutHeader = "Curlewsill-Timeout-Ms"
	// RanHeader says in every answer whether the request ran.
	RanHeader = "Curlewsill-Ran"
	// LoadHeader carries the slots in use at a backend server.
	LoadHeader = "Curlewsill-Load"
	// RefusalHeader says why a backend server refused: busy or leaving.
	RefusalHeader = "Curlewsill-Refusal"
	// HealthPath is where backend servers say whether they take requests.
	HealthPath = "/healthz"
	// RequestHeader carries the id of a request to the backend server and back.
	RequestHeader = "Curlewsill-Request"
)

// Prefix is the path below which services are reached: /services/NAME/....
const Prefix = "/services/"

// maxKey bounds a caller's key in bytes.
const maxKey = 200

// answerTimeout bounds the time in which a caller takes its answer. One that has gone silent would
// hold its connection, and its place among the requests under way, for good: its kernel goes on
// answering TCP's probes. It is half the time that a request may take to come.
const answerTimeout = 30 * time.Second

// Core takes the events of requests.
type Core interface {
	Offer(node.Event) bool
	Push(context.Context, node.Event) bool
}

// Observer is told of every final answer.
type Observer func(service id.Service, code route.Code, ran route.Ran, took time.Duration)

// Clients are the ways to backend servers. Probes have connections of their own, so
// that a probe never waits for a request.
type Clients struct {
	Requests, Probes *http.Client
}

// Edge is the handler of callers' requests.
type Edge struct {
	host      id.Host
	core      Core
	clients   Clients
	tracer    *trace.Tracer
	observe   Observer
	bodyLimit unit.Bytes
	slots     chan struct{}

	last  atomic.Uint64
	mu    sync.Mutex
	calls map[id.Request]*call
}

// call is one request under way.
type call struct {
	id      id.Request
	service id.Service
	once    bool
	in      *http.Request
	body    []byte
	reply   chan route.Reply
	ctx     context.Context

	mu      sync.Mutex
	answers map[int]*answer
	closed  bool
}

// answer is a whole answer of a backend server.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// New returns a handler that keeps at most limit requests under way.
func New(host id.Host, core Core, c Clients, t *trace.Tracer, bodyLimit unit.Bytes, limit int, o Observer) *Edge {
	return &Edge{
		host: host, core: core, clients: c, tracer: t, observe: o, bodyLimit: bodyLimit,
		slots: make(chan struct{}, limit), calls: map[id.Request]*call{},
	}
}

// ServeHTTP takes a request and writes its final answer.
func (e *Edge) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	ctx := e.tracer.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := e.tracer.Start(ctx, "request", oteltrace.WithSpanKind(oteltrace.SpanKindServer))
	defer span.End()
	boundAnswer(w) // of a refusal, which comes at once
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
		return q.Service, "bad-request", route.RanNo
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(e.bodyLimit)))
	if err != nil {
		return q.Service, badBody(w, err), route.RanNo
	}
	c := &call{
		id: q.ID, service: q.Service, once: q.Once, in: r, body: body, ctx: ctx,
		reply: make(chan route.Reply, 1), answers: map[int]*answer{},
	}
	e.register(c)
	defer e.unregister(c)
	if !e.core.Offer(node.Arrived{Request: q}) {
		return q.Service, refuse(w, route.CodeQueueFull, time.Second), route.RanNo
	}
	select {
	case rep := <-c.reply:
		return q.Service, rep.Code, e.finish(w, c, rep)
	case <-r.Context().Done():
		e.core.Push(context.WithoutCancel(ctx), node.Gone{Request: q.ID})
		return q.Service, "caller-gone", route.RanUnknown
	}
}

// Errors of a request's headers.
var (
	errPath    = errors.New("want a path like /services/NAME/PATH")
	errOnce    = errors.New("want " + OnceHeader + " to be true or false")
	errTimeout = errors.New("want " + TimeoutHeader + " to be a positive number of milliseconds")
	errKey     = errors.New("want " + KeyHeader + " to have at most 200 bytes")
)

// parse reads what the core needs to know.
func (e *Edge) parse(r *http.Request) (route.Request, error) {
	q := route.Request{ID: id.Request(e.last.Add(1)), Customer: id.Customer(r.Header.Get(CustomerHeader))}
	rest, ok := strings.CutPrefix(r.URL.Path, Prefix)
	name, _, _ := strings.Cut(rest, "/")
	if !ok || name == "" {
		return q, errPath
	}
	q.Service = id.Service(name)
	q.Key = r.Header.Get(KeyHeader)
	if len(q.Key) > maxKey {
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
	c.closed, c.answers = true, nil
}

func (e *Edge) find(name id.Request) *call {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.calls[name]
}

// Reply gives a request its final answer.
func (e *Edge) Reply(rep route.Reply) {
	if c := e.find(rep.Request); c != nil {
		c.reply <- rep
	}
}

// finish writes the final answer to the caller.
func (e *Edge) finish(w http.ResponseWriter, c *call, rep route.Reply) route.Ran {
	boundAnswer(w)
	if rep.Relay == 0 {
		problem.Write(w, problem.For(rep))
		return rep.Ran
	}
	c.mu.Lock()
	a := c.answers[rep.Relay]
	c.mu.Unlock()
	h := w.Header()
	for k, v := range a.header {
		h[k] = v
	}
	h.Set(RanHeader, string(rep.Ran))
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body)
	return rep.Ran
}

// boundAnswer bounds the time for an answer that is written now.
func boundAnswer(w http.ResponseWriter) {
	// A connection without time limits, as in tests of handlers, is left as it is.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(answerTimeout))
}

func refuse(w http.ResponseWriter, code route.Code, after time.Duration) route.Code {
	problem.Write(w, problem.For(route.Reply{Code: code, Ran: route.RanNo, RetryAfter: after}))
	return code
}

func badBody(w http.ResponseWriter, err error) route.Code {
	p := problem.Problem{
		Status: http.StatusBadRequest, Code: "bad-body",
		Detail: "the body could not be read", Ran: route.RanNo,
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		p.Status, p.Code, p.Detail = http.StatusRequestEntityTooLarge, "body-too-large", "the body is larger than this host takes"
	}
	problem.Write(w, p)
	return p.Code
}

// onlyOnce is a body that the HTTP client can't send a second time by itself.
type onlyOnce struct{ io.Reader }

func (onlyOnce) Close() error { return nil }

// newBody returns a body that the HTTP client takes for one that can't be had again.
func newBody(b []byte) io.ReadCloser { return onlyOnce{bytes.NewReader(b)} }

// fail notes an error on a span.
func fail(span oteltrace.Span, o route.Outcome) {
	if o != route.Whole {
		span.SetStatus(codes.Error, string(o))
	}
}
