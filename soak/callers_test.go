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
	minGap, maxGap = 20 * time.Millisecond, 160 * time.Millisecond
	// renewOneIn is how many calls a caller makes on a connection that stays open, on average.
	callsPerConnection = 15
	// tries is how often a caller hands a job in that was refused or got no answer.
	maxTries = 8
	// dialTime bounds the opening of a connection.
	dialTime = time.Second
)

// errNobody reports that no host takes connections.
var errNoHost = errors.New("soak: no host takes connections")

// callers is all callers of a site.
type callerPool struct {
	site     *site
	lastCall atomic.Int64

	mu sync.Mutex
	// jobs are those that were handed in, accepted those that were taken.
	jobs, accepted []string
	// queues leads from a job to its queue.
	queues map[string]standin.Queue
}

// queueOf returns the queue of a job.
func (a *callerPool) queueOf(job string) standin.Queue {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queues[job]
}

// caller is one caller with connections of its own, which it uses until they end.
type caller struct {
	pool   *callerPool
	random *rand.Rand
	client standin.Caller
}

// lifeConn is a connection that knows which life of a host it leads to.
type hostConn struct {
	net.Conn
	incarnation string
	// given is set if the host was ready as far as the balancer knew.
	believedReady bool
}

// dialError is a connection that a life of a host didn't take.
type dialError struct {
	incarnation   string
	believedReady bool
	err           error
}

func (e *dialError) Error() string { return e.incarnation + ": " + e.err.Error() }

// newCaller returns a caller that draws from a seed.
func (a *callerPool) newCaller(seed uint64, n int) *caller {
	c := &caller{pool: a, random: rand.New(rand.NewPCG(seed, uint64(10+n)))}
	c.client = standin.Caller{Deadline: callTime, HTTP: &http.Client{Transport: &http.Transport{DialContext: a.dial}}}
	return c
}

// dial connects to a host that is ready, as the platform's balancer does: to any one when fewer than
// half are.
func (a *callerPool) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	var ready, all []*process
	for _, h := range a.site.hosts {
		p := h.latest()
		if p == nil || p.callersProxy == nil {
			continue
		}
		all = append(all, p)
		if p.ready() {
			ready = append(ready, p)
		}
	}
	enoughReady := 2*len(ready) >= len(a.site.hosts)
	if !enoughReady {
		ready = all
	}
	if len(ready) == 0 {
		return nil, errNoHost
	}
	p := ready[a.site.intN(len(ready))]
	d := net.Dialer{Timeout: dialTime}
	c, err := d.DialContext(ctx, "tcp", p.callersProxy.Addr())
	if err != nil {
		return nil, &dialError{p.incarnation, enoughReady, err}
	}
	return &hostConn{c, p.incarnation, enoughReady}, nil
}

// do makes a call, tells of it and returns its answer. A connection that ends under a call isn't
// replaced by another one in silence.
func (c *caller) do(method, job, key, text string, steps []standin.Step) (int, string) {
	n := int(c.pool.lastCall.Add(1))
	c.pool.site.record(event{Kind: eventSent, Call: n, Method: method, Job: job, Key: key, Text: text, Steps: steps})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	incarnation, sentAt, conns, fresh := "", time.Now(), 0, false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		mu.Lock()
		defer mu.Unlock()
		if conns++; conns > 1 {
			cancel()
			return
		}
		sentAt = time.Now()
		if l, ok := i.Conn.(*hostConn); ok {
			incarnation, fresh = l.incarnation, l.believedReady && !i.Reused
		}
	}})
	var body []byte
	if method == http.MethodPost {
		body = standin.Body(text, steps)
	}
	status, state, err := c.client.Call(ctx, "front", method, c.pool.queueOf(job), job, key, body)
	mu.Lock()
	e := event{Kind: eventAnswered, Call: n, Host: incarnation, Status: status, State: state, Fresh: fresh}
	var refused *dialError
	switch {
	case conns > 0:
		// A connection that ended under the call: the client connects again by itself, and where that fails says nothing of the first host.
		e.Took = time.Since(sentAt)
	case errors.As(err, &refused):
		e.Host, e.Fresh = refused.incarnation, refused.believedReady
	}
	mu.Unlock()
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		e.How = "deadline"
	case err != nil:
		e.How = err.Error()
	}
	c.pool.site.record(e)
	return status, state
}

// run makes calls until the end.
func (c *caller) run(deadline time.Time, name string) {
	for n := 0; time.Now().Before(deadline); n++ {
		c.makeCall(fmt.Sprintf("%s%04x", name, n))
		time.Sleep(minGap + time.Duration(c.random.Int64N(int64(maxGap-minGap))))
	}
}

// step makes one call of some kind.
func (c *caller) makeCall(job string) {
	if c.random.IntN(callsPerConnection) == 0 {
		c.client.HTTP.CloseIdleConnections()
	}
	v := c.pool.site.newestVersion()
	key := configKey(v - 1) // the one that old and new hosts know
	known := c.pool.recentJob(c.random)
	switch n := c.random.IntN(100); {
	case n < 50 || known == "":
		c.submit(job)
	case n < 80:
		c.do(http.MethodGet, known, key, "", nil)
	case n < 86:
		c.do(http.MethodDelete, known, key, "", nil)
	case n < 93:
		c.do(http.MethodGet, known, configKey(v), "", nil)
	default:
		c.do(http.MethodGet, known, configKey(max(0, v-2)), "", nil)
	}
}

// some returns one of the jobs that were handed in, or nothing.
func (a *callerPool) recentJob(r *rand.Rand) string {
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
	text, steps := c.drawJob()
	if c.pool.site.takePoison() {
		text, steps = crashingText, []standin.Step{{Count: 1}}
	}
	q := c.pool.site.pickQueue()
	c.pool.mu.Lock()
	c.pool.queues[job] = q
	c.pool.jobs = append(c.pool.jobs, job)
	c.pool.mu.Unlock()
	givesUp := c.random.IntN(3) == 0
	for range maxTries {
		status, _ := c.do(http.MethodPost, job, configKey(c.pool.site.newestVersion()-1), text, steps)
		if status >= 200 && status < 300 {
			c.pool.mu.Lock()
			c.pool.accepted = append(c.pool.accepted, job)
			c.pool.mu.Unlock()
			return
		}
		if status != 0 && givesUp {
			return
		}
		time.Sleep(maxGap)
	}
}

// draw draws what a job does.
func (c *caller) drawJob() (string, []standin.Step) {
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
	case n < 18 && c.pool.site.entries != nil:
		return "longest", []standin.Step{{Count: count}}
	case n < 19 && len(c.pool.site.queues) > 1:
		return "fails late", []standin.Step{{Count: count}}
	}
	return "short", []standin.Step{{Count: count}}
}

// askAll asks for all jobs until each has ended or isn't known, or the end.
func (c *caller) awaitJobs(deadline time.Time) {
	c.pool.mu.Lock()
	pending := append([]string{}, c.pool.jobs...)
	c.pool.mu.Unlock()
	for len(pending) > 0 && time.Now().Before(deadline) {
		var unfinished []string
		for _, job := range pending {
			status, state := c.do(http.MethodGet, job, configKey(c.pool.site.newestVersion()), "", nil)
			if status != http.StatusGone && state != "completed" && state != "failed" && state != "cancelled" {
				unfinished = append(unfinished, job)
			}
		}
		if pending = unfinished; len(pending) > 0 {
			time.Sleep(maxGap)
		}
	}
}
