// Package relay makes HTTP calls through another entry host when the own path fails.
//
// The platform's store may turn some hosts away while it serves the others. A Path
// tries the direct way; when that fails or is slow, it sends the same call to a peer
// over WebSocket with CBOR, and the peer makes it on its own direct path; while peers are
// refused, up to mostPeers of them are asked in turn. A direct way on which nothing arrives
// while peers are answered carries no calls until a probe is answered. Every call
// that goes this way may be made twice without harm: appends carry a number, and all
// others are reads or say the same again. A peer never passes a call on.
//
// A call can be bound to one way by OnlyBy, which spreads calls over hosts; no other way is
// tried then.
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
	// hedgeAfter is how long the direct way may take, beyond the time that a
	// call may wait at the store, before a peer is asked as well. A slow store
	// answers within 300 ms.
	hedgeAfter = 500 * time.Millisecond
	// suspectFor is how long a way that failed is not the first choice. One second costs
	// a host that is turned away for long one failed call a second.
	suspectFor = time.Second
	// maxBody bounds a call and an answer in bytes. The store takes 2 MB in an append and
	// is asked for 1 MB in a read.
	maxBody = 4 << 20
)

// errTooLarge reports an answer that was not read whole.
var errTooLarge = errors.New("relay: the answer is too large")

// ErrNoPeer reports that no peer is known or reachable.
var ErrNoPeer = errors.New("relay: no peer")

// Peer is another entry host.
type Peer struct {
	// Address is where it listens for its peers.
	Address string
}

// call is one call on its way through a peer. Path includes the query.
type call struct {
	ID     uint64 `cbor:"1,keyasint"`
	Method string `cbor:"2,keyasint"`
	Path   string `cbor:"3,keyasint"`
	Kind   string `cbor:"4,keyasint"`
	Body   []byte `cbor:"5,keyasint"`
	// Limit is how long the peer may take.
	Limit time.Duration `cbor:"6,keyasint"`
	// patience is how long a try waits, if it isn't left to the caller's context.
	patience time.Duration
}

// result answers a call. Status is 0 if the peer got no answer; the call may have had
// its effect then.
type result struct {
	ID     uint64 `cbor:"1,keyasint"`
	Status int    `cbor:"2,keyasint"`
	Body   []byte `cbor:"3,keyasint"`
}

var (
	calls   = codec.New[call]()
	results = codec.New[result]()
)

// Route is where a host takes its peers' calls to one address.
type Route string

// The routes.
const (
	RouteStore  Route = "/v1/relay"
	RouteAdvice Route = "/v1/relay/advice"
	// RouteRecords leads to the peer's own writer.
	RouteRecords Route = "/v1/records"
	// RouteWatch leads to what the peer knows of the owner.
	RouteWatch Route = "/v1/watch"
)

// Path is an http.RoundTripper to one address over the direct way and over peers. It
// is safe for concurrent use.
type Path struct {
	base   string
	route  Route
	client *http.Client
	conns  *wslink.Links
	log    *zap.Logger

	mu    sync.Mutex
	peers []Peer
	// links holds the newest link to each peer, opening those that are being opened.
	links   map[string]*link
	opening map[string]*opening
	// avoidedUntil holds until when peers are not chosen, because a call through them was refused or not answered.
	avoidedUntil map[string]time.Time
	direct       directWay
	// peersSuspect is until when peers are not asked.
	peersSuspect time.Time
}

// New returns a path to the address base (with its scheme) whose direct calls are made
// by the given client. Peers take its calls on the route, over connections of the given set.
func New(base string, route Route, direct *http.Client, conns *wslink.Links, log *zap.Logger) *Path {
	return &Path{
		base: base, route: route, client: direct, conns: conns, log: log,
		links: map[string]*link{}, opening: map[string]*opening{}, avoidedUntil: map[string]time.Time{},
	}
}

// SetPeers takes over which peers there are. A link to another one is left to the calls under way on it, and closed when it lies idle: a peer that the
// platform doesn't list for a moment goes on to answer.
func (p *Path) SetPeers(peers []Peer) {
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

// plan says which ways a call takes.
type plan struct {
	// directFirst is set if the direct way comes first, as it does if peers can't be asked.
	directFirst, usePeers bool
	// probe is set if the direct way is to be probed beside the call.
	probe bool
}

// plan returns the plan of a call that begins now.
func (p *Path) plan() plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	usePeers := len(p.peers) > 0 && now.After(p.peersSuspect)
	if usePeers && p.direct.silent {
		return plan{usePeers: true, probe: p.takeProbe(now)}
	}
	return plan{directFirst: !usePeers || now.After(p.direct.suspect), usePeers: usePeers}
}

// learn notes which ways work.
func (p *Path) learn(o outcome) {
	if errors.Is(o.err, context.Canceled) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now, until := time.Now(), time.Time{}
	if o.failed() {
		until = now.Add(suspectFor)
	}
	if !o.direct {
		p.peersSuspect = until
		return
	}
	was := p.direct.silent || now.Before(p.direct.suspect)
	p.direct.suspect = until
	if !o.failed() {
		p.direct.silent = false
	}
	if was != o.failed() {
		p.log.Info("direct-path", zap.String("to", p.base), zap.Bool("works", !o.failed()))
	}
}

// try makes the call on one way.
func (p *Path) try(req *http.Request, direct bool, wait time.Duration) outcome {
	if direct {
		resp, err := p.tryDirect(req)
		return outcome{resp: resp, err: err, direct: true}
	}
	resp, err := p.tryPeer(req, wait)
	return outcome{resp: resp, err: err}
}

// tryDirect makes the call on the direct way.
func (p *Path) tryDirect(req *http.Request) (*http.Response, error) {
	body, err := bodyOf(req)
	if err != nil {
		return nil, err
	}
	status, data, err := p.Make(req.Context(), req.Method, req.URL.RequestURI(), req.Header.Get("Content-Type"), body)
	if err != nil {
		return nil, err
	}
	return Answer(req, status, data), nil
}

// Make makes a call on the direct path and reads its answer whole.
func (p *Path) Make(ctx context.Context, method, path, kind string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(traced(ctx), method, p.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if kind != "" {
		req.Header.Set("Content-Type", kind)
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	p.hear()
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(arriving{resp.Body, arrivalOf(ctx)}, maxBody+1))
	if err == nil && len(data) > maxBody {
		err = errTooLarge
	}
	return resp.StatusCode, data, err
}

// arriving is the body of an answer. It tells of each part that arrives.
type arriving struct {
	io.Reader
	arrives func()
}

// Read implements io.Reader.
func (a arriving) Read(p []byte) (int, error) {
	n, err := a.Reader.Read(p)
	if n > 0 {
		a.arrives()
	}
	return n, err
}

// bodyOf reads a copy of the body, so that both ways can send it.
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

// Answer returns an answer that was read whole, or one that this process gives itself.
func Answer(req *http.Request, status int, body []byte) *http.Response {
	return &http.Response{
		StatusCode: status, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{},
		Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body)), Request: req,
	}
}

// hedgeKey carries after which time another way is tried.
type hedgeKey struct{}

// WithHedge lets a call take so long on its first way, beyond the time that it may wait, before another one is tried as well, instead of hedgeAfter.
func WithHedge(ctx context.Context, after time.Duration) context.Context {
	return context.WithValue(ctx, hedgeKey{}, after)
}

// hedgeOf returns what WithHedge has set.
func hedgeOf(ctx context.Context) time.Duration {
	if after, ok := ctx.Value(hedgeKey{}).(time.Duration); ok {
		return after
	}
	return hedgeAfter
}

// arrivalKey carries what is to be called when a part of an answer arrives.
type arrivalKey struct{}

// WithArrival notes in ctx what is to be called when the answer to a call on the direct way begins to
// arrive, and with each further part of it.
func WithArrival(ctx context.Context, arrives func()) context.Context {
	if outer, ok := ctx.Value(arrivalKey{}).(func()); ok {
		inner := arrives
		arrives = func() {
			inner()
			outer()
		}
	}
	return context.WithValue(ctx, arrivalKey{}, arrives)
}

// arrivalOf returns what WithArrival has noted.
func arrivalOf(ctx context.Context) func() {
	if arrives, ok := ctx.Value(arrivalKey{}).(func()); ok {
		return arrives
	}
	return func() {}
}

// traced lets what WithArrival has noted be called as an answer begins to arrive.
func traced(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: arrivalOf(ctx)})
}

// waitOf returns how long a call may wait at its other end by conntrack.WithWait, or 0.
func waitOf(req *http.Request) time.Duration {
	wait, _ := conntrack.Wait(req.Context())
	return wait
}
