package conntrack

import (
	"context"
	"encoding/hex"
	"errors"
	"net/http"
)

// errGone reports that another incarnation answered while a connection was
// being opened.
var errGone = errors.New("conntrack: another incarnation has answered")

// incarnationKey is the context key of WithIncarnation. callKey is the context
// key under which the dialer finds the call.
type (
	incarnationKey struct{}
	callKey        struct{}
)

// WithIncarnation sets in ctx which incarnation of the process at an address a
// call is for. An earlier incarnation may keep answering on connections that it
// has accepted, but its answers say nothing about the incarnation that the call
// is for.
func WithIncarnation(ctx context.Context, incarnation string) context.Context {
	return context.WithValue(ctx, incarnationKey{}, incarnation)
}

// incarnationOf returns the incarnation that a call is for. It is empty if the
// call is for any incarnation.
func incarnationOf(ctx context.Context) string {
	incarnation, _ := ctx.Value(incarnationKey{}).(string)
	return incarnation
}

// send makes the call. A call for an incarnation uses its own URL host, so that
// the base transport pools its connections separately. What is sent doesn't
// change, including the Host header; the dialer finds the call in the context.
func (c *call) send(ctx context.Context, req *http.Request) (*http.Response, error) {
	if c.incarnation == "" {
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

// poolHost returns a URL host that is unique to the call's incarnation and
// address.
func (c *call) poolHost() string {
	out := make([]byte, 0, 128)
	out = hex.AppendEncode(out, []byte(c.incarnation))
	out = append(out, '.')
	return string(append(out, c.address...))
}

// dialingCall returns the call for which a connection is opened. host is the
// address under which the base transport pools the connection.
func dialingCall(ctx context.Context, host string) *call {
	if c, ok := ctx.Value(callKey{}).(*call); ok {
		return c
	}
	return &call{address: host}
}

// misdirected handles an answer from an incarnation that isn't the one that the
// call is for. Connections that were opened for the call's incarnation lead to
// the wrong process, so they are not used again. A later call for the same
// incarnation opens a connection to the process that listens then.
func (t *Transport) misdirected(c *call) {
	for _, x := range t.markStale(c) {
		_ = x.Close()
	}
}

// markStale marks the connections that were opened for a call's incarnation,
// and returns the idle ones.
func (t *Transport) markStale(c *call) (idle []*conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.conn == nil || c.conn.incarnation == "" {
		return nil
	}
	c.misdirected = true
	p := t.peers[c.conn.to]
	if p == nil {
		return nil
	}
	for x := range p.conns {
		if x.incarnation != c.conn.incarnation {
			continue
		}
		x.stale = true
		if x.call == nil {
			idle = append(idle, x)
		}
	}
	return idle
}
