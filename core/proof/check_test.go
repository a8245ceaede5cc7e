package proof_test

import (
	"time"

	"curlewsill.org/curlewsill/core/gang"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/node"
	"curlewsill.org/curlewsill/core/route"
	"curlewsill.org/curlewsill/core/worker"
)

const (
	// partialFor is how long a gang may run in part: until the owner sees that a
	// member is silent, plus one term.
	partialFor = gang.Grace + gang.Term + 2*time.Second
	// leaveFor is how long a leaving backend server may still be sent requests.
	leaveFor = 3 * time.Second
	// perWorker is the number of accelerators of each worker.
	perWorker = 8
	// inForceFor is how long an accepted configuration may take to be in force.
	inForceFor = 4 * time.Second
)

// started is told that a worker opened a gate.
func (w *world) started(name id.Worker, j id.Job, n id.Lease) {
	k := start{name, j, n}
	w.starts[k]++
	if w.starts[k] > 1 {
		w.violated("worker %s started job %s lease %d twice", name, j, n)
	}
	for s := range w.starts {
		if s.job == j && s.lease != n && w.once(j) {
			w.violated("job %s must not be repeated and was started under leases %d and %d", j, s.lease, n)
		}
	}
	for other, p := range w.parts {
		if other.job == j && other.lease != n && len(p.running) > 0 {
			w.violated("job %s runs under leases %d and %d at a time", j, other.lease, n)
		}
	}
	a := holding{j, n}
	p := w.parts[a]
	if p == nil {
		p = &partial{size: w.membersOf(j), running: map[id.Worker]bool{}, since: w.now}
		w.parts[a] = p
	}
	p.running[name] = true
	w.judgePart(p)
}

// ended is told that a task ended.
func (w *world) ended(name id.Worker, j id.Job, n id.Lease, st worker.TaskState) {
	a := holding{j, n}
	p := w.parts[a]
	if p == nil || !p.running[name] {
		return
	}
	if st == worker.Exited {
		p.exited++
	}
	w.stopPart(p, name)
}

func (w *world) stopPart(p *partial, name id.Worker) {
	delete(p.running, name)
	w.judgePart(p)
}

// judgePart notes since when a gang runs in part. A task that exited by itself still
// counts as part of the whole.
func (w *world) judgePart(p *partial) {
	whole := len(p.running)+p.exited >= p.size
	switch {
	case whole || len(p.running) == 0:
		p.since = 0
	case p.since == 0:
		p.since = w.now
	}
}

// once reports whether a job must not be repeated, as its submission says.
func (w *world) once(j id.Job) bool {
	s, ok := w.submitted[j]
	return ok && s.Once
}

// membersOf returns how many workers the job's gang has, by its agreed block.
func (w *world) membersOf(j id.Job) int {
	if x := w.ref.Jobs[j]; x != nil && x.Block.Size > 0 {
		first, last := x.Block.Start/perWorker, (x.Block.Start+x.Block.Size-1)/perWorker
		return last - first + 1
	}
	return 1
}

// checkParts looks for gangs that have run in part for too long.
func (w *world) checkParts() {
	for a, p := range w.parts {
		if p.since != 0 && w.now.Sub(p.since) > partialFor {
			w.violated("job %s lease %d runs on %d of %d workers since %s",
				a.job, a.lease, len(p.running), p.size, w.now.Sub(p.since))
			p.since = 0
		}
	}
}

// checkHost looks at a host after each of its steps.
func (w *world) checkHost(m *machine) {
	if !m.up || m.core.State() != node.Ready {
		return
	}
	c := m.core.ConfigAt()
	if c < m.config {
		w.violated("%s: the configuration went back from %d to %d", m.name, m.config, c)
	}
	m.config = max(m.config, c)
}

// checkConfig looks for hosts that are ready and late.
func (w *world) checkConfig() {
	for _, m := range w.machines {
		if !m.up || m.paused || m.core.State() != node.Ready || !w.connected(m) {
			continue
		}
		for off, at := range w.accepted {
			if w.now.Sub(at) > inForceFor && m.core.Applied() < off && w.quiet(at) {
				w.violated("%s: configuration %d is not in force after %s", m.name, off, w.now.Sub(at))
				delete(w.accepted, off)
			}
		}
	}
}

// connected reports whether a host can reach the log, or a peer that can.
func (w *world) connected(m *machine) bool {
	if !m.noLog {
		return true
	}
	for _, o := range w.machines {
		if o != m && !m.noPeers && o.up && !o.paused && !o.noLog && !o.noPeers {
			return true
		}
	}
	return false
}

// checkSend looks at an attempt that leaves a host. A host that was frozen learns
// anew for as long as any other.
func (w *world) checkSend(m *machine, b *backend, a route.Attempt) {
	if b != nil && b.left != 0 && w.now.Sub(m.resumed) > leaveFor && w.now.Sub(b.left) > leaveFor {
		w.violated("backend server %s is leaving since %s and was sent request %d", a.Backend, w.now.Sub(b.left), a.Request)
	}
}

// reply takes a final answer.
func (w *world) reply(m *machine, r route.Reply) {
	c := w.calls[callID{m.name, r.Request}]
	if c == nil {
		w.violated("%s: an answer to request %d, which nobody sent", m.name, r.Request)
		return
	}
	c.replies = append(c.replies, r)
	switch {
	case len(c.replies) > 1:
		w.violated("request %s was answered %d times", c.name, len(c.replies))
	case r.Relay != 0 && !c.whole[r.Relay]:
		w.violated("request %s got the answer of attempt %d, which was not whole", c.name, r.Relay)
	case r.Ran == route.RanNo && c.runs > 0:
		w.violated("request %s was refused as not run and ran %d times", c.name, c.runs)
	case r.Relay == 0 && r.Ran == route.RanYes:
		w.violated("request %s was refused as run", c.name)
	}
	if w.now > c.deadline(w) {
		w.violated("request %s was answered %s after its deadline", c.name, w.now.Sub(c.deadline(w)))
	}
}

// checkStopped looks at a host whose planned stop is complete.
func (w *world) checkStopped(m *machine) {
	for k, c := range w.calls {
		if k.host == m.name && len(c.replies) == 0 && !c.gone && c.life == m.life {
			w.violated("%s stopped before request %s was answered", m.name, c.name)
		}
	}
}

// checkSame compares the state of each host with what the log adds up to.
func (w *world) checkSame() {
	want, err := w.ref.Digest()
	if err != nil {
		w.violated("reference state: %v", err)
	}
	for _, m := range w.machines {
		if !m.up || m.core.Applied() != w.ref.Applied {
			continue
		}
		if got, err := m.core.Digest(); err != nil || got != want {
			w.violated("%s: the state differs from the log's: %v", m.name, err)
		}
	}
}
