package relay

import (
	"context"
	"net/http"
	"time"
)

// Way numbers the ways of a path: 0 is the direct one, and N, from 1, leads through the Nth of
// the peers that are known.
type Way int

// wayKey carries the way that a call is bound to.
type wayKey struct{}

// OnlyBy binds a call to one way: no other is tried when it fails or is slow.
func OnlyBy(ctx context.Context, w Way) context.Context { return context.WithValue(ctx, wayKey{}, w) }

// Ways returns how many ways there are now.
func (p *Path) Ways() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return 1 + len(p.peers)
}

// by makes a call on one way.
func (p *Path) by(req *http.Request, w Way) (*http.Response, error) {
	if w == 0 {
		return p.tryDirect(req)
	}
	return p.through(req, waitOf(req), func(ctx context.Context) (*link, error) { return p.peer(ctx, w) })
}

// Request is a call for one peer. Path includes the query.
type Request struct {
	Method, Path, Kind string
	Body               []byte
	// Limit is how long the peer may take, and how long each try waits.
	Limit time.Duration
}

// To lets the peer at an address make a call on its direct path, and returns its answer. No other way
// is tried; a call whose link dies is made again on a new one, mostTries times in all. With ErrNoPeer
// the call was surely not sent.
func (p *Path) To(ctx context.Context, address string, r Request) (status int, body []byte, err error) {
	choose := func(ctx context.Context) (*link, error) { return p.open(ctx, address) }
	res, err := p.ask(ctx, choose, call{Method: r.Method, Path: r.Path, Kind: r.Kind, Body: r.Body, Limit: r.Limit, patience: r.Limit})
	return res.Status, res.Body, err
}
