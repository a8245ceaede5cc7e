package relay

import (
	"context"
	"net/http"
	"time"
)

// PathIndex numbers the paths of a call: 0 is the direct one, and N >= 1 leads
// through the Nth known peer.
type PathIndex int

// pathKey is the context key of WithPath.
type pathKey struct{}

// WithPath binds a call to one path: no other is tried when it fails or is
// slow.
func WithPath(ctx context.Context, index PathIndex) context.Context {
	return context.WithValue(ctx, pathKey{}, index)
}

// PathCount returns the current number of paths.
func (p *Transport) PathCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return 1 + len(p.peers)
}

// callBound makes a call on one path.
func (p *Transport) callBound(req *http.Request, index PathIndex) (*http.Response, error) {
	if index == 0 {
		return p.tryDirect(req)
	}
	return p.callThrough(req, waitOf(req), func(ctx context.Context) (*link, error) { return p.linkFor(ctx, index) })
}

// Request is a call that CallPeer relays through one peer. Path includes the
// query, ContentType describes the body.
type Request struct {
	Method, Path, ContentType string
	Body                      []byte
	// Timeout is how long the peer may take, and how long this side waits in
	// each try.
	Timeout time.Duration
}

// CallPeer makes a call through the peer at an address, and returns the
// server's answer. It tries neither the direct path nor other peers. If the
// link dies, the call is made again on a new one, up to maxTries times in all.
// With ErrNoPeer the call was certainly not sent.
func (p *Transport) CallPeer(ctx context.Context, address string, r Request) (status int, body []byte, err error) {
	chooseLink := func(ctx context.Context) (*link, error) { return p.open(ctx, address) }
	res, err := p.callWithRetry(ctx, chooseLink, call{
		Method: r.Method, Path: r.Path, ContentType: r.ContentType, Body: r.Body, Timeout: r.Timeout, tryTimeout: r.Timeout,
	})
	return res.Status, res.Body, err
}
