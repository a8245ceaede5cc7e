package relay

import (
	"context"
	"net/http"
)

// Way is one way of a path: 0 is the direct one, and N goes through the peer N of those
// that are known, from 1.
type Way int

// wayKey carries the way that a call is bound to.
type wayKey struct{}

// OnlyBy binds a call to one way.
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
	body, err := bodyOf(req)
	if err != nil {
		return nil, err
	}
	l, err := p.peer(req.Context(), w)
	if err != nil {
		return nil, err
	}
	return p.over(req, l, body, waitOf(req))
}

// peer returns a link to the peer of a way.
func (p *Path) peer(ctx context.Context, w Way) (*link, error) {
	p.mu.Lock()
	if int(w) > len(p.peers) {
		p.mu.Unlock()
		return nil, ErrNoPeer
	}
	a := p.peers[w-1].Address
	l := p.links[a]
	p.mu.Unlock()
	if l != nil && l.works() {
		return l, nil
	}
	return p.open(ctx, a)
}
