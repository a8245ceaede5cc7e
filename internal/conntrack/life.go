package conntrack

import (
	"context"
	"encoding/hex"
	"errors"
	"net/http"
)

// errGone reports a connection to a life that has turned out to be gone while it was opened.
var errGone = errors.New("conntrack: another life has answered")

// lifeKey carries the life that a call is for, callKey the call for the dialer.
type (
	lifeKey struct{}
	callKey struct{}
)

// WithLife notes in ctx which life of the process at an address a call is for. The process of an earlier
// life may go on answering on connections that it has accepted, and its answer says nothing of this one.
func WithLife(ctx context.Context, life string) context.Context {
	return context.WithValue(ctx, lifeKey{}, life)
}

// lifeOf returns the life that a call is for; empty if any will do.
func lifeOf(ctx context.Context) string {
	life, _ := ctx.Value(lifeKey{}).(string)
	return life
}

// send makes the call. One for a life has a URL of its own, so that the base transport keeps its
// connections apart. What is sent stays as it is, also the Host; the dialer finds the call in the context.
func (c *call) send(ctx context.Context, req *http.Request) (*http.Response, error) {
	if c.life == "" {
		return c.transport.base.RoundTrip(req.WithContext(ctx))
	}
	out := req.WithContext(context.WithValue(ctx, callKey{}, c))
	if out.Host == "" {
		out.Host = c.address
	}
	url := *req.URL
	url.Host = c.poolHost()
	out.URL = &url
	resp, err := c.transport.base.RoundTrip(out)
	if err != nil {
		return nil, err
	}
	resp.Request = req
	return resp, nil
}

// poolHost returns a host for URLs that no call for another life or another address has.
func (c *call) poolHost() string {
	out := make([]byte, 0, 128)
	out = hex.AppendEncode(out, []byte(c.life))
	out = append(out, '.')
	return string(append(out, c.address...))
}

// opener returns the call that opens a connection; host is what the base transport believes to be its
// address.
func opener(ctx context.Context, host string) *call {
	if c, apart := ctx.Value(callKey{}).(*call); apart {
		return c
	}
	return &call{address: host}
}

// misdirected takes in that another life answered a call: the connections that were opened for the
// call's life are not used again. A later call for it asks whoever listens then.
func (t *Transport) misdirected(c *call) {
	for _, x := range t.spend(c) {
		_ = x.Close()
	}
}

// spend marks the connections that were opened for a call's life, and returns the idle ones.
func (t *Transport) spend(c *call) (idle []*conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.conn == nil || c.conn.life == "" {
		return nil
	}
	c.misdirected = true
	p := t.peers[c.conn.to]
	if p == nil {
		return nil
	}
	for x := range p.conns {
		if x.life != c.conn.life {
			continue
		}
		x.spent = true
		if x.call == nil {
			idle = append(idle, x)
		}
	}
	return idle
}
