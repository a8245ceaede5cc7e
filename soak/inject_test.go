package soak

import (
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	"curlewsill.org/curlewsill/internal/faultproxy"
	"curlewsill.org/curlewsill/platform/standin"
)

// proxyDelay is how long a delayed proxy holds each chunk.
const proxyDelay = 120 * time.Millisecond

// replaceAfter is how long a host is away between two processes.
const restartDelay = 300 * time.Millisecond

// inject carries out a plan and returns when all faults have ended.
func (s *site) inject(p plan) {
	var all sync.WaitGroup
	for _, f := range p.faults {
		time.Sleep(time.Until(s.startedAt.Add(f.at)))
		all.Go(func() { s.injectFault(f) })
	}
	all.Wait()
	s.clearFaults()
}

// strike carries out one fault and returns when it has ended.
func (s *site) injectFault(f fault) {
	if s.injectWideFault(f) {
		return
	}
	switch f.kind {
	case "store":
		s.during("store", func() { s.store.SetFault(standin.Fault(f.variant)) }, f.duration, func() { s.store.SetFault(standin.FaultNone) })
	case "config":
		s.configure()
	case "worker", "wire", "crash", "drain":
		s.injectWorkerFault(f)
	case "all":
		s.injectEverywhere(f)
	default:
		if h := s.hosts[f.target%len(s.hosts)]; h.running() != nil {
			s.injectHostFault(h, h.running(), f)
		}
	}
}

// during tells of a fault of a target, begins it, waits and ends it.
func (s *site) during(target string, begin func(), duration time.Duration, end func()) {
	s.record(event{Kind: eventFaultBegan, What: target})
	begin()
	time.Sleep(duration)
	end()
	s.record(event{Kind: eventFaultEnded, What: target})
}

// strikeHost carries out a fault of a host. Its process may end under it.
func (s *site) injectHostFault(h *host, p *process, f fault) {
	if p == nil || p.callersProxy == nil {
		return
	}
	switch f.kind {
	case "term", "kill":
		s.replaceProcess(h, p, f)
	case "pause":
		s.during(p.incarnation, func() { _ = p.signal(syscall.SIGSTOP) }, f.duration, func() { _ = p.signal(syscall.SIGCONT) })
	case "hup":
		text := settingsText(h.name, p.storeProxy.Addr(), []string{"debug", "warn"}[f.target%2])
		if f.variant == "damaged" {
			text = "[host]\nid"
		}
		if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
			s.t.Error(err)
		}
		_ = p.signal(syscall.SIGHUP)
	case "path":
		s.injectProxyFault(p.incarnation, p.storeProxy, f)
	case "link":
		s.injectProxyFault(p.incarnation, s.peerProxy(p.peersAddr), f)
	case "callers":
		s.injectProxyFault(p.incarnation, p.callersProxy, f)
	}
}

// renew ends a host's process and starts another one, maybe on a machine of another name. Only one
// does so at a time.
func (s *site) replaceProcess(h *host, p *process, f fault) {
	p.mu.Lock()
	ending := !p.termAt.IsZero() || p.killed
	if f.kind == "kill" {
		p.killed = true
	}
	p.mu.Unlock()
	if ending {
		if f.kind == "kill" {
			s.record(event{Kind: eventFaultBegan, What: p.incarnation}) // a stop that is broken off isn't a planned one
		}
		_ = p.signal(map[string]syscall.Signal{"term": syscall.SIGTERM, "kill": syscall.SIGKILL}[f.kind])
		return // whoever ended it first starts the next one
	}
	if f.kind == "kill" {
		s.record(event{Kind: eventFaultBegan, What: p.incarnation})
	}
	if err := p.stop(f.kind == "term"); err != nil {
		s.t.Error(err)
	}
	time.Sleep(restartDelay + f.duration/4)
	if f.variant == "replace" {
		h.name = s.uniqueName("spare")
	}
	h.start()
}

// strikeProxy makes a proxy of a target misbehave.
func (s *site) injectProxyFault(target string, p *faultproxy.Proxy, f fault) {
	var begin func()
	end := func() {}
	switch f.variant {
	case "delay":
		begin, end = func() { p.SetDelay(proxyDelay) }, func() { p.SetDelay(0) }
	case "reset":
		begin = func() { p.Reset() }
	case "silence":
		begin = func() { p.Silence(directions[directionNames[f.target%len(directionNames)]]) }
	default:
		begin, end = func() { p.Cut(directions[f.variant]) }, p.Heal
	}
	s.during(target, begin, f.duration, end)
}

// directions are the ways that can be cut.
var (
	directions = map[string]faultproxy.Direction{
		"to-target": faultproxy.ToTarget, "from-target": faultproxy.FromTarget, "both": faultproxy.Both,
	}
	directionNames = []string{"to-target", "from-target", "both"}
)

// strikeWorker carries out a fault of a worker.
func (s *site) injectWorkerFault(f fault) {
	w := s.workers[f.target%len(s.workers)]
	incarnation, proxy := w.current()
	if incarnation == nil {
		return
	}
	switch f.kind {
	case "worker":
		set := func() { incarnation.SetFault(standin.Fault(f.variant)) }
		if f.variant == "sick" {
			set = func() { incarnation.SetSick(true) }
		}
		s.during("workers", set, f.duration, func() { incarnation.SetFault(standin.FaultNone); incarnation.SetSick(false) })
	case "wire":
		s.injectProxyFault("workers", proxy, f)
	case "crash":
		listed := time.Duration(0)
		if f.variant == "later" {
			listed = f.duration
		}
		s.during("workers", func() { w.restartOnce(incarnation, listed) }, 0, func() {})
	case "drain":
		w.announceDraining(incarnation)
		time.Sleep(toleranceFactor*drainTime + f.duration)
		w.restartOnce(incarnation, 0)
	}
}

// sayDraining lets a life of a worker say that it is about to leave.
func (w *worker) announceDraining(incarnation *standin.Worker) {
	s := w.site
	if s.entries == nil {
		s.store.PutDraining(incarnation.ID(), w.address, drainTime)
	} else {
		s.entries.change(incarnation, func(e *entry) { e.Draining, e.Left = true, drainTime })
	}
	s.record(event{Kind: eventDraining, Worker: incarnation.LifeName()})
}

// replace ends a life of a worker unless that was done before, and begins another.
func (w *worker) restartOnce(incarnation *standin.Worker, listed time.Duration) {
	w.mu.Lock()
	current := !w.ended && w.incarnation == incarnation
	w.ended = w.ended || current
	w.mu.Unlock()
	if current {
		w.restart(listed)
	}
}

// strikeAll strikes all hosts or workers at once.
func (s *site) injectEverywhere(f fault) {
	var all sync.WaitGroup
	one := fault{kind: f.variant, variant: "both", duration: f.duration}
	if f.variant == "kill" {
		one.variant = "restart"
	}
	for i := range max(len(s.hosts), len(s.workers)) {
		one.target = i
		if i < len(s.hosts) && f.variant != "wire" || i < len(s.workers) && f.variant == "wire" {
			all.Go(func() { s.injectFault(one) })
		}
	}
	all.Wait()
}

// heal sees to it that every host has a process that runs and every worker a life.
func (s *site) clearFaults() {
	s.store.SetFault(standin.FaultNone)
	for n := range domainCount {
		s.openDomain(domainName(n))
	}
	if len(s.queues) > 1 {
		s.mu.Lock()
		s.faultsOver = true
		s.mu.Unlock()
		s.configure()
	}
	for _, h := range s.hosts {
		if p := h.running(); p != nil {
			_ = p.signal(syscall.SIGCONT)
			continue
		}
		h.start()
	}
}

// pick returns one of some things by chance.
func pick[T any](r *rand.Rand, of []T) T { return of[r.IntN(len(of))] }
