// Package intake bounds what all clients of a listener together make a host hold:
// connections with their buffers in the kernel, heads of requests, bodies and
// answers. A limit for one request doesn't bound a crowd.
//
// When a bound is reached, core/budget chooses who gives way. A client whose body is
// being received gets an answer that its request wasn't carried out; others lose
// their connection.
package intake

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/budget"
	"curlewsill.org/curlewsill/core/unit"
)

// ErrRefused reports that a request can't be received or held, because other
// clients hold everything or because its client has to give way to them.
var ErrRefused = errors.New("intake: other clients hold the memory for requests")

const (
	// headFactor is how many times its size a head takes when it is parsed: many
	// small fields take the most.
	headFactor = 16
	// fieldSize and valueSize are the memory that the field of a parsed head takes
	// beside its text, and each of its values.
	fieldSize, valueSize = 96, 32
	// headCopies is how often a parsed head is held while its request is served: it
	// is copied when the request is forwarded.
	headCopies = 2
	// headSlack is how many bytes behind a head may be read together with it.
	headSlack = 4 << 10
	// logInterval is the shortest time between two log lines.
	logInterval = time.Second
)

// Limits are the bounds for all clients together.
type Limits struct {
	// Connections is the greatest number of open connections.
	Connections int
	// Memory is the memory for heads, bodies and answers. BodyShare is the part of
	// it, from 0 to 1, up to which bodies are received; the rest remains for heads
	// and answers.
	Memory    unit.Bytes
	BodyShare float64
	// Header is the greatest size of a request's head.
	Header unit.Bytes
	// Buffers is the memory in the kernel for bytes that the host hasn't read, or
	// that clients haven't received, beside the least buffers of each connection.
	Buffers unit.Bytes
	// Refusal is the complete answer for connections that aren't accepted.
	Refusal string
}

// Usage is what clients hold now, and how often one has been refused since New.
type Usage struct {
	Connections int
	Memory      unit.Bytes
	// PeakConnections and PeakMemory are the greatest values since New.
	PeakConnections int
	PeakMemory      unit.Bytes
	// Evicted counts the clients that had to give way, Refused those for which
	// nothing was left, and HeadsTooLarge the heads over the limit.
	Evicted, Refused, HeadsTooLarge uint64
}

// Intake bounds what the clients of its listeners make the host hold. It is safe for
// concurrent use.
type Intake struct {
	limits Limits
	log    *zap.Logger
	began  time.Time

	mu     sync.Mutex
	budget *budget.Budget[*conn]
	// changed is closed and replaced whenever memory is released, or clients have
	// to give way.
	changed chan struct{}
	// buffers is the memory of the kernel that the connections may take.
	buffers unit.Bytes
	usage   Usage
	// loggedAt is when the last line was logged, logged the usage in it.
	loggedAt time.Time
	logged   Usage
}

// New returns an Intake without listeners.
func New(l Limits, log *zap.Logger) *Intake {
	return &Intake{limits: l, log: log, began: time.Now(), budget: budget.New[*conn](l.Memory, l.Connections), changed: make(chan struct{})}
}

// Usage returns what clients hold.
func (i *Intake) Usage() Usage {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.usageLocked()
}

func (i *Intake) usageLocked() Usage {
	u := i.usage
	u.Connections, u.Memory = i.budget.Clients(), i.budget.Used()
	return u
}

// Attach sets up a server whose listener comes from Listen. It wraps the server's
// handler, and restricts the server to HTTP/1: the streams of HTTP/2 would multiply
// what one connection holds.
func (i *Intake) Attach(s *http.Server) {
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { i.serve(next, w, r) })
	s.MaxHeaderBytes = int(i.limits.Header)
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, unwrap(c))
	}
	s.ConnState = i.connState
	s.Protocols = &http.Protocols{}
	s.Protocols.SetHTTP1(true)
}

// now is the time by which clients are compared.
func (i *Intake) now() unit.Instant { return unit.Instant(time.Since(i.began)) }

// connState follows a connection after a request.
func (i *Intake) connState(nc net.Conn, state http.ConnState) {
	c := unwrap(nc)
	if c == nil {
		return
	}
	switch state {
	case http.StateIdle:
		i.endRequest(c)
	case http.StateHijacked:
		i.remove(c) // a connection of another host, which internal/wslink watches
	}
}

// serve serves a request whose head was received.
func (i *Intake) serve(next http.Handler, w http.ResponseWriter, r *http.Request) {
	c := connOf(r.Context())
	if c == nil {
		next.ServeHTTP(w, r)
		return
	}
	i.beginRequest(c, r)
	next.ServeHTTP(w, r)
	if c.isEvicted() {
		r.Body = http.NoBody // the server would wait for more of the body
	}
}

// beginRequest notes that a head was received whole, and corrects what is reserved
// for it.
func (i *Intake) beginRequest(c *conn, r *http.Request) {
	size := headSize(r) * headCopies
	next := receiving
	if r.ContentLength == 0 {
		next = waiting
	}
	reserved := c.endHead(next)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.budget.Fix(c, next == waiting)
	if reserved > size {
		i.releaseLocked(c, reserved-size)
	}
}

// endRequest releases what a request held.
func (i *Intake) endRequest(c *conn) {
	c.endHead(idle)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.budget.Fix(c, false)
	i.budget.Begin(c, i.now())
	i.releaseLocked(c, i.limits.Memory)
}

// mayLinger reports whether a connection may be kept for a while after a refusal. Its
// memory is released before.
func (i *Intake) mayLinger(c *conn) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.releaseLocked(c, i.limits.Memory)
	return !i.budget.Crowded()
}

// remove ends the accounting of a connection.
func (i *Intake) remove(c *conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.buffers -= c.buffers
	c.buffers = 0
	i.budget.Remove(c)
	i.broadcastLocked()
}

// expect notes how large a body is at most.
func (i *Intake) expect(c *conn, size unit.Bytes) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.budget.Expect(c, size)
}

// await notes that a request was received whole and is carried out. It reports false
// if its client has to give way.
func (i *Intake) await(c *conn) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.budget.GivesWay(c) {
		return false
	}
	c.setPhase(waiting)
	i.budget.Fix(c, true)
	return true
}

// answering notes that bytes of an answer were or will be sent to a client. A client
// that doesn't read its answer has to give way.
func (i *Intake) answering(c *conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.budget.Fix(c, false)
	i.budget.Progress(c, i.now())
}

func (i *Intake) release(c *conn, n unit.Bytes) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.releaseLocked(c, n)
}

func (i *Intake) releaseLocked(c *conn, n unit.Bytes) {
	i.budget.Release(c, n)
	i.broadcastLocked()
}

func (i *Intake) broadcastLocked() {
	close(i.changed)
	i.changed = make(chan struct{})
}

// received notes that n bytes came from a client, and reserves the memory for them
// if they belong to a head.
func (i *Intake) received(c *conn, n int) error {
	head, first := c.addHead(n)
	i.mu.Lock()
	now := i.now()
	i.budget.Progress(c, now)
	if first {
		i.budget.Begin(c, now)
	}
	tooLarge := head > i.limits.Header+headSlack
	if tooLarge {
		i.usage.HeadsTooLarge++
	}
	crowded := i.budget.Crowded()
	i.mu.Unlock()
	if head == 0 || tooLarge && !crowded {
		return nil // a server that isn't crowded answers that the head is too large
	}
	if tooLarge {
		i.logLimited()
		return ErrRefused
	}
	size := unit.Bytes(n) * headFactor
	if err := i.reserve(context.Background(), c, size, 1, false); err != nil {
		return err
	}
	c.addReserved(size)
	return nil
}

// reserve reserves memory for a client. It waits until those that give way have
// released theirs, and if patient is set, until anything is left.
func (i *Intake) reserve(ctx context.Context, c *conn, n unit.Bytes, share float64, patient bool) error {
	for {
		i.mu.Lock()
		victims, err := i.budget.Reserve(c, n, share, i.now())
		changed := i.changed
		i.usage.PeakMemory = max(i.usage.PeakMemory, i.budget.Used())
		wait := errors.Is(err, budget.ErrWait) || patient && errors.Is(err, budget.ErrFull)
		if errors.Is(err, budget.ErrGiveWay) {
			victims = append(victims, c)
		}
		if err != nil && !wait {
			i.usage.Refused++
		}
		i.mu.Unlock()
		i.evict(victims)
		if err == nil {
			return nil
		}
		if !wait {
			i.logLimited()
			return ErrRefused
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ErrRefused
		}
	}
}

// evict makes clients give way. Those of them that wait for memory stop waiting.
func (i *Intake) evict(victims []*conn) {
	n := uint64(0)
	for _, v := range victims {
		if v.evict() {
			n++
		}
	}
	if n == 0 {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.usage.Evicted += n
	i.broadcastLocked()
}

// logLimited logs that clients were refused, at most once in logInterval.
func (i *Intake) logLimited() {
	i.mu.Lock()
	if time.Since(i.loggedAt) < logInterval {
		i.mu.Unlock()
		return
	}
	u, before := i.usageLocked(), i.logged
	i.loggedAt, i.logged = time.Now(), u
	i.mu.Unlock()
	i.log.Warn("clients-limited", zap.Int("connections", u.Connections), zap.Int64("held", int64(u.Memory)),
		zap.Uint64("evicted", u.Evicted-before.Evicted), zap.Uint64("refused", u.Refused-before.Refused),
		zap.Uint64("heads_too_large", u.HeadsTooLarge-before.HeadsTooLarge))
}
