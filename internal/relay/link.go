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

const (
	// dialTimeout bounds the opening of a link: the longest way on the users' sites is a
	// few milliseconds, and a peer behind a cut never answers.
	dialTimeout = 400 * time.Millisecond
	// writeTimeout bounds the writing of one message; it is as long as a way may take
	// before the other one is tried.
	writeTimeout = 500 * time.Millisecond
	// servedAtOnce bounds the calls that are made for one peer at a time: twice the
	// connections of a host to the store.
	servedAtOnce = 16
)

// errClosed reports a link that has closed with calls under way.
var errClosed = errors.New("relay: the link has closed")

// link is one connection to a peer, for many calls at a time.
type link struct {
	address string
	conn    *websocket.Conn
	log     *zap.Logger
	next    atomic.Uint64

	mu sync.Mutex
	// waiting leads from a call's ID to where its result is waited for; nil once the
	// link has closed.
	waiting map[uint64]chan result
	closed  bool
}

// dial opens a link to a peer and begins to read it.
func dial(ctx context.Context, address string, route Route, log *zap.Logger) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, _, err := websocket.Dial(ctx, "ws://"+address+string(route), nil)
	if err != nil {
		return nil, err
	}
	conn.SetReadLimit(maxBody)
	l := &link{address: address, conn: conn, log: log, waiting: map[uint64]chan result{}}
	go l.read()
	return l, nil
}

// works reports whether calls can be made on the link.
func (l *link) works() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.closed
}

// close ends the link and the calls under way on it. It may be called again.
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
		res, err := l.receive()
		if err != nil {
			if l.works() {
				l.log.Info("peer-link-lost", zap.String("peer", l.address), zap.Error(err))
			}
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

// receive reads one result.
func (l *link) receive() (result, error) {
	_, raw, err := l.conn.Read(context.Background())
	if err != nil {
		return result{}, err
	}
	return results.Decode(raw)
}

// expect notes that a call's result is waited for. It reports false if the link has
// closed. The channel is closed without a result when the link closes.
func (l *link) expect(id uint64) (<-chan result, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, false
	}
	answer := make(chan result, 1)
	l.waiting[id] = answer
	return answer, true
}

// send writes a call. A link that can't be written to is closed.
func (l *link) send(ctx context.Context, raw []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := l.conn.Write(ctx, websocket.MessageBinary, raw)
	if err != nil {
		l.close()
	}
	return err
}

// do makes a call. A link on which an answer is overdue is closed.
func (l *link) do(ctx context.Context, c call) (result, error) {
	c.ID = l.next.Add(1)
	raw, err := calls.Encode(c)
	if err != nil {
		return result{}, err
	}
	answer, ok := l.expect(c.ID)
	if !ok {
		return result{}, errClosed
	}
	if err := l.send(ctx, raw); err != nil {
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
		l.forget(c.ID)
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			l.close() // the answer is overdue; the next call opens another link
		}
		return result{}, ctx.Err()
	}
}

// forget drops a call that nobody waits for.
func (l *link) forget(n uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, n)
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

// serve makes the calls that come on a peer's connection until it closes.
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

// serveCall makes one call for a peer. A call without an answer is answered with status 0.
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
