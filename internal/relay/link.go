package relay

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/internal/wslink"
)

const (
	// dialTimeout bounds the opening of a link: a way takes a
	// few milliseconds, and a peer behind a cut never answers.
	dialTimeout = 400 * time.Millisecond
	// writeTimeout bounds the writing of one message beside what its size takes; it is as long as a
	// way may take before the other one is tried.
	writeTimeout = 500 * time.Millisecond
	// thinnest is how many bytes a second a message may be written with at least, so that
	// a large page doesn't end each thin link that it is written to.
	thinnest = 1 << 20
	// servedAtOnce bounds the calls that are made for one peer at a time: twice the
	// connections of a host to the store.
	servedAtOnce = 16
	// servedWaiting bounds the calls of one peer that wait to be made; further ones are refused.
	// It bounds memory: they have been read.
	servedWaiting = 48
)

// The tightest duty that rests on a link is the record of a client's call, which may wait for one
// second while the store is slow: a dead link has to be found early enough for another try.
const (
	// waitingQuiet is how long nothing may come from a peer that a call waits for until it is
	// pinged. A usual answer takes a few milliseconds, so that most calls cost no ping.
	waitingQuiet = 250 * time.Millisecond
	// linkAnswer is how long a peer may take to answer a ping. 512 kB that stand before the ping
	// take 420 ms over 10 Mbit/s, and a quota of processor time ends for
	// 100 ms at most.
	linkAnswer = 500 * time.Millisecond
	// linkQuiet is the same for a link that no call waits on: found within 1.5 s together with
	// linkAnswer, at one ping a second.
	linkQuiet = time.Second
	// linkIdle closes a link that no call uses any more. By their sizes with headers, a ping and
	// its answer are 200 bytes and the opening of a link 1 kB: an unused link costs as much in
	// this time as opening it again.
	linkIdle = 5 * time.Second
	// acceptedQuiet is linkQuiet of the accepting side: two pings of the other side must be
	// missing.
	acceptedQuiet = 2500 * time.Millisecond
)

// Policies returns when links are pinged and ended.
func Policies() wslink.Policies {
	return wslink.Policies{
		Dialed:   wslink.Policy{Quiet: linkQuiet, Waiting: waitingQuiet, Answer: linkAnswer, Idle: linkIdle},
		Accepted: wslink.Policy{Quiet: acceptedQuiet, Waiting: waitingQuiet, Answer: linkAnswer},
	}
}

// NewLinks returns a set of links for New. The function opens their connections.
func NewLinks(dial wslink.DialFunc, log *zap.Logger) *wslink.Links {
	return wslink.New(wslink.NewClient(dial), Policies(), maxBody, log)
}

// Errors of calls on a link. The call may have had its effect, but for errUnsent.
var (
	// errUnsent reports a link that had ended before the call.
	errUnsent = fmt.Errorf("%w: the link has ended", ErrNoPeer)
	// errDied reports a link that has ended with calls under way.
	errDied = errors.New("relay: the link has died")
	// errOverdue reports an answer that has not come in time.
	errOverdue = errors.New("relay: the answer is overdue")
)

// link is one connection to a peer, for many calls at a time.
type link struct {
	address string
	conn    *wslink.Conn
	next    atomic.Uint64

	mu sync.Mutex
	// waiting leads from a call's ID to where its result is waited for; nil once the
	// link has closed.
	waiting map[uint64]chan result
	// closed is set once the link has ended, retired once no further calls are to use it.
	closed, retired bool
}

// dial opens a link to a peer and begins to read it.
func dial(ctx context.Context, address string, route Route, links *wslink.Links) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := links.Dial(ctx, "ws://"+address+string(route))
	if err != nil {
		return nil, err
	}
	l := &link{address: address, conn: conn, waiting: map[uint64]chan result{}}
	go l.read()
	return l, nil
}

// works reports whether calls can be made on the link.
func (l *link) works() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.closed && !l.retired
}

// retire leaves the link to the calls that are under way on it: the next call opens another one.
func (l *link) retire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retired = true
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
	l.conn.Close()
}

// read hands results to those who wait until the link closes.
func (l *link) read() {
	defer l.close()
	for {
		res, err := l.receive()
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

// receive reads one result.
func (l *link) receive() (result, error) {
	raw, err := l.conn.Read(context.Background())
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

// writeLimit returns how long the writing of a message may take.
func writeLimit(raw []byte) time.Duration {
	return writeTimeout + time.Duration(len(raw))*time.Second/thinnest
}

// send writes a call. A link that can't be written to is closed, and has logged why. The patience of
// the call's caller doesn't end the writing: a message that isn't written whole ends the link, and with
// it all other calls under way there.
func (l *link) send(raw []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), writeLimit(raw))
	defer cancel()
	if err := l.conn.Write(ctx, raw); err != nil {
		l.close()
	}
}

// do makes a call. A link on which an answer is overdue is retired: whether it is dead is for pings
// to say, and other answers may still come.
func (l *link) do(ctx context.Context, c call) (result, error) {
	if err := ctx.Err(); err != nil {
		return result{}, fmt.Errorf("%w: %w", ErrNoPeer, err) // nothing was sent
	}
	c.ID = l.next.Add(1)
	raw, err := calls.Encode(c)
	if err != nil {
		return result{}, err
	}
	answer, ok := l.expect(c.ID)
	if !ok {
		return result{}, errUnsent
	}
	defer l.forget(c.ID)
	release := l.conn.Use()
	defer release()
	go l.send(raw)
	overdue := time.NewTimer(c.Limit + hedgeAfter)
	defer overdue.Stop()
	sent := time.Now()
	select {
	case res, ok := <-answer:
		return l.taken(res, ok)
	case <-overdue.C:
		return l.overdue(answer, errOverdue)
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) || time.Since(sent) >= c.Limit-hedgeAfter {
			return l.overdue(answer, fmt.Errorf("%w: %w", errOverdue, ctx.Err()))
		}
		return result{}, ctx.Err()
	}
}

// taken returns what has come for a call, or that the link has died under it.
func (l *link) taken(res result, ok bool) (result, error) {
	if !ok {
		return result{}, errDied
	}
	if res.Status == 0 {
		l.retire() // this peer's own path fails too; the next call tries another
	}
	return res, nil
}

// overdue takes in that a call's time is over. A host that has stood still finds the call overdue and the link silent at the same moment, or
// before its ping has failed: the call is lost with the link then, and made again on another one. Else the peer lives, though the answer is overdue.
func (l *link) overdue(answer <-chan result, err error) (result, error) {
	if time.Since(l.conn.LastHeard()) >= waitingQuiet+linkAnswer {
		l.conn.EndSilent()
	}
	select {
	case res, ok := <-answer:
		return l.taken(res, ok)
	default:
	}
	if errors.Is(l.conn.Cause(), wslink.ErrSilent) {
		return result{}, errDied
	}
	l.retire()
	return result{}, err
}

// forget drops a call that nobody waits for.
func (l *link) forget(n uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, n)
}
