package relay

import (
	"context"
	"net/http"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/internal/wslink"
)

// Handler returns the handler for connections of peers. It makes their calls on
// the direct path.
func (p *Transport) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := p.conns.Accept(w, r)
		if err != nil {
			p.log.Info("peer-refused", zap.Error(err))
			return
		}
		defer conn.Close()
		p.serve(r.Context(), conn)
	})
}

// serve makes the calls that arrive on a peer's connection, until the connection
// ends. It doesn't wait for the end of a call before it reads on, so that pings
// are answered meanwhile.
func (p *Transport) serve(ctx context.Context, conn *wslink.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	slots := make(chan struct{}, maxServed)
	admitted := make(chan struct{}, maxServed+maxServedQueued)
	for {
		raw, err := conn.Read(ctx)
		if err != nil {
			return
		}
		c, err := calls.Decode(raw)
		if err != nil {
			p.log.Warn("peer-call-rejected", zap.Error(err))
			return
		}
		select {
		case admitted <- struct{}{}:
		default:
			p.reply(ctx, conn, result{ID: c.ID, Status: http.StatusServiceUnavailable, Body: []byte("too many calls wait")})
			continue
		}
		go func() {
			defer func() { <-admitted }()
			p.serveCall(ctx, conn, c, slots)
		}()
	}
}

// serveCall makes one call for a peer once a slot is free. If the call gets no
// answer, the result has status 0.
func (p *Transport) serveCall(ctx context.Context, conn *wslink.Conn, c call, slots chan struct{}) {
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	case <-ctx.Done():
		return
	}
	limited, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	res := result{ID: c.ID}
	status, body, err := p.CallDirect(limited, c.Method, c.Path, c.ContentType, c.Body)
	if err == nil {
		res.Status, res.Body = status, body
	}
	p.reply(ctx, conn, res)
}

// reply writes the result of a call.
func (p *Transport) reply(ctx context.Context, conn *wslink.Conn, res result) {
	raw, err := results.Encode(res)
	if err != nil {
		p.log.Error("peer-answer-failed", zap.Error(err))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeLimit(raw))
	defer cancel()
	if err := conn.Write(ctx, raw); err != nil {
		p.log.Info("peer-answer-lost", zap.Error(err))
	}
}
