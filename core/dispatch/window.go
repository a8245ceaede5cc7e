package dispatch

import (
	"time"

	"curlewsill.org/curlewsill/core/unit"
)

const (
	// slowAnswer is the answer time of a start order from which the owner's
	// host or link counts as overloaded. Workers themselves answer within a few
	// milliseconds.
	slowAnswer = 250 * time.Millisecond
	// minWindow and maxWindow bound the size of the window. The minimum still
	// starts 100 tasks a second with answers that take slowAnswer; the maximum
	// is what a fast host sends in half a second.
	minWindow = 24
	maxWindow = 512
	// initialWindow is the window of a new owner, which doesn't know its host's
	// speed yet. It doubles with each round of quick answers, which takes 10 ms
	// on a fast host.
	initialWindow = 64
	// windowDecrease is the factor by which a slow answer reduces the window;
	// each quick answer increases it by one.
	windowDecrease = 0.8
	// maxAnswerAgeForPending is how old a worker's last answer may be for an
	// unanswered start order to it to count as pending: if the answer is older,
	// the worker may be partitioned, and the order doesn't count.
	maxAnswerAgeForPending = time.Second
	// decreaseInterval is the minimum time between two reductions of the
	// window. Answers that arrive sooner belong to orders that were sent before
	// the last reduction.
	decreaseInterval = 100 * time.Millisecond
)

// window bounds how many starts are pending, which means that they are decided
// and have no verdict yet. Beyond the bound, no order is issued for waiting
// tasks, so that urgent work that arrives later goes first and no order is out
// of date when it is sent. The zero value is not ready for use; call newWindow.
type window struct {
	// size is between minWindow and maxWindow.
	size float64
	// reducedAt is when the size was last reduced.
	reducedAt unit.Instant
	// pendingStarts counts the starts that are pending in this pass.
	pendingStarts int
}

func newWindow() window { return window{size: initialWindow} }

// noteAnswer adapts the window when a worker has started a task on an order of
// this age. Orders without an answer don't change the window, since their
// worker may be partitioned.
func (w *window) noteAnswer(now unit.Instant, age time.Duration) {
	if age < slowAnswer {
		w.size = min(maxWindow, w.size+1)
		return
	}
	if now.Sub(w.reducedAt) >= decreaseInterval {
		w.reducedAt, w.size = now, max(minWindow, w.size*windowDecrease)
	}
}

// available returns how many more starts may be decided. A gang may start as a
// whole whenever any part of the window is free. If it had to wait until all
// its members fit into the window, or until no start is pending, it would never
// start while 20 urgent tasks a second arrive, and neither would the tasks
// behind it in the order.
func (w *window) available(tasks int, gang bool) int {
	free := int(w.size) - w.pendingStarts
	switch {
	case free <= 0:
		return 0
	case gang:
		return tasks
	}
	return min(tasks, free)
}

// startsLeft returns how many of the given number of waiting tasks may be
// started in this pass.
func (d *Dispatcher) startsLeft(tasks int, gang bool) int {
	if !d.policy.BoundStarts {
		return tasks
	}
	return d.window.available(tasks, gang)
}

// pending reports whether a run counts as a pending start. If its order got no
// answer, it counts as long as its worker answers other orders, since the order
// is repeated. An order that is open isn't repeated and doesn't count.
func (r *run) pending(now unit.Instant) bool {
	return r.state == runOrdered || r.state == runStarting && (r.inFlight || r.startOpenUntil == 0 && now.Sub(r.worker.lastAnswerAt) < maxAnswerAgeForPending)
}

// countPending counts the pending starts.
func (d *Dispatcher) countPending(now unit.Instant) {
	d.window.pendingStarts = 0
	for _, w := range d.workersByID {
		for _, r := range w.runs {
			if r.pending(now) {
				d.window.pendingStarts++
			}
		}
	}
}
