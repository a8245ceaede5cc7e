package relay

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"go.uber.org/zap"
)

// PeerPath is where a host takes its peers' calls.
const PeerPath = "/v1/relay"

const (
	// dialTimeout bounds the opening of a link.
	dialTimeout = 400 * time.Millisecond
	// writeTimeout bounds the writing of one message.
	writeTimeout = 500 * time.Millisecond
	// servedAtOnce bounds the calls that are made for one peer at a time.
	servedAtOnce = 16
)

// errClosed reports a link that has closed with calls under way.
var errClosed = errors.New("relay: the link has closed")

// link is one connection to a peer, for many calls at a time.
type link struct {
	address string
	conn    *websocket.Conn
	next    atomic.Uint64

	mu      sync.Mutex
	waiting map[uint64]chan result
	closed  bool
}

func dial(ctx context.Context, address string) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, _, err := websocket.Dial(ctx, "ws://"+address+PeerPath, nil)
	if err != nil {
		return nil, err
	}
	conn.SetReadLimit(maxBody)
	l := &link{address: address, conn: conn, waiting: map[uint64]chan result{}}
	go l.read()
	return l, nil
}

func (l *link) works() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.closed
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.closed = true
	for _, c := range l.waiting {
		close(c)
	}
	l.waiting = nil
	go func() { _ = l.conn.CloseNow() }()
}

// read hands results to those who wait until the link closes.
func (l *link) read() {
	defer l.close()
	for {
		_, raw, err := l.conn.Read(context.Background())
		if err != nil {
			return
		}
		res, err := results.Decode(raw)
		if err != nil {
			return
		}
		l.mu.Lock()
		c := l.waiting[res.ID]
		delete(l.waiting, res.ID)
		l.mu.Unlock()
		if c != nil {
			c <- res
		}
	}
}

// do makes a call. A link on which an answer is overdue is closed.
func (l *link) do(ctx context.Context, c call) (result, error) {
	c.ID = l.next.Add(1)
	raw, err := calls.Encode(c)
	if err != nil {
		return result{}, err
	}
	answer := make(chan result, 1)
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return result{}, errClosed
	}
	l.waiting[c.ID] = answer
	l.mu.Unlock()
	write, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := l.conn.Write(write, websocket.MessageBinary, raw); err != nil {
		l.close()
		return result{}, err
	}
	overdue := time.NewTimer(c.Limit + hedgeAfter)
	defer overdue.Stop()
	select {
	case res, ok := <-answer:
		if !ok {
			return result{}, errClosed
		}
		if res.Status == 0 {
			l.close() // this peer's own path fails too; the next call tries another
		}
		return res, nil
	case <-overdue.C:
		l.close()
		return result{}, errClosed
	case <-ctx.Done():
		return result{}, ctx.Err()
	}
}

// Handler returns the handler of peers' calls. They are made on the direct path.
func (p *Path) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := websocket.Accept(w, r, nil)
		if err != nil {
			p.log.Info("peer-refused", zap.Error(err))
			return
		}
		defer func() { _ = conn.CloseNow() }()
		conn.SetReadLimit(maxBody)
		p.serve(r.Context(), conn)
	})
}

func (p *Path) serve(ctx context.Context, conn *websocket.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	slots := make(chan struct{}, servedAtOnce)
	for {
		_, raw, err := conn.Read(ctx)
		if err != nil {
			return
		}
		c, err := calls.Decode(raw)
		if err != nil {
			p.log.Warn("peer-call-rejected", zap.Error(err))
			return
		}
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			p.serveCall(ctx, conn, c)
		}()
	}
}

func (p *Path) serveCall(ctx context.Context, conn *websocket.Conn, c call) {
	limited, cancel := context.WithTimeout(ctx, c.Limit)
	defer cancel()
	res := result{ID: c.ID}
	status, body, err := p.Make(limited, c.Method, c.Path, c.Kind, c.Body)
	if err == nil {
		res.Status, res.Body = status, body
	}
	raw, err := results.Encode(res)
	if err != nil {
		p.log.Error("peer-answer-failed", zap.Error(err))
		return
	}
	write, cancelWrite := context.WithTimeout(ctx, writeTimeout)
	defer cancelWrite()
	if err := conn.Write(write, websocket.MessageBinary, raw); err != nil {
		p.log.Info("peer-answer-lost", zap.Error(err))
	}
}
