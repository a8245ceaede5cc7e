// Package host is the shell around the decision core of one entry host.
//
// One goroutine owns the core and is the only one to call it. Every other duty has
// goroutines of its own: reading the log, appending to it, the host list, peers,
// workers, backend servers and callers. Duties hand events to the core over one
// bounded ring and get their work over bounded rings of their own. The shell decides
// nothing: it turns bytes into events and actions into bytes.
package host

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/config"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/node"
	"curlewsill.org/curlewsill/core/peer"
	"curlewsill.org/curlewsill/core/place"
	"curlewsill.org/curlewsill/core/plan"
	"curlewsill.org/curlewsill/core/record"
	"curlewsill.org/curlewsill/core/route"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/core/worker"
	"curlewsill.org/curlewsill/internal/peerlink"
	"curlewsill.org/curlewsill/internal/platform/hosts"
	"curlewsill.org/curlewsill/internal/platform/logs"
	"curlewsill.org/curlewsill/internal/platform/workers"
	"curlewsill.org/curlewsill/internal/ring"
)

const (
	// eventRing and appendRing bound what waits for the core and for the log.
	eventRing  = 4096
	appendRing = 4
	// maxSyncs bounds the worker syncs under way.
	maxSyncs = 512
	// tick is how often the core is told that time passed.
	tick = 50 * time.Millisecond
	// readWait is how long a read of the log waits for news.
	readWait = time.Second
	// appendTimeout bounds one append.
	appendTimeout = 5 * time.Second
	// listEvery is how often the host list is read.
	listEvery = 3 * time.Second
	// retryPause is the mean pause after a failed read of the log.
	retryPause = 300 * time.Millisecond
)

// ErrStopped reports that the host stopped before it could answer.
var ErrStopped = errors.New("host: stopped")

// Calls is the side of the callers and backend servers.
type Calls interface {
	// Send sends a request to a backend server and reports the end as an Ended
	// event. It must not block.
	Send(route.Attempt)
	// Probe asks a backend server whether it takes requests and reports the end
	// as a Probed event. It must not block.
	Probe(context.Context, route.Probe)
	// Reply gives a request its final answer. It must not block.
	Reply(route.Reply)
}

// Platform is the set of clients that a host uses.
type Platform struct {
	Logs    *logs.Client
	Hosts   *hosts.Client
	Workers *workers.Client
}

// Host is one running entry host.
type Host struct {
	log      *zap.Logger
	platform Platform
	links    *peerlink.Links
	calls    Calls
	core     *node.Node

	events  *ring.Ring[node.Event]
	appends *ring.Ring[[]byte]
	syncs   chan struct{}
	// applied is where the log reader goes on; it is told after each step.
	applied chan id.Offset

	// gate guards closed, which is set once the core takes no more requests.
	gate   sync.RWMutex
	closed bool

	mu      sync.Mutex
	ticket  node.Ticket
	waiting map[node.Ticket]chan any
	done    chan struct{}
	faults  func(error)
}

// New returns a host that is not running yet. Faults is told of every violated
// invariant.
func New(self id.Host, log *zap.Logger, p Platform, links *http.Client, tls bool, faults func(error)) *Host {
	h := &Host{
		log: log, platform: p,
		events:  ring.New[node.Event](eventRing),
		appends: ring.New[[]byte](appendRing),
		syncs:   make(chan struct{}, maxSyncs),
		applied: make(chan id.Offset, 1),
		waiting: map[node.Ticket]chan any{},
		done:    make(chan struct{}),
		faults:  faults,
	}
	h.links = peerlink.New(log, links, tls, func(ctx context.Context, f peer.Frame) {
		h.events.Push(ctx, node.Heard{Frame: f})
	})
	// The seed is drawn anew for each life, so that hosts don't choose alike.
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	h.core = node.New(self, id.Incarnation(rng.Uint64()), now(), place.Packing(), rng)
	return h
}

func now() unit.Instant { return unit.At(time.Now()) }

// Links returns the handler for peers' connections.
func (h *Host) Links() *peerlink.Links { return h.links }

// Offer hands an event of a caller to the core. It reports false, and does nothing,
// if the core has too much to do or has stopped.
func (h *Host) Offer(ev node.Event) bool {
	h.gate.RLock()
	defer h.gate.RUnlock()
	return !h.closed && h.events.Offer(ev)
}

// refuseRest closes the host for callers and answers the requests that reached the
// ring after the core had stopped. Nothing of them ran.
func (h *Host) refuseRest() {
	h.gate.Lock()
	h.closed = true
	h.gate.Unlock()
	for {
		select {
		case ev := <-h.events.C():
			if q, ok := ev.(node.Arrived); ok {
				h.calls.Reply(route.Reply{
					Request: q.Request.ID, Code: route.CodeStopping, Ran: route.RanNo, RetryAfter: time.Second,
				})
			}
		default:
			return
		}
	}
}

// Push hands an event to the core that must not be lost.
func (h *Host) Push(ctx context.Context, ev node.Event) bool { return h.events.Push(ctx, ev) }

// Run runs all duties until the planned stop is complete or ctx is done.
func (h *Host) Run(ctx context.Context, calls Calls) {
	h.calls = calls
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer close(h.done)
	var wg sync.WaitGroup
	for _, duty := range []func(context.Context){h.readLog, h.appendLog, h.listHosts} {
		wg.Go(func() { duty(ctx) })
	}
	h.decide(ctx)
	h.refuseRest()
	cancel()
	wg.Wait()
}

// decide is the goroutine of the core.
func (h *Host) decide(ctx context.Context) {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		var ev node.Event
		select {
		case <-ctx.Done():
			return
		case ev = <-h.events.C():
		case <-t.C:
			ev = node.Tick{}
		}
		if h.carryOut(ctx, h.core.Step(now(), ev)) {
			return
		}
	}
}

// carryOut hands each action to its duty. It reports whether the host has stopped.
func (h *Host) carryOut(ctx context.Context, a node.Actions) bool {
	for _, s := range a.Sends {
		h.calls.Send(s)
	}
	for _, p := range a.Probes {
		h.calls.Probe(ctx, p)
	}
	for _, r := range a.Replies {
		h.calls.Reply(r)
	}
	if a.Append != nil && !h.appends.Offer(a.Append) {
		h.log.Warn("append dropped; the core tries it again")
	}
	for _, f := range a.Frames {
		h.links.Send(ctx, f.To, f.Frame)
	}
	for _, s := range a.Syncs {
		h.sync(ctx, s)
	}
	for _, s := range a.Settled {
		h.tell(s.Ticket, s)
	}
	for _, d := range a.Drawn {
		h.tell(d.Ticket, d)
	}
	for _, i := range a.Inspected {
		h.tell(i.Ticket, i)
	}
	for _, err := range a.Faults {
		h.log.Error("invariant violated; the decision was not taken", zap.Error(err))
		h.faults(err)
	}
	select {
	case <-h.applied:
	default:
	}
	h.applied <- h.core.Applied()
	return a.Stopped
}

// readLog is the duty that follows the log.
func (h *Host) readLog(ctx context.Context) {
	var next id.Offset = 1
	for ctx.Err() == nil {
		got, err := h.platform.Logs.Read(ctx, next, readWait)
		if err != nil {
			h.log.Debug("log not readable", zap.Error(err))
			h.Push(ctx, node.LogDown{})
			sleep(ctx, retryPause/2+rand.N(retryPause))
			continue
		}
		h.Push(ctx, node.Records{First: got.First, Raw: got.Records, Head: got.Head})
		if n := len(got.Records); n > 0 {
			next = got.First + id.Offset(n)
		}
		// Peers may have been faster; what they passed on need not be read again.
		select {
		case a := <-h.applied:
			next = max(next, a+1)
		default:
		}
	}
}

// appendLog is the duty that appends.
func (h *Host) appendLog(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case raw := <-h.appends.C():
			c, cancel := context.WithTimeout(ctx, appendTimeout)
			if _, err := h.platform.Logs.Append(c, raw); err != nil {
				h.log.Debug("append failed", zap.Error(err))
				h.Push(ctx, node.AppendFailed{})
			}
			cancel()
		}
	}
}

// listHosts is the duty that reads the host list.
func (h *Host) listHosts(ctx context.Context) {
	for ctx.Err() == nil {
		list, err := h.platform.Hosts.List(ctx)
		if err != nil {
			h.log.Debug("host list not readable", zap.Error(err))
			sleep(ctx, listEvery)
			continue
		}
		ev := node.Hosts{Backends: map[id.Service]map[id.Backend]bool{}}
		at := map[id.Host]string{}
		for _, e := range list.Entry {
			ev.Entry = append(ev.Entry, e.ID)
			at[e.ID] = e.Peers
		}
		for _, s := range config.Sorted(list.Services) {
			ev.Backends[s] = map[id.Backend]bool{}
			for _, b := range list.Services[s] {
				ev.Backends[s][b.ID] = !b.Leaving
			}
		}
		h.links.Addresses(at)
		h.Push(ctx, ev)
		sleep(ctx, listEvery)
	}
}

// sync sends one worker its tasks, without waiting.
func (h *Host) sync(ctx context.Context, s worker.Sync) {
	select {
	case h.syncs <- struct{}{}:
	default:
		h.log.Warn("worker sync dropped: too many under way", zap.String("worker", string(s.Worker)))
		return
	}
	go func() {
		defer func() { <-h.syncs }()
		rep, err := h.platform.Workers.Sync(ctx, s)
		if err != nil {
			h.log.Debug("worker sync failed", zap.Error(err))
			return
		}
		h.Push(ctx, node.Report{Report: rep})
	}()
}

// ask hands a question to the core and waits for the answer.
func (h *Host) ask(ctx context.Context, question func(node.Ticket) node.Event) (any, error) {
	answer := make(chan any, 1)
	h.mu.Lock()
	h.ticket++
	t := h.ticket
	h.waiting[t] = answer
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		delete(h.waiting, t)
		h.mu.Unlock()
	}()
	if !h.Push(ctx, question(t)) {
		return nil, ctx.Err()
	}
	select {
	case a := <-answer:
		return a, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-h.done:
		return nil, ErrStopped
	}
}

func (h *Host) tell(t node.Ticket, a any) {
	h.mu.Lock()
	c := h.waiting[t]
	h.mu.Unlock()
	if c != nil {
		c <- a
	}
}

// Propose writes an entry to the log and returns the verdict. If ctx ends first, it
// is open whether the entry was or will be accepted.
func (h *Host) Propose(ctx context.Context, e record.Entry) (id.Offset, error) {
	a, err := h.ask(ctx, func(t node.Ticket) node.Event { return node.Propose{Ticket: t, Entry: e} })
	if err != nil {
		return 0, err
	}
	s := a.(node.Settled)
	return s.Offset, s.Verdict
}

// Draw returns the plan for changes.
func (h *Host) Draw(ctx context.Context, changes []config.Change) (plan.Plan, error) {
	a, err := h.ask(ctx, func(t node.Ticket) node.Event { return node.Draw{Ticket: t, Changes: changes} })
	if err != nil {
		return plan.Plan{}, err
	}
	d := a.(node.Drawn)
	return d.Plan, d.Err
}

// View returns what the host believes, with the jobs if asked for.
func (h *Host) View(ctx context.Context, jobs bool) (node.View, error) {
	a, err := h.ask(ctx, func(t node.Ticket) node.Event { return node.Inspect{Ticket: t, Jobs: jobs} })
	if err != nil {
		return node.View{}, err
	}
	return a.(node.Inspected).View, nil
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
