package relay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/internal/wslink"
)

// errNoAnswer reports a peer that got no answer itself.
var errNoAnswer = errors.New("relay: the peer got no answer")

// linkChoice returns the link to the peer that makes a call.
type linkChoice func(context.Context) (*link, error)

// mostPeers bounds through how many peers a call is tried that is refused by each: what turns away a third of the hosts seldom
// refuses three of them.
const mostPeers = 3

// tryPeer makes the call through some peer, and through others while it is refused: a refusal says that nothing was done, and the other end may
// turn away that peer like this host.
func (p *Path) tryPeer(req *http.Request, wait time.Duration) (*http.Response, error) {
	resp, err := p.through(req, wait, p.pick)
	for tries := 1; tries < mostPeers && err == nil && refuses(resp.StatusCode) && p.othersLeft(); tries++ {
		again, errAgain := p.through(req, wait, p.pick)
		if errors.Is(errAgain, ErrNoPeer) {
			continue
		}
		resp, err = again, errAgain
	}
	return resp, err
}

// refuses reports whether a status says that nothing was done.
func refuses(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// avoid lets other peers be chosen for a while, because a call through one was refused or not answered.
func (p *Path) avoid(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.avoidedUntil[address] = time.Now().Add(suspectFor)
}

// avoided reports whether a call through a peer was refused or not answered lately. The path is locked.
func (p *Path) avoided(address string) bool { return time.Now().Before(p.avoidedUntil[address]) }

// othersLeft reports whether there is a peer that isn't avoided.
func (p *Path) othersLeft() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.peers, func(x Peer) bool { return !p.avoided(x.Address) })
}

// through makes the call through a peer. It may wait at its other end for a time.
func (p *Path) through(req *http.Request, wait time.Duration, choose linkChoice) (*http.Response, error) {
	body, err := bodyOf(req)
	if err != nil {
		return nil, err
	}
	res, err := p.ask(req.Context(), choose, call{
		Method: req.Method, Path: req.URL.RequestURI(), Kind: req.Header.Get("Content-Type"), Body: body, Limit: wait + 2*hedgeAfter,
	})
	if err != nil {
		return nil, err
	}
	return Answer(req, res.Status, res.Body), nil
}

// mostTries bounds how often a call is made whose links die. A try whose link had died before takes
// half a second, and the opening of a link 0.4 s at most, so that three fit into what most calls may
// take. On a busy machine one link in 3,200 was not opened in time for the second.
const mostTries = 3

// ask makes a call on a link, and again on another one if the link dies under it. What was sent on
// the dead link may have had its effect: a refusal of a later try doesn't tell, so the outcome stays
// unknown unless a further try is answered.
func (p *Path) ask(ctx context.Context, choose linkChoice, c call) (result, error) {
	res, err := p.askOnce(ctx, choose, c)
	if errors.Is(err, errUnsent) {
		res, err = p.askOnce(ctx, choose, c)
	}
	for tries := 1; tries < mostTries && errors.Is(err, errDied) && ctx.Err() == nil; tries++ {
		again, errAgain := p.askOnce(ctx, choose, c)
		p.log.Info("peer-call-again", zap.String("path", c.Path), zap.Int("status", again.Status), zap.Error(errAgain))
		if errAgain != nil {
			// What a later error says of the call's effect doesn't hold for the first try.
			err = fmt.Errorf("%w; again: %v", err, errAgain)
			continue
		}
		if refuses(again.Status) {
			err = fmt.Errorf("%w; again: status %d", err, again.Status)
			continue
		}
		return again, nil
	}
	return res, err
}

// askOnce makes a call on a link.
func (p *Path) askOnce(ctx context.Context, choose linkChoice, c call) (result, error) {
	if c.patience > 0 {
		limited, cancel := context.WithTimeout(ctx, c.patience)
		defer cancel()
		ctx = limited
	}
	l, err := choose(ctx)
	if err != nil {
		return result{}, err
	}
	res, err := l.do(ctx, c)
	if errors.Is(err, errDied) && errors.Is(l.conn.Cause(), wslink.ErrSilent) {
		p.retireQuiet()
	}
	if err == nil && res.Status == 0 {
		err = fmt.Errorf("%w: %s", errNoAnswer, l.address)
	}
	if errors.Is(err, errNoAnswer) || errors.Is(err, errOverdue) || err == nil && refuses(res.Status) {
		p.avoid(l.address)
	}
	return res, err
}

// retireQuiet retires the links that may have died together with one that was found silent: those from
// which nothing has come for waitingQuiet. The dead one was silent for linkAnswer at least. Without it
// the next tries go to such links, and calls end unknown.
func (p *Path) retireQuiet() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		if time.Since(l.conn.LastHeard()) >= waitingQuiet {
			l.retire()
		}
	}
}

// pick returns a link to a peer: one that is open, or else to one drawn at random. Peers that are avoided are left out while
// there are others.
func (p *Path) pick(ctx context.Context) (*link, error) {
	p.mu.Lock()
	for a, l := range p.links {
		if l.works() && !p.avoided(a) {
			p.mu.Unlock()
			return l, nil
		}
	}
	left := slices.DeleteFunc(slices.Clone(p.peers), func(x Peer) bool { return p.avoided(x.Address) })
	if len(left) == 0 {
		left = p.peers
	}
	if len(left) == 0 {
		p.mu.Unlock()
		return nil, ErrNoPeer
	}
	a := left[rand.IntN(len(left))].Address
	p.mu.Unlock()
	return p.open(ctx, a)
}

// opening is a link that is being opened.
type opening struct {
	// done is closed when link or err is set.
	done chan struct{}
	link *link
	err  error
}

// open returns the link to a peer: the open one, or else a new one. Calls that need it at the same
// moment share it: one for each would close the others, with the calls under way on them.
func (p *Path) open(ctx context.Context, a string) (*link, error) {
	p.mu.Lock()
	if l := p.links[a]; l != nil && l.works() {
		p.mu.Unlock()
		return l, nil
	}
	o := p.opening[a]
	if o == nil {
		o = &opening{done: make(chan struct{})}
		p.opening[a] = o
		go p.connect(a, o)
	}
	p.mu.Unlock()
	select {
	case <-o.done:
		return o.link, o.err
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %s: %w", ErrNoPeer, a, ctx.Err())
	}
}

// connect opens a link for all who wait for it.
func (p *Path) connect(a string, o *opening) {
	l, err := dial(context.Background(), a, p.route, p.conns)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.opening, a)
	if err != nil {
		o.err = fmt.Errorf("%w: %s: %w", ErrNoPeer, a, err)
	} else {
		o.link, p.links[a] = l, l
	}
	close(o.done)
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
	return p.open(ctx, a)
}
