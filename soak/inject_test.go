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

// proxyDelay is the time by which a proxy with a delay fault holds back each
// chunk of bytes.
const proxyDelay = 120 * time.Millisecond

// restartDelay is the shortest time between two processes of a host.
const restartDelay = 300 * time.Millisecond

// inject carries out a plan and returns when all faults have ended.
func (s *site) inject(p plan) {
	var wg sync.WaitGroup
	for _, f := range p.faults {
		time.Sleep(time.Until(s.startedAt.Add(f.at)))
		wg.Go(func() { s.injectFault(f) })
	}
	wg.Wait()
	s.clearFaults()
}

// injectFault carries out one fault and returns when it has ended.
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

// during records the beginning of a fault of a target, begins it, waits, ends
// it and records its end.
func (s *site) during(target string, begin func(), duration time.Duration, end func()) {
	s.record(event{Kind: eventFaultBegan, What: target})
	begin()
	time.Sleep(duration)
	end()
	s.record(event{Kind: eventFaultEnded, What: target})
}

// injectHostFault carries out a fault of a host. The host's process may end
// meanwhile by another fault.
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
		text := settingsText(h.name, p.storeProxy.Addr(), s.machinesAddress, []string{"debug", "warn"}[f.target%2])
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

// replaceProcess ends a host's process and starts the next one, under a new
// machine name if the variant is "replace". If several faults end the same
// process, only the first one starts the next.
func (s *site) replaceProcess(h *host, p *process, f fault) {
	p.mu.Lock()
	ending := !p.termAt.IsZero() || p.killed
	if f.kind == "kill" {
		p.killed = true
	}
	p.mu.Unlock()
	if ending {
		if f.kind == "kill" {
			s.record(event{Kind: eventFaultBegan, What: p.incarnation}) // a planned stop that SIGKILL cuts short counts as a fault of the host
		}
		_ = p.signal(map[string]syscall.Signal{"term": syscall.SIGTERM, "kill": syscall.SIGKILL}[f.kind])
		return // the fault that ended the process first starts the next one
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

// injectProxyFault makes a proxy fail as the fault's variant says. The fault is
// recorded for the target: the incarnation of a host, or "workers".
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

// directions are the directions in which a proxy can be cut, by their names in
// the variants of faults.
var (
	directions = map[string]faultproxy.Direction{
		"to-target": faultproxy.ToTarget, "from-target": faultproxy.FromTarget, "both": faultproxy.Both,
	}
	directionNames = []string{"to-target", "from-target", "both"}
)

// injectWorkerFault carries out a fault of a worker.
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
			set = func() { incarnation.SetFailing(true) }
		}
		s.during("workers", set, f.duration, func() { incarnation.SetFault(standin.FaultNone); incarnation.SetFailing(false) })
	case "wire":
		s.injectProxyFault("workers", proxy, f)
	case "crash":
		listedFor := time.Duration(0)
		if f.variant == "later" {
			listedFor = f.duration
		}
		s.during("workers", func() { w.restartOnce(incarnation, listedFor) }, 0, func() {})
	case "drain":
		w.announceDraining(incarnation)
		time.Sleep(toleranceFactor*drainTime + f.duration)
		w.restartOnce(incarnation, 0)
	}
}

// announceDraining writes to the store's list that an incarnation of a worker
// drains.
func (w *worker) announceDraining(incarnation *standin.Worker) {
	s := w.site
	if s.entries == nil {
		s.store.PutDraining(incarnation.ID(), w.address, drainTime)
	} else {
		s.entries.change(incarnation, func(e *entry) { e.Draining, e.Remaining = true, drainTime })
	}
	s.record(event{Kind: eventDraining, Worker: incarnation.IncarnationID()})
}

// restartOnce ends an incarnation of a worker and starts the next one, as
// restart does, unless the incarnation has already ended.
func (w *worker) restartOnce(incarnation *standin.Worker, listedFor time.Duration) {
	w.mu.Lock()
	current := !w.ended && w.incarnation == incarnation
	w.ended = w.ended || current
	w.mu.Unlock()
	if current {
		w.restart(listedFor)
	}
}

// injectEverywhere injects a fault of the kind f.variant into all hosts at once,
// or for "wire" into the connections to all workers.
func (s *site) injectEverywhere(f fault) {
	var wg sync.WaitGroup
	single := fault{kind: f.variant, variant: "both", duration: f.duration}
	if f.variant == "kill" {
		single.variant = "restart"
	}
	for i := range max(len(s.hosts), len(s.workers)) {
		single.target = i
		if i < len(s.hosts) && f.variant != "wire" || i < len(s.workers) && f.variant == "wire" {
			wg.Go(func() { s.injectFault(single) })
		}
	}
	wg.Wait()
}

// clearFaults ends the fault of the store and all evacuations. It configures
// all queues again, resumes suspended hosts, and starts the hosts that don't
// run.
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

// pick returns a random element of a slice.
func pick[T any](r *rand.Rand, of []T) T { return of[r.IntN(len(of))] }
