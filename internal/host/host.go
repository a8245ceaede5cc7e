// Package host runs the decision core of one entry host and does its I/O.
//
// One goroutine owns the core and is the only one to call it. Each I/O task has
// goroutines of its own: reading the log, appending to it, reading the host
// list, and talking to peers, workers, backend servers and callers. They pass
// events to the core through one bounded queue and get their work through
// bounded queues of their own. This package decides nothing: it turns received
// bytes into events, and the core's actions into I/O.
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
	// eventQueueSize bounds the events queued for the core, appendQueueSize the
	// records queued for the log.
	eventQueueSize  = 4096
	appendQueueSize = 4
	// maxSyncsInFlight bounds the worker syncs in flight.
	maxSyncsInFlight = 512
	// tickInterval is how often the core gets a Tick event.
	tickInterval = 50 * time.Millisecond
	// readWait is how long a read of the log waits for new records.
	readWait = time.Second
	// appendTimeout bounds one append.
	appendTimeout = 5 * time.Second
	// listInterval is the pause between two reads of the host list.
	listInterval = 3 * time.Second
	// retryPause is the mean pause before a failed read of the log is retried.
	retryPause = 300 * time.Millisecond
)

// ErrStopped reports that the host stopped before it could answer.
var ErrStopped = errors.New("host: stopped")

// Calls sends the core's actions to callers and backend servers.
type Calls interface {
	// Send sends a request to a backend server and reports the result as a
	// node.AttemptEnded event. It must not block.
	Send(route.Attempt)
	// Probe asks a backend server whether it accepts requests and reports the
	// result as a node.ProbeEnded event. It must not block.
	Probe(context.Context, route.Probe)
	// Reply sends the final answer to a request. It must not block.
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

	events    *ring.Ring[node.Event]
	appends   *ring.Ring[[]byte]
	syncSlots chan struct{}
	// applied holds the offset of the newest applied record. runCore updates it
	// after each step. The log reader skips records up to this offset.
	applied chan id.Offset

	// closeMu guards closed, which is set once the core has stopped, so that
	// no more requests are queued for it.
	closeMu sync.RWMutex
	closed  bool

	mu      sync.Mutex
	ticket  node.Ticket
	waiting map[node.Ticket]chan any
	done    chan struct{}
	onFault func(error)
}

// New returns a host that is not running yet. onFault is called for each
// violated invariant.
func New(self id.Host, log *zap.Logger, p Platform, links *http.Client, tls bool, onFault func(error)) *Host {
	h := &Host{
		log: log, platform: p,
		events:    ring.New[node.Event](eventQueueSize),
		appends:   ring.New[[]byte](appendQueueSize),
		syncSlots: make(chan struct{}, maxSyncsInFlight),
		applied:   make(chan id.Offset, 1),
		waiting:   map[node.Ticket]chan any{},
		done:      make(chan struct{}),
		onFault:   onFault,
	}
	h.links = peerlink.New(log, links, tls, func(ctx context.Context, f peer.Frame) {
		h.events.Push(ctx, node.FrameReceived{Frame: f})
	})
	// Each incarnation uses a random seed, so that hosts don't make the same
	// choices.
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	h.core = node.New(self, id.Incarnation(rng.Uint64()), now(), place.Packing(), rng)
	return h
}

func now() unit.Instant { return unit.At(time.Now()) }

// Links returns the handler for peers' connections.
func (h *Host) Links() *peerlink.Links { return h.links }

// Offer queues a caller's event for the core. It reports false, and does
// nothing, if the queue is full or the core has stopped.
func (h *Host) Offer(ev node.Event) bool {
	h.closeMu.RLock()
	defer h.closeMu.RUnlock()
	return !h.closed && h.events.Offer(ev)
}

// refuseQueued closes the host to callers and refuses the requests that were
// queued after the core had stopped. None of them ran.
func (h *Host) refuseQueued() {
	h.closeMu.Lock()
	h.closed = true
	h.closeMu.Unlock()
	for {
		select {
		case ev := <-h.events.C():
			if q, ok := ev.(node.RequestArrived); ok {
				h.calls.Reply(route.Reply{
					Request: q.Request.ID, Code: route.CodeStopping, Ran: route.RanNo, RetryAfter: time.Second,
				})
			}
		default:
			return
		}
	}
}

// Push queues an event for the core that must not be lost. If the queue is
// full, Push waits for room until ctx is done. It reports whether the event was
// queued.
func (h *Host) Push(ctx context.Context, ev node.Event) bool { return h.events.Push(ctx, ev) }

// Run runs the host until the planned stop is complete or ctx is done.
func (h *Host) Run(ctx context.Context, calls Calls) {
	h.calls = calls
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer close(h.done)
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){h.readLog, h.appendLog, h.listHosts} {
		wg.Go(func() { loop(ctx) })
	}
	h.runCore(ctx)
	h.refuseQueued()
	cancel()
	wg.Wait()
}

// runCore steps the core with each event until the host has stopped. It runs in
// the only goroutine that calls the core.
func (h *Host) runCore(ctx context.Context) {
	t := time.NewTicker(tickInterval)
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
		if h.execute(ctx, h.core.Step(now(), ev)) {
			return
		}
	}
}

// execute passes each action on to the goroutines that perform it. It reports
// whether the host has stopped.
func (h *Host) execute(ctx context.Context, a node.Actions) bool {
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
	for _, s := range a.Verdicts {
		h.deliver(s.Ticket, s)
	}
	for _, d := range a.Plans {
		h.deliver(d.Ticket, d)
	}
	for _, i := range a.Views {
		h.deliver(i.Ticket, i)
	}
	for _, err := range a.Faults {
		h.log.Error("invariant violated; the decision was not taken", zap.Error(err))
		h.onFault(err)
	}
	select {
	case <-h.applied:
	default:
	}
	h.applied <- h.core.Applied()
	return a.Stopped
}

// readLog follows the log and passes its records to the core.
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
		// Records that peers have already delivered need not be read again.
		select {
		case a := <-h.applied:
			next = max(next, a+1)
		default:
		}
	}
}

// appendLog appends the queued records to the log.
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

// listHosts reads the host list periodically.
func (h *Host) listHosts(ctx context.Context) {
	for ctx.Err() == nil {
		list, err := h.platform.Hosts.List(ctx)
		if err != nil {
			h.log.Debug("host list not readable", zap.Error(err))
			sleep(ctx, listInterval)
			continue
		}
		ev := node.HostList{Backends: map[id.Service]map[id.Backend]bool{}}
		at := map[id.Host]string{}
		for _, e := range list.Entry {
			ev.EntryHosts = append(ev.EntryHosts, e.ID)
			at[e.ID] = e.Peers
		}
		for _, s := range config.SortedKeys(list.Services) {
			ev.Backends[s] = map[id.Backend]bool{}
			for _, b := range list.Services[s] {
				ev.Backends[s][b.ID] = !b.Leaving
			}
		}
		h.links.SetAddresses(at)
		h.Push(ctx, ev)
		sleep(ctx, listInterval)
	}
}

// sync sends a worker its tasks, asynchronously.
func (h *Host) sync(ctx context.Context, s worker.Sync) {
	select {
	case h.syncSlots <- struct{}{}:
	default:
		h.log.Warn("worker sync dropped: too many under way", zap.String("worker", string(s.Worker)))
		return
	}
	go func() {
		defer func() { <-h.syncSlots }()
		rep, err := h.platform.Workers.Sync(ctx, s)
		if err != nil {
			h.log.Debug("worker sync failed", zap.Error(err))
			return
		}
		h.Push(ctx, node.Report{Report: rep})
	}()
}

// query passes a query to the core and waits for the answer.
func (h *Host) query(ctx context.Context, question func(node.Ticket) node.Event) (any, error) {
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

func (h *Host) deliver(t node.Ticket, a any) {
	h.mu.Lock()
	c := h.waiting[t]
	h.mu.Unlock()
	if c != nil {
		c <- a
	}
}

// Propose writes an entry to the log and returns the verdict. If ctx ends
// before the verdict is known, the entry may have been accepted, or may be
// accepted later.
func (h *Host) Propose(ctx context.Context, e record.Entry) (id.Offset, error) {
	a, err := h.query(ctx, func(t node.Ticket) node.Event { return node.Propose{Ticket: t, Entry: e} })
	if err != nil {
		return 0, err
	}
	s := a.(node.EntryVerdict)
	return s.Offset, s.Verdict
}

// PlanChanges returns the plan for the changes.
func (h *Host) PlanChanges(ctx context.Context, changes []config.Change) (plan.Plan, error) {
	a, err := h.query(ctx, func(t node.Ticket) node.Event { return node.PlanRequest{Ticket: t, Changes: changes} })
	if err != nil {
		return plan.Plan{}, err
	}
	d := a.(node.PlanResult)
	return d.Plan, d.Err
}

// View returns the host's view of the state, with the jobs if requested.
func (h *Host) View(ctx context.Context, jobs bool) (node.View, error) {
	a, err := h.query(ctx, func(t node.Ticket) node.Event { return node.ViewRequest{Ticket: t, Jobs: jobs} })
	if err != nil {
		return node.View{}, err
	}
	return a.(node.ViewResult).View, nil
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
