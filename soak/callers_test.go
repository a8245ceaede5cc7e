package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"curlewsill.org/curlewsill/platform/standin"
)

const (
	// callTime is how long a caller waits for an answer.
	callTime = 3 * time.Second
	// leastGap and mostGap bound the pause between two calls of a caller.
	leastGap, mostGap = 20 * time.Millisecond, 160 * time.Millisecond
	// renewOneIn is how many calls a caller makes on a connection that stays open, on average.
	renewOneIn = 15
	// tries is how often a caller hands a job in that was refused or got no answer.
	tries = 8
	// dialTime bounds the opening of a connection.
	dialTime = time.Second
)

// errNobody reports that no host takes connections.
var errNobody = errors.New("soak: no host takes connections")

// callers is all callers of a site.
type callers struct {
	site *site
	call atomic.Int64

	mu sync.Mutex
	// jobs are those that were handed in, accepted those that were taken.
	jobs, accepted []string
	// queues leads from a job to its queue.
	queues map[string]standin.Queue
}

// queueOf returns the queue of a job.
func (a *callers) queueOf(job string) standin.Queue {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queues[job]
}

// caller is one caller with connections of its own, which it uses until they end.
type caller struct {
	all    *callers
	random *rand.Rand
	calls  standin.Caller
}

// lifeConn is a connection that knows which life of a host it leads to.
type lifeConn struct {
	net.Conn
	life string
	// given is set if the host was ready as far as the balancer knew.
	given bool
}

// dialError is a connection that a life of a host didn't take.
type dialError struct {
	life  string
	given bool
	err   error
}

func (e *dialError) Error() string { return e.life + ": " + e.err.Error() }

// newCaller returns a caller that draws from a seed.
func (a *callers) newCaller(seed uint64, n int) *caller {
	c := &caller{all: a, random: rand.New(rand.NewPCG(seed, uint64(10+n)))}
	c.calls = standin.Caller{Deadline: callTime, HTTP: &http.Client{Transport: &http.Transport{DialContext: a.dial}}}
	return c
}

// dial connects to a host that is ready, as the platform's balancer does: to any one when fewer than
// half are.
func (a *callers) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	var ready, all []*process
	for _, h := range a.site.hosts {
		p := h.newest()
		if p == nil || p.callers == nil {
			continue
		}
		all = append(all, p)
		if p.ready() {
			ready = append(ready, p)
		}
	}
	given := 2*len(ready) >= len(a.site.hosts)
	if !given {
		ready = all
	}
	if len(ready) == 0 {
		return nil, errNobody
	}
	p := ready[a.site.chance(len(ready))]
	d := net.Dialer{Timeout: dialTime}
	c, err := d.DialContext(ctx, "tcp", p.callers.Addr())
	if err != nil {
		return nil, &dialError{p.life, given, err}
	}
	return &lifeConn{c, p.life, given}, nil
}

// do makes a call, tells of it and returns its answer. A connection that ends under a call isn't
// replaced by another one in silence.
func (c *caller) do(method, job, key, text string, steps []standin.Step) (int, string) {
	n := int(c.all.call.Add(1))
	c.all.site.tell(event{Kind: sent, Call: n, Method: method, Job: job, Key: key, Text: text, Steps: steps})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	life, left, conns, fresh := "", time.Now(), 0, false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		mu.Lock()
		defer mu.Unlock()
		if conns++; conns > 1 {
			cancel()
			return
		}
		left = time.Now()
		if l, ok := i.Conn.(*lifeConn); ok {
			life, fresh = l.life, l.given && !i.Reused
		}
	}})
	var body []byte
	if method == http.MethodPost {
		body = standin.Body(text, steps)
	}
	status, state, err := c.calls.Call(ctx, "front", method, c.all.queueOf(job), job, key, body)
	mu.Lock()
	e := event{Kind: answered, Call: n, Host: life, Status: status, State: state, Fresh: fresh}
	var refused *dialError
	switch {
	case conns > 0:
		// A connection that ended under the call: the client connects again by itself, and where that fails says nothing of the first host.
		e.Took = time.Since(left)
	case errors.As(err, &refused):
		e.Host, e.Fresh = refused.life, refused.given
	}
	mu.Unlock()
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		e.How = "deadline"
	case err != nil:
		e.How = err.Error()
	}
	c.all.site.tell(e)
	return status, state
}

// run makes calls until the end.
func (c *caller) run(end time.Time, name string) {
	for n := 0; time.Now().Before(end); n++ {
		c.step(fmt.Sprintf("%s%04x", name, n))
		time.Sleep(leastGap + time.Duration(c.random.Int64N(int64(mostGap-leastGap))))
	}
}

// step makes one call of some kind.
func (c *caller) step(job string) {
	if c.random.IntN(renewOneIn) == 0 {
		c.calls.HTTP.CloseIdleConnections()
	}
	v := c.all.site.newest()
	key := keyOf(v - 1) // the one that old and new hosts know
	known := c.all.some(c.random)
	switch n := c.random.IntN(100); {
	case n < 50 || known == "":
		c.submit(job)
	case n < 80:
		c.do(http.MethodGet, known, key, "", nil)
	case n < 86:
		c.do(http.MethodDelete, known, key, "", nil)
	case n < 93:
		c.do(http.MethodGet, known, keyOf(v), "", nil)
	default:
		c.do(http.MethodGet, known, keyOf(max(0, v-2)), "", nil)
	}
}

// some returns one of the jobs that were handed in, or nothing.
func (a *callers) some(r *rand.Rand) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.jobs) == 0 {
		return ""
	}
	recent := a.jobs[max(0, len(a.jobs)-60):]
	return pick(r, recent)
}

// submit hands a job in until it is taken; a third of the callers leave after a refusal.
func (c *caller) submit(job string) {
	text, steps := c.draw()
	if c.all.site.poison() {
		text, steps = crashes, []standin.Step{{Count: 1}}
	}
	q := c.all.site.queue()
	c.all.mu.Lock()
	c.all.queues[job] = q
	c.all.jobs = append(c.all.jobs, job)
	c.all.mu.Unlock()
	leaves := c.random.IntN(3) == 0
	for range tries {
		status, _ := c.do(http.MethodPost, job, keyOf(c.all.site.newest()-1), text, steps)
		if status >= 200 && status < 300 {
			c.all.mu.Lock()
			c.all.accepted = append(c.all.accepted, job)
			c.all.mu.Unlock()
			return
		}
		if status != 0 && leaves {
			return
		}
		time.Sleep(mostGap)
	}
}

// draw draws what a job does.
func (c *caller) draw() (string, []standin.Step) {
	count := 1 + c.random.IntN(3)
	switch n := c.random.IntN(20); {
	case n < 3:
		return "gang", []standin.Step{{Count: gangMembers, Gang: true}, {Count: gangMembers, Gang: true, After: []int{0}}}
	case n < 7:
		return "short", []standin.Step{{Count: count}, {Count: 2, After: []int{0}}, {Count: 1, After: []int{0, 1}}}
	case n < 9:
		return "long", []standin.Step{{Count: count}}
	case n < 11:
		return "flaky", []standin.Step{{Count: count}, {Count: 1, After: []int{0}}}
	case n < 12:
		return "fails", []standin.Step{{Count: count}}
	case n < 16:
		return "middle", []standin.Step{{Count: count}}
	case n < 18 && c.all.site.entries != nil:
		return "longest", []standin.Step{{Count: count}}
	case n < 19 && len(c.all.site.queues) > 1:
		return "fails late", []standin.Step{{Count: count}}
	}
	return "short", []standin.Step{{Count: count}}
}

// askAll asks for all jobs until each has ended or isn't known, or the end.
func (c *caller) askAll(end time.Time) {
	c.all.mu.Lock()
	left := append([]string{}, c.all.jobs...)
	c.all.mu.Unlock()
	for len(left) > 0 && time.Now().Before(end) {
		var still []string
		for _, job := range left {
			status, state := c.do(http.MethodGet, job, keyOf(c.all.site.newest()), "", nil)
			if status != http.StatusGone && state != "completed" && state != "failed" && state != "cancelled" {
				still = append(still, job)
			}
		}
		if left = still; len(left) > 0 {
			time.Sleep(mostGap)
		}
	}
}
