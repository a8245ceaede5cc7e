package proof_test

import (
	"errors"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/node"
)

var errUnknownAction = errors.New("unknown action")

// controlHost starts, stops, kills, pauses or resumes a host, or cuts or
// restores its connections. It starts the host first if there is none of that
// name.
func (w *world) controlHost(name id.Host, verb string) error {
	m := w.machines[name]
	if m == nil {
		m = w.startHost(name)
	}
	switch verb {
	case "start":
		w.lastDisruption = w.now
		w.startHost(name)
	case "kill":
		m.up = false
		for k, c := range w.calls {
			c.callerGone = c.callerGone || k.host == name
		}
	case "pause":
		m.paused = true
	case "resume":
		w.resume(m)
	case "stop":
		w.step(m, node.Stop{})
	case "cut-log", "mend-log":
		w.lastDisruption = w.now
		m.logCut = verb == "cut-log"
	case "cut-peers", "mend-peers":
		w.lastDisruption = w.now
		m.peersCut = verb == "cut-peers"
	case "cut-workers", "mend-workers":
		for n := range w.workers {
			m.workersCut[n] = verb == "cut-workers"
		}
	default:
		return errUnknownAction
	}
	return nil
}

// resume lets a paused host continue. The host handles at once all events that
// arrived while it was paused.
func (w *world) resume(m *machine) {
	if !m.paused {
		return
	}
	m.paused = false
	w.lastDisruption, m.resumedAt = w.now, w.now
	queued := m.queued
	m.queued = nil
	for _, ev := range queued {
		if q, ok := ev.(node.RequestArrived); ok {
			// A paused process accepts a request only once it is resumed.
			w.calls[callID{m.name, q.Request.ID}].arrivedAt = w.now
		}
		w.step(m, ev)
	}
}

// controlWorker kills or restarts a worker, makes it silent or answer again, or
// makes it crash all its tasks or run them again.
func (w *world) controlWorker(name id.Worker, verb string) error {
	f := w.workers[name]
	switch verb {
	case "kill":
		w.killWorker(name)
	case "start":
		w.addWorker(name, f.accelerators)
	case "silent", "answer":
		f.silent = verb == "silent"
	case "break", "mend":
		f.SetFaulty(verb == "break")
	default:
		return errUnknownAction
	}
	return nil
}

// setBackend sets the mode of a backend server; see backend.mode.
func (w *world) setBackend(name id.Backend, mode string) {
	b := w.backends[name]
	b.mode = mode
	switch {
	case mode == "leave" && b.leavingSince == 0:
		b.leavingSince = w.now
	case mode == "fine":
		b.leavingSince = 0
	}
}

// setLog sets the mode of the log.
func (w *world) setLog(mode logMode) {
	w.mode = mode
	w.lastDisruption = w.now
}
