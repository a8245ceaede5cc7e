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
const replaceAfter = 300 * time.Millisecond

// inject carries out a plan and returns when all faults have ended.
func (s *site) inject(p plan) {
	var all sync.WaitGroup
	for _, f := range p.faults {
		time.Sleep(time.Until(s.began.Add(f.at)))
		all.Go(func() { s.strike(f) })
	}
	all.Wait()
	s.heal()
}

// strike carries out one fault and returns when it has ended.
func (s *site) strike(f fault) {
	if s.strikeWide(f) {
		return
	}
	switch f.what {
	case "store":
		s.during("store", func() { s.store.SetFault(standin.Fault(f.how)) }, f.lasts, func() { s.store.SetFault(standin.FaultNone) })
	case "config":
		s.configure()
	case "worker", "wire", "crash", "drain":
		s.strikeWorker(f)
	case "all":
		s.strikeAll(f)
	default:
		if h := s.hosts[f.target%len(s.hosts)]; h.present() != nil {
			s.strikeHost(h, h.present(), f)
		}
	}
}

// during tells of a fault of a target, begins it, waits and ends it.
func (s *site) during(target string, begin func(), lasts time.Duration, end func()) {
	s.tell(event{Kind: began, What: target})
	begin()
	time.Sleep(lasts)
	end()
	s.tell(event{Kind: ceased, What: target})
}

// strikeHost carries out a fault of a host. Its process may end under it.
func (s *site) strikeHost(h *host, p *process, f fault) {
	if p == nil || p.callers == nil {
		return
	}
	switch f.what {
	case "term", "kill":
		s.renew(h, p, f)
	case "pause":
		s.during(p.life, func() { _ = p.signal(syscall.SIGSTOP) }, f.lasts, func() { _ = p.signal(syscall.SIGCONT) })
	case "hup":
		text := settingsText(h.name, p.path.Addr(), []string{"debug", "warn"}[f.target%2])
		if f.how == "damaged" {
			text = "[host]\nid"
		}
		if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
			s.t.Error(err)
		}
		_ = p.signal(syscall.SIGHUP)
	case "path":
		s.strikeProxy(p.life, p.path, f)
	case "link":
		s.strikeProxy(p.life, s.link(p.peers), f)
	case "callers":
		s.strikeProxy(p.life, p.callers, f)
	}
}

// renew ends a host's process and starts another one, maybe on a machine of another name. Only one
// does so at a time.
func (s *site) renew(h *host, p *process, f fault) {
	p.mu.Lock()
	under := !p.termAt.IsZero() || p.killed
	if f.what == "kill" {
		p.killed = true
	}
	p.mu.Unlock()
	if under {
		if f.what == "kill" {
			s.tell(event{Kind: began, What: p.life}) // a stop that is broken off isn't a planned one
		}
		_ = p.signal(map[string]syscall.Signal{"term": syscall.SIGTERM, "kill": syscall.SIGKILL}[f.what])
		return // whoever ended it first starts the next one
	}
	if f.what == "kill" {
		s.tell(event{Kind: began, What: p.life})
	}
	if err := p.end(f.what == "term"); err != nil {
		s.t.Error(err)
	}
	time.Sleep(replaceAfter + f.lasts/4)
	if f.how == "replace" {
		h.name = s.life("spare")
	}
	h.start()
}

// strikeProxy makes a proxy of a target misbehave.
func (s *site) strikeProxy(target string, p *faultproxy.Proxy, f fault) {
	var begin func()
	end := func() {}
	switch f.how {
	case "delay":
		begin, end = func() { p.SetDelay(proxyDelay) }, func() { p.SetDelay(0) }
	case "reset":
		begin = func() { p.Reset() }
	case "silence":
		begin = func() { p.Silence(directions[directionNames[f.target%len(directionNames)]]) }
	default:
		begin, end = func() { p.Cut(directions[f.how]) }, p.Heal
	}
	s.during(target, begin, f.lasts, end)
}

// directions are the ways that can be cut.
var (
	directions = map[string]faultproxy.Direction{
		"to-target": faultproxy.ToTarget, "from-target": faultproxy.FromTarget, "both": faultproxy.Both,
	}
	directionNames = []string{"to-target", "from-target", "both"}
)

// strikeWorker carries out a fault of a worker.
func (s *site) strikeWorker(f fault) {
	w := s.workers[f.target%len(s.workers)]
	life, front := w.present()
	if life == nil {
		return
	}
	switch f.what {
	case "worker":
		set := func() { life.SetFault(standin.Fault(f.how)) }
		if f.how == "sick" {
			set = func() { life.SetSick(true) }
		}
		s.during("workers", set, f.lasts, func() { life.SetFault(standin.FaultNone); life.SetSick(false) })
	case "wire":
		s.strikeProxy("workers", front, f)
	case "crash":
		listed := time.Duration(0)
		if f.how == "later" {
			listed = f.lasts
		}
		s.during("workers", func() { w.replace(life, listed) }, 0, func() {})
	case "drain":
		w.sayDraining(life)
		time.Sleep(patience*drainTime + f.lasts)
		w.replace(life, 0)
	}
}

// sayDraining lets a life of a worker say that it is about to leave.
func (w *worker) sayDraining(life *standin.Worker) {
	s := w.site
	if s.entries == nil {
		s.store.PutDraining(life.ID(), w.address, drainTime)
	} else {
		s.entries.change(life, func(e *entry) { e.Draining, e.Left = true, drainTime })
	}
	s.tell(event{Kind: draining, Worker: life.LifeName()})
}

// replace ends a life of a worker unless that was done before, and begins another.
func (w *worker) replace(life *standin.Worker, listed time.Duration) {
	w.mu.Lock()
	mine := !w.gone && w.life == life
	w.gone = w.gone || mine
	w.mu.Unlock()
	if mine {
		w.leave(listed)
	}
}

// strikeAll strikes all hosts or workers at once.
func (s *site) strikeAll(f fault) {
	var all sync.WaitGroup
	one := fault{what: f.how, how: "both", lasts: f.lasts}
	if f.how == "kill" {
		one.how = "restart"
	}
	for i := range max(len(s.hosts), len(s.workers)) {
		one.target = i
		if i < len(s.hosts) && f.how != "wire" || i < len(s.workers) && f.how == "wire" {
			all.Go(func() { s.strike(one) })
		}
	}
	all.Wait()
}

// heal sees to it that every host has a process that runs and every worker a life.
func (s *site) heal() {
	s.store.SetFault(standin.FaultNone)
	for n := range siteDomains {
		s.openDomain(domainName(n))
	}
	if len(s.queues) > 1 {
		s.mu.Lock()
		s.calm = true
		s.mu.Unlock()
		s.configure()
	}
	for _, h := range s.hosts {
		if p := h.present(); p != nil {
			_ = p.signal(syscall.SIGCONT)
			continue
		}
		h.start()
	}
}

// pick returns one of some things by chance.
func pick[T any](r *rand.Rand, of []T) T { return of[r.IntN(len(of))] }
