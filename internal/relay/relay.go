// Package relay is an HTTP transport that relays calls through another entry
// host when the direct path to the server fails.
//
// The platform's store may refuse some hosts while it serves others. A
// Transport first sends a call directly. If that fails or is slow, it sends the
// same call to a peer over WebSocket with CBOR, and the peer makes it on its
// own direct path. If peers are refused too, up to maxPeersTried of them are
// tried in turn. A direct path that delivers no bytes while calls through a
// peer are answered is no longer tried first until a probe on it is answered.
//
// Every call that is relayed must be safe to repeat. An append carries a
// sequence number, by which the store recognizes a repeat; all other calls are
// reads or idempotent. A peer never forwards a call to another peer.
//
// WithPath binds a call to one path, so that a caller can spread calls over
// hosts. Such a call isn't retried on another path.
package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/codec"
	"curlewsill.org/curlewsill/internal/conntrack"
	"curlewsill.org/curlewsill/internal/wslink"
)

const (
	// hedgeDelay is how long the first path may take, beyond the time that the
	// call may wait at the server, before a second path is tried as well. A
	// slow store answers within 300 ms.
	hedgeDelay = 500 * time.Millisecond
	// suspectDuration is the time after a failure of a path in which the path
	// isn't tried first. With one second, a host that the store refuses for a
	// long time makes one failed call per second.
	suspectDuration = time.Second
	// maxBody bounds the body of a call and of an answer, in bytes. The store
	// accepts 2 MB in an append, and reads ask it for 1 MB.
	maxBody = 4 << 20
)

// errTooLarge reports an answer that exceeds maxBody.
var errTooLarge = errors.New("relay: the answer is too large")

// ErrNoPeer reports that no peer is known or reachable. The call was not sent.
var ErrNoPeer = errors.New("relay: no peer")

// Peer is another entry host.
type Peer struct {
	// Address is the address at which it listens for its peers.
	Address string
}

// call is one call to be made by a peer, as sent on a link. Path includes the
// query, ContentType describes the body.
type call struct {
	ID          uint64 `cbor:"1,keyasint"`
	Method      string `cbor:"2,keyasint"`
	Path        string `cbor:"3,keyasint"`
	ContentType string `cbor:"4,keyasint"`
	Body        []byte `cbor:"5,keyasint"`
	// Timeout is how long the peer may take to make the call.
	Timeout time.Duration `cbor:"6,keyasint"`
	// tryTimeout bounds each try on this host, including the opening of a link.
	// With 0, only the caller's context bounds it.
	tryTimeout time.Duration
}

// result answers a call. Status is 0 if the peer got no answer from the server;
// the call may have taken effect then.
type result struct {
	ID     uint64 `cbor:"1,keyasint"`
	Status int    `cbor:"2,keyasint"`
	Body   []byte `cbor:"3,keyasint"`
}

var (
	calls   = codec.New[call]()
	results = codec.New[result]()
)

// Route is the URL path at which a host accepts its peers' calls to one server.
type Route string

// The routes.
const (
	RouteStore  Route = "/v1/relay"
	RouteAdvice Route = "/v1/relay/advice"
	// RouteRecords relays to the peer's own record writer.
	RouteRecords Route = "/v1/records"
	// RouteWatch serves questions to the peer itself about the owner of the
	// scheduling, such as whether the owner is alive.
	RouteWatch Route = "/v1/watch"
	// RouteJobs serves questions to the peer itself about jobs.
	RouteJobs Route = "/v1/jobs"
)

// Transport is an http.RoundTripper for calls to one server, made directly or
// through peers. It is safe for concurrent use.
type Transport struct {
	base   string
	route  Route
	client *http.Client
	conns  *wslink.Links
	log    *zap.Logger

	mu    sync.Mutex
	peers []Peer
	// links holds the newest link to each peer. opening holds the links that
	// are being opened. Both are keyed by the peer's address.
	links   map[string]*link
	opening map[string]*opening
	// avoidedUntil holds for each peer the time until which it isn't chosen,
	// since a call through it was refused or not answered.
	avoidedUntil map[string]time.Time
	direct       directState
	// peersSuspectUntil is the time until which no peer is tried.
	peersSuspectUntil time.Time
}

// New returns a transport to the server at base, a URL with scheme and host.
// The client direct makes the direct calls. Relayed calls go over connections
// of conns, which peers accept at the URL path route.
func New(base string, route Route, direct *http.Client, conns *wslink.Links, log *zap.Logger) *Transport {
	return &Transport{
		base: base, route: route, client: direct, conns: conns, log: log,
		links: map[string]*link{}, opening: map[string]*opening{}, avoidedUntil: map[string]time.Time{},
	}
}

// SetPeers replaces the list of peers. A link to a peer that is no longer
// listed gets no new calls and is closed once it is idle. It isn't closed at
// once, since a peer that the platform fails to list for a moment still answers
// the calls in flight.
func (p *Transport) SetPeers(peers []Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peers = peers
	maps.DeleteFunc(p.avoidedUntil, func(a string, _ time.Time) bool { return !p.avoided(a) })
	for a, l := range p.links {
		if !slices.Contains(peers, Peer{Address: a}) {
			l.retire()
			delete(p.links, a)
		}
	}
}

// plan says which paths a call takes.
type plan struct {
	// directFirst is set if the direct path is tried first. It is always set if
	// no peer can be tried. usePeers is set if the call may go through a peer.
	directFirst, usePeers bool
	// probe is set if the direct path has to be probed in parallel to the call.
	probe bool
}

// plan decides which paths a call that starts now uses, and in which order.
func (p *Transport) plan() plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	usePeers := len(p.peers) > 0 && now.After(p.peersSuspectUntil)
	if usePeers && p.direct.silent {
		return plan{usePeers: true, probe: p.takeProbe(now)}
	}
	return plan{directFirst: !usePeers || now.After(p.direct.suspectUntil), usePeers: usePeers}
}

// recordOutcome updates which paths are suspect, from the outcome of a call on
// one of them.
func (p *Transport) recordOutcome(o outcome) {
	if errors.Is(o.err, context.Canceled) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now, until := time.Now(), time.Time{}
	if o.failed() {
		until = now.Add(suspectDuration)
	}
	if !o.direct {
		p.peersSuspectUntil = until
		return
	}
	wasFailing := p.direct.silent || now.Before(p.direct.suspectUntil)
	p.direct.suspectUntil = until
	if !o.failed() {
		p.direct.silent = false
	}
	if wasFailing != o.failed() {
		p.log.Info("direct-path", zap.String("to", p.base), zap.Bool("works", !o.failed()))
	}
}

// try makes the call on one path: the direct one, or through a peer.
func (p *Transport) try(req *http.Request, direct bool, wait time.Duration) outcome {
	if direct {
		resp, err := p.tryDirect(req)
		return outcome{resp: resp, err: err, direct: true}
	}
	resp, err := p.tryPeer(req, wait)
	return outcome{resp: resp, err: err}
}

// tryDirect makes the call on the direct path.
func (p *Transport) tryDirect(req *http.Request) (*http.Response, error) {
	body, err := bodyOf(req)
	if err != nil {
		return nil, err
	}
	status, data, err := p.CallDirect(req.Context(), req.Method, req.URL.RequestURI(), req.Header.Get("Content-Type"), body)
	if err != nil {
		return nil, err
	}
	return NewResponse(req, status, data), nil
}

// CallDirect makes a call on the direct path and reads its whole answer. The
// content type describes the body.
func (p *Transport) CallDirect(ctx context.Context, method, path, contentType string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(withArrivalTrace(ctx), method, p.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if contentType != "" {
		req.Header.Set("Content-Type", contentType)
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	p.recordArrival()
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(arrivalReader{resp.Body, arrivalOf(ctx)}, maxBody+1))
	if err == nil && len(data) > maxBody {
		err = errTooLarge
	}
	return resp.StatusCode, data, err
}

// arrivalReader reads the body of an answer and calls onArrival for each part
// that arrives.
type arrivalReader struct {
	io.Reader
	onArrival func()
}

// Read implements io.Reader.
func (a arrivalReader) Read(p []byte) (int, error) {
	n, err := a.Reader.Read(p)
	if n > 0 {
		a.onArrival()
	}
	return n, err
}

// bodyOf returns a copy of the request body, so that each path can send it.
func bodyOf(req *http.Request) ([]byte, error) {
	if req.GetBody == nil {
		return nil, nil
	}
	r, err := req.GetBody()
	if err != nil {
		return nil, err
	}
	return io.ReadAll(r)
}

// NewResponse returns a response with the given status and body.
func NewResponse(req *http.Request, status int, body []byte) *http.Response {
	return &http.Response{
		StatusCode: status, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{},
		Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body)), Request: req,
	}
}

// hedgeKey is the context key of WithHedgeDelay.
type hedgeKey struct{}

// WithHedgeDelay sets the delay, beyond the time that the call may wait at the
// server, after which a second path is tried in parallel to the first. It
// replaces hedgeDelay for calls with the returned context.
func WithHedgeDelay(ctx context.Context, after time.Duration) context.Context {
	return context.WithValue(ctx, hedgeKey{}, after)
}

// hedgeOf returns the delay set by WithHedgeDelay, or hedgeDelay.
func hedgeOf(ctx context.Context) time.Duration {
	if after, ok := ctx.Value(hedgeKey{}).(time.Duration); ok {
		return after
	}
	return hedgeDelay
}

// arrivalKey is the context key of WithArrivalHook.
type arrivalKey struct{}

// WithArrivalHook registers a callback in ctx: it is called when the answer to
// a call on the direct path begins to arrive, and for each further part of it.
// It adds to the callbacks that ctx already has.
func WithArrivalHook(ctx context.Context, onArrival func()) context.Context {
	if outer, ok := ctx.Value(arrivalKey{}).(func()); ok {
		inner := onArrival
		onArrival = func() {
			inner()
			outer()
		}
	}
	return context.WithValue(ctx, arrivalKey{}, onArrival)
}

// arrivalOf returns the callback set by WithArrivalHook, or one that does
// nothing.
func arrivalOf(ctx context.Context) func() {
	if onArrival, ok := ctx.Value(arrivalKey{}).(func()); ok {
		return onArrival
	}
	return func() {}
}

// withArrivalTrace makes the callback set by WithArrivalHook run on the first
// byte of an answer.
func withArrivalTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: arrivalOf(ctx)})
}

// waitOf returns how long the call may wait at the server, as set by
// conntrack.WithWait, or 0.
func waitOf(req *http.Request) time.Duration {
	wait, _ := conntrack.WaitOf(req.Context())
	return wait
}
