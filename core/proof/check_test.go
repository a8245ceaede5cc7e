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
	// maxPartial is how long a gang may run on only some of its workers: the
	// grace period after which the owner stops renewing the leases of a gang
	// with a silent member, one lease term, and a margin of 2 s.
	maxPartial = gang.Grace + gang.Term + 2*time.Second
	// maxLeavingDelay is how long hosts may still send requests to a backend
	// server after it began to leave.
	maxLeavingDelay = 3 * time.Second
	// workerAccelerators is the number of accelerators of each worker.
	workerAccelerators = 8
	// maxConfigDelay is how long an accepted configuration may take to be in
	// force on each host.
	maxConfigDelay = 4 * time.Second
)

// taskStarted records that a worker opened the gate of a task. It reports a
// violation if the task was started before, if the job must not be repeated and
// was started under another lease, or if it still runs under another lease.
func (w *world) taskStarted(name id.Worker, j id.Job, n id.Lease) {
	t := taskKey{name, j, n}
	w.startCounts[t]++
	if w.startCounts[t] > 1 {
		w.reportViolation("worker %s started job %s lease %d twice", name, j, n)
	}
	for s := range w.startCounts {
		if s.job == j && s.lease != n && w.once(j) {
			w.reportViolation("job %s must not be repeated and was started under leases %d and %d", j, s.lease, n)
		}
	}
	for other, g := range w.gangs {
		if other.job == j && other.lease != n && len(g.running) > 0 {
			w.reportViolation("job %s runs under leases %d and %d at a time", j, other.lease, n)
		}
	}
	k := gangKey{j, n}
	g := w.gangs[k]
	if g == nil {
		g = &gangWatch{size: w.gangSize(j), running: map[id.Worker]bool{}, partialSince: w.now}
		w.gangs[k] = g
	}
	g.running[name] = true
	w.updatePartial(g)
}

// taskEnded records that a task ended.
func (w *world) taskEnded(name id.Worker, j id.Job, n id.Lease, st worker.TaskState) {
	k := gangKey{j, n}
	g := w.gangs[k]
	if g == nil || !g.running[name] {
		return
	}
	if st == worker.Exited {
		g.exited++
	}
	w.memberStopped(g, name)
}

// memberStopped records that a gang no longer runs on a worker.
func (w *world) memberStopped(g *gangWatch, name id.Worker) {
	delete(g.running, name)
	w.updatePartial(g)
}

// updatePartial records since when a gang runs on only some of its workers. A
// member whose task exited by itself doesn't make the gang partial.
func (w *world) updatePartial(g *gangWatch) {
	complete := len(g.running)+g.exited >= g.size
	switch {
	case complete || len(g.running) == 0:
		g.partialSince = 0
	case g.partialSince == 0:
		g.partialSince = w.now
	}
}

// once reports whether a job must not be repeated, according to its submission.
func (w *world) once(j id.Job) bool {
	s, ok := w.submitted[j]
	return ok && s.AtMostOnce
}

// gangSize returns the number of workers in the job's gang, which follows from
// the block in the reference state.
func (w *world) gangSize(j id.Job) int {
	if x := w.ref.Jobs[j]; x != nil && x.Block.Size > 0 {
		first, last := x.Block.Start/workerAccelerators, (x.Block.Start+x.Block.Size-1)/workerAccelerators
		return last - first + 1
	}
	return 1
}

// checkPartialGangs reports gangs that have run on only some of their workers for
// longer than maxPartial.
func (w *world) checkPartialGangs() {
	for k, g := range w.gangs {
		if g.partialSince != 0 && w.now.Sub(g.partialSince) > maxPartial {
			w.reportViolation("job %s lease %d has run on %d of %d workers for %s",
				k.job, k.lease, len(g.running), g.size, w.now.Sub(g.partialSince))
			g.partialSince = 0
		}
	}
}

// checkHostConfig reports a ready host whose configuration offset decreased. It
// is called after each step of the host.
func (w *world) checkHostConfig(m *machine) {
	if !m.up || m.core.State() != node.Ready {
		return
	}
	c := m.core.ConfigAt()
	if c < m.highestConfig {
		w.reportViolation("%s: the configuration offset decreased from %d to %d", m.name, m.highestConfig, c)
	}
	m.highestConfig = max(m.highestConfig, c)
}

// checkConfigDelay reports ready hosts that have not applied an accepted
// configuration within maxConfigDelay, although they are connected and nothing
// has disrupted the log since it was accepted.
func (w *world) checkConfigDelay() {
	for _, m := range w.machines {
		if !m.up || m.paused || m.core.State() != node.Ready || !w.connected(m) {
			continue
		}
		for off, at := range w.acceptedAt {
			if w.now.Sub(at) > maxConfigDelay && m.core.Applied() < off && w.logReadableSince(at) {
				w.reportViolation("%s: configuration %d is not in force after %s", m.name, off, w.now.Sub(at))
				delete(w.acceptedAt, off)
			}
		}
	}
}

// connected reports whether a host can reach the log, or a peer that can.
func (w *world) connected(m *machine) bool {
	if !m.logCut {
		return true
	}
	for _, o := range w.machines {
		if o != m && !m.peersCut && o.up && !o.paused && !o.logCut && !o.peersCut {
			return true
		}
	}
	return false
}

// checkSend reports an attempt that a host sends to a backend server that has
// been leaving for longer than maxLeavingDelay. A host that was paused may take
// maxLeavingDelay again after it was resumed, because it has to learn which
// backend servers are leaving.
func (w *world) checkSend(m *machine, b *backend, a route.Attempt) {
	if b != nil && b.leavingSince != 0 && w.now.Sub(m.resumedAt) > maxLeavingDelay && w.now.Sub(b.leavingSince) > maxLeavingDelay {
		w.reportViolation("backend server %s has been leaving for %s and was sent request %d", a.Backend, w.now.Sub(b.leavingSince), a.Request)
	}
}

// reply records the final answer to a request and checks it: a request gets one
// answer, by its deadline; a relayed answer is complete; and a refusal never
// has Ran yes, and has Ran no only if the request didn't run.
func (w *world) reply(m *machine, r route.Reply) {
	c := w.calls[callID{m.name, r.Request}]
	if c == nil {
		w.reportViolation("%s: answer to request %d, which no caller sent", m.name, r.Request)
		return
	}
	c.replies = append(c.replies, r)
	switch {
	case len(c.replies) > 1:
		w.reportViolation("request %s was answered %d times", c.name, len(c.replies))
	case r.RelayedAttempt != 0 && !c.completeAttempts[r.RelayedAttempt]:
		w.reportViolation("request %s got the answer of attempt %d, which was not complete", c.name, r.RelayedAttempt)
	case r.Ran == route.RanNo && c.runs > 0:
		w.reportViolation("request %s was refused as not run but ran %d times", c.name, c.runs)
	case r.RelayedAttempt == 0 && r.Ran == route.RanYes:
		w.reportViolation("request %s was refused as one that did run", c.name)
	}
	if w.now > c.deadline(w) {
		w.reportViolation("request %s was answered %s after its deadline", c.name, w.now.Sub(c.deadline(w)))
	}
}

// checkStopped reports requests that a host left unanswered when it completed its
// planned stop.
func (w *world) checkStopped(m *machine) {
	for k, c := range w.calls {
		if k.host == m.name && len(c.replies) == 0 && !c.callerGone && c.incarnation == m.incarnation {
			w.reportViolation("%s stopped before request %s was answered", m.name, c.name)
		}
	}
}

// checkStates compares the state of each host that has applied the whole log with
// the reference state.
func (w *world) checkStates() {
	want, err := w.ref.Digest()
	if err != nil {
		w.reportViolation("reference state: %v", err)
	}
	for _, m := range w.machines {
		if !m.up || m.core.Applied() != w.ref.Applied {
			continue
		}
		if got, err := m.core.Digest(); err != nil || got != want {
			w.reportViolation("%s: the state differs from the reference state: %v", m.name, err)
		}
	}
}
