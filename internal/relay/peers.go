package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// linkChoice returns the link to the peer that makes a call.
type linkChoice func(context.Context) (*link, error)

// tryPeer makes the call through some peer.
func (p *Path) tryPeer(req *http.Request, wait time.Duration) (*http.Response, error) {
	return p.through(req, wait, p.pick)
}

// through makes the call through a peer. It may wait at its other end for a time.
func (p *Path) through(req *http.Request, wait time.Duration, choose linkChoice) (*http.Response, error) {
	body, err := bodyOf(req)
	if err != nil {
		return nil, err
	}
	l, err := choose(req.Context())
	if err != nil {
		return nil, err
	}
	res, err := l.do(req.Context(), call{
		Method: req.Method, Path: req.URL.RequestURI(), Kind: req.Header.Get("Content-Type"), Body: body, Limit: wait + 2*hedgeAfter,
	})
	if err != nil {
		return nil, err
	}
	if res.Status == 0 {
		return nil, fmt.Errorf("relay: peer %s got no answer", l.address)
	}
	return Answer(req, res.Status, res.Body), nil
}

// pick returns a link to a peer: one that is open, or else to one drawn at random.
func (p *Path) pick(ctx context.Context) (*link, error) {
	p.mu.Lock()
	for _, l := range p.links {
		if l.works() {
			p.mu.Unlock()
			return l, nil
		}
	}
	if len(p.peers) == 0 {
		p.mu.Unlock()
		return nil, ErrNoPeer
	}
	a := p.peers[rand.IntN(len(p.peers))].Address
	p.mu.Unlock()
	return p.open(ctx, a)
}

// open opens a link to a peer.
func (p *Path) open(ctx context.Context, a string) (*link, error) {
	l, err := dial(ctx, a, p.route, p.log)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrNoPeer, a, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := p.links[a]; old != nil {
		old.close()
	}
	p.links[a] = l
	return l, nil
}

// peer returns a link to the peer of a way.
func (p *Path) peer(ctx context.Context, w Way) (*link, error) {
	p.mu.Lock()
	if int(w) > len(p.peers) {
		p.mu.Unlock()
		return nil, ErrNoPeer
	}
	a := p.peers[w-1].Address
	p.mu.Unlock()
	return p.linkTo(ctx, a)
}

// linkTo returns a link to the peer at an address: the open one, or else a new one.
func (p *Path) linkTo(ctx context.Context, address string) (*link, error) {
	p.mu.Lock()
	l := p.links[address]
	p.mu.Unlock()
	if l != nil && l.works() {
		return l, nil
	}
	return p.open(ctx, address)
}
