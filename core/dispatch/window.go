package dispatch

import (
	"time"

	"curlewsill.org/curlewsill/core/unit"
)

const (
	// slowStart is how long the answer to an order to start takes at least when the owner's host
	// or link can't keep up: workers answer within a few milliseconds.
	slowStart = 250 * time.Millisecond
	// leastStarts and mostStarts bound the window of starts under way. The least one still
	// starts 100 tasks a second at slowStart; the most is what an able host sends in half a
	// second.
	leastStarts = 24
	mostStarts  = 512
	// firstStarts is the window of a new owner, which doesn't know its host's speed yet; it doubles
	// with each round of quick answers, 10 ms on an able host.
	firstStarts = 64
	// shrink times the window is what is left of it after a slow answer; each quick one lets it
	// grow by one.
	shrink = 0.8
	// answersLately is how old a worker's last answer may be for orders to it without one to
	// count as under way: the others wait for a worker that is cut off.
	answersLately = time.Second
	// shrinkEvery is the least time between two such cuts: the answers that come within it were
	// sent under the same window.
	shrinkEvery = 100 * time.Millisecond
)

// window bounds how many starts are under way: decided, but without a verdict. What goes beyond it
// waits as a task and not as an order, so that urgent work that comes later goes first, and no
// order is old when it leaves. The zero value is not ready; call newWindow.
type window struct {
	// size is between leastStarts and mostStarts.
	size float64
	// cut is when the size was last lowered.
	cut unit.Instant
	// under counts the starts under way in this pass.
	under int
}

func newWindow() window { return window{size: firstStarts} }

// answered takes in that a worker has begun a task on an order of that age. Orders without an
// answer say nothing: their worker may be cut off.
func (w *window) answered(now unit.Instant, age time.Duration) {
	if age < slowStart {
		w.size = min(mostStarts, w.size+1)
		return
	}
	if now.Sub(w.cut) >= shrinkEvery {
		w.cut, w.size = now, max(leastStarts, w.size*shrink)
	}
}

// room returns how many more starts may be decided. A gang begins whole whenever anything of the
// window is free: one that had to wait for all of its room, or for a moment without any start under
// way, never began beside 20 urgent tasks a second, nor did anything behind it.
func (w *window) room(tasks int, gang bool) int {
	free := int(w.size) - w.under
	switch {
	case free <= 0:
		return 0
	case gang:
		return tasks
	}
	return min(tasks, free)
}

// startsLeft returns how many of so many waiting tasks may be started in this pass.
func (d *Dispatcher) startsLeft(tasks int, gang bool) int {
	if !d.policy.BoundStarts {
		return tasks
	}
	return d.window.room(tasks, gang)
}

// pending reports whether a run counts as a start under way. One whose order got no answer counts
// while its worker answers others: the order is repeated.
func (r *run) pending(now unit.Instant) bool {
	return r.state == runOrdered || r.state == runStarting && (r.inFlight || now.Sub(r.worker.answered) < answersLately)
}

// countPending counts the starts under way.
func (d *Dispatcher) countPending(now unit.Instant) {
	d.window.under = 0
	for _, w := range d.order {
		for _, r := range w.runs {
			if r.pending(now) {
				d.window.under++
			}
		}
	}
}
