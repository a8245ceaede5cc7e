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

// ErrNoAnswer reports that the peer made the call and got no answer from the
// server.
var ErrNoAnswer = errors.New("relay: the peer got no answer")

// linkChooser returns the link on which a call is made.
type linkChooser func(context.Context) (*link, error)

// maxPeersTried bounds the number of peers through which one refused call is
// tried. If the server refuses a third of the hosts, three peers are seldom all
// refused.
const maxPeersTried = 3

// tryPeer makes the call through a peer, and through further peers while the
// call is refused: the server may refuse a peer just as it refuses this host.
// Further tries are safe, since a refusal means that the call had no effect.
func (p *Transport) tryPeer(req *http.Request, wait time.Duration) (*http.Response, error) {
	resp, err := p.callThrough(req, wait, p.pick)
	for tries := 1; tries < maxPeersTried && err == nil && refuses(resp.StatusCode) && p.hasUsablePeer(); tries++ {
		retried, retryErr := p.callThrough(req, wait, p.pick)
		if errors.Is(retryErr, ErrNoPeer) {
			continue
		}
		resp, err = retried, retryErr
	}
	return resp, err
}

// refuses reports whether a status means that the call had no effect.
func refuses(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// avoid excludes a peer for a while, since a call through it was refused or not
// answered.
func (p *Transport) avoid(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.avoidedUntil[address] = time.Now().Add(suspectDuration)
}

// avoided reports whether a peer is excluded for now, since a recent call
// through it was refused or not answered. The caller holds p.mu.
func (p *Transport) avoided(address string) bool { return time.Now().Before(p.avoidedUntil[address]) }

// hasUsablePeer reports whether there is a peer that isn't avoided.
func (p *Transport) hasUsablePeer() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.peers, func(x Peer) bool { return !p.avoided(x.Address) })
}

// callThrough makes the call on a link to a peer. wait is how long the call may
// wait at the server.
func (p *Transport) callThrough(req *http.Request, wait time.Duration, chooseLink linkChooser) (*http.Response, error) {
	body, err := bodyOf(req)
	if err != nil {
		return nil, err
	}
	res, err := p.callWithRetry(req.Context(), chooseLink, call{
		Method: req.Method, Path: req.URL.RequestURI(), ContentType: req.Header.Get("Content-Type"), Body: body, Timeout: wait + 2*hedgeDelay,
	})
	if err != nil {
		return nil, err
	}
	return NewResponse(req, res.Status, res.Body), nil
}

// maxTries bounds how often a call is made if its links die. A try on a dead
// link takes half a second, and opening a link at most 0.4 s, so three tries
// fit into the time limit of most calls. Two tries weren't enough: on a busy
// machine, the second link wasn't opened in time for one of 3,200 calls.
const maxTries = 3

// callWithRetry makes a call on a link. If the link dies, callWithRetry retries
// the call on another link, with at most maxTries tries. The call that was sent
// on the dead link may have taken effect. If a retry is refused, this is still
// possible, so a refusal isn't returned: the call is retried again, and its
// outcome stays unknown until a retry is answered without a refusal.
func (p *Transport) callWithRetry(ctx context.Context, chooseLink linkChooser, c call) (result, error) {
	res, err := p.callOnce(ctx, chooseLink, c)
	if errors.Is(err, errUnsent) {
		res, err = p.callOnce(ctx, chooseLink, c)
	}
	for tries := 1; tries < maxTries && errors.Is(err, errLinkDead) && ctx.Err() == nil; tries++ {
		retried, retryErr := p.callOnce(ctx, chooseLink, c)
		p.log.Info("peer-call-again", zap.String("path", c.Path), zap.Int("status", retried.Status), zap.Error(retryErr))
		if retryErr != nil {
			// A retry error says nothing about the effect of the first try, so
			// it is not wrapped.
			err = fmt.Errorf("%w; again: %v", err, retryErr)
			continue
		}
		if refuses(retried.Status) {
			err = fmt.Errorf("%w; again: status %d", err, retried.Status)
			continue
		}
		return retried, nil
	}
	return res, err
}

// callOnce makes a call on one link.
func (p *Transport) callOnce(ctx context.Context, chooseLink linkChooser, c call) (result, error) {
	if c.tryTimeout > 0 {
		limited, cancel := context.WithTimeout(ctx, c.tryTimeout)
		defer cancel()
		ctx = limited
	}
	l, err := chooseLink(ctx)
	if err != nil {
		return result{}, err
	}
	res, err := l.do(ctx, c)
	if errors.Is(err, errLinkDead) && errors.Is(l.conn.Cause(), wslink.ErrSilent) {
		p.retireQuietLinks()
	}
	if err == nil && res.Status == 0 {
		err = fmt.Errorf("%w: %s", ErrNoAnswer, l.address)
	}
	if errors.Is(err, ErrNoAnswer) || errors.Is(err, errOverdue) || err == nil && refuses(res.Status) {
		p.avoid(l.address)
	}
	return res, err
}

// retireQuietLinks is called when a link was found silent. It retires the other
// links that delivered no bytes for inUsePingAfter, since they may have died at
// the same time: the dead link was silent for at least pongTimeout. Otherwise
// retries would use these links, and calls would end with an unknown outcome.
func (p *Transport) retireQuietLinks() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		if time.Since(l.conn.LastReceived()) >= inUsePingAfter {
			l.retire()
		}
	}
}

// pick returns a link to a peer: an open one, or else a new one to a peer
// chosen at random. Peers that are avoided are used only if there are no
// others.
func (p *Transport) pick(ctx context.Context) (*link, error) {
	p.mu.Lock()
	for a, l := range p.links {
		if l.usable() && !p.avoided(a) {
			p.mu.Unlock()
			return l, nil
		}
	}
	candidates := slices.DeleteFunc(slices.Clone(p.peers), func(x Peer) bool { return p.avoided(x.Address) })
	if len(candidates) == 0 {
		candidates = p.peers
	}
	if len(candidates) == 0 {
		p.mu.Unlock()
		return nil, ErrNoPeer
	}
	a := candidates[rand.IntN(len(candidates))].Address
	p.mu.Unlock()
	return p.open(ctx, a)
}

// opening is a link that is being opened.
type opening struct {
	// done is closed once link or err is set.
	done chan struct{}
	link *link
	err  error
}

// open returns the link to a peer: the open one, or else a new one. Calls that
// need a new link at the same time share one. If each call opened a link, each
// new link would replace the one before, on which calls are in flight.
func (p *Transport) open(ctx context.Context, a string) (*link, error) {
	p.mu.Lock()
	if l := p.links[a]; l != nil && l.usable() {
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

// connect opens a link for all calls that wait for it.
func (p *Transport) connect(a string, o *opening) {
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

// linkFor returns a link to the peer that a path leads through. The path isn't
// the direct one.
func (p *Transport) linkFor(ctx context.Context, index PathIndex) (*link, error) {
	p.mu.Lock()
	if int(index) > len(p.peers) {
		p.mu.Unlock()
		return nil, ErrNoPeer
	}
	a := p.peers[index-1].Address
	p.mu.Unlock()
	return p.open(ctx, a)
}
