package relay

import (
	"context"
	"net/http"
	"time"
)

// Way numbers the paths of a call: 0 is the direct one, and N >= 1 leads
// through the Nth known peer.
type Way int

// wayKey is the context key of OnlyBy.
type wayKey struct{}

// OnlyBy binds a call to one path: no other is tried when it fails or is slow.
func OnlyBy(ctx context.Context, w Way) context.Context { return context.WithValue(ctx, wayKey{}, w) }

// Ways returns the current number of paths.
func (p *Path) Ways() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return 1 + len(p.peers)
}

// callBound makes a call on one path.
func (p *Path) callBound(req *http.Request, w Way) (*http.Response, error) {
	if w == 0 {
		return p.tryDirect(req)
	}
	return p.callThrough(req, waitOf(req), func(ctx context.Context) (*link, error) { return p.linkFor(ctx, w) })
}

// Request is a call that To relays through one peer. Path includes the query,
// Kind is the content type of the body.
type Request struct {
	Method, Path, Kind string
	Body               []byte
	// Limit is how long the peer may take, and how long this side waits in each
	// try.
	Limit time.Duration
}

// To makes a call through the peer at an address, and returns the server's
// answer. It tries neither the direct path nor other peers. If the link dies,
// the call is made again on a new one, up to maxTries times in all. With
// ErrNoPeer the call was certainly not sent.
func (p *Path) To(ctx context.Context, address string, r Request) (status int, body []byte, err error) {
	chooseLink := func(ctx context.Context) (*link, error) { return p.open(ctx, address) }
	res, err := p.callWithRetry(ctx, chooseLink, call{Method: r.Method, Path: r.Path, Kind: r.Kind, Body: r.Body, Limit: r.Limit, patience: r.Limit})
	return res.Status, res.Body, err
}
