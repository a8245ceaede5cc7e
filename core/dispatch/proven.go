package dispatch

import (
	"time"

	"curlewsill.org/curlewsill/core/unit"
)

// Some workers fail all that they start, and nothing else about them tells. Those on which something has begun lately and gone on are sound, so
// that a task that has failed goes there first: it has few attempts, and a wide gang meets such a worker again with each of them. Of 20 members
// one does so in three of four tries while a fifteenth of the workers is of that kind; one such gang was given up 0.6 s after it had begun.

const (
	// provenAfter is how long a run must have gone on to show that its worker is sound: those that fail all they start do so within 60 ms, and the
	// end is known some 10 ms later.
	provenAfter = 300 * time.Millisecond
	// provenFor is for how long that counts from the run's start. On the users' sites each worker begins something each second or two.
	provenFor = 3 * time.Second
	// unprovenWeight is added to the leftover of a placement on any other worker; it outweighs all but failures there.
	unprovenWeight = 9
)

// doubt is added to the leftover of a placement on a worker for tasks of a step of which some have failed, unless the worker is known to be sound.
func (d *Dispatcher) doubt(now unit.Instant, s *stepState, w *worker) float64 {
	if !d.policy.RetryOnProven || len(s.failures) == 0 || w.proven(now) {
		return 0
	}
	return unprovenWeight
}

// proven reports whether something has begun on the worker lately and gone on.
func (w *worker) proven(now unit.Instant) bool {
	recent := now.Add(-provenFor)
	if w.soundAt > recent {
		return true
	}
	for _, r := range w.runs {
		if r.state == runRunning && r.started > recent && now.Sub(r.started) >= provenAfter {
			return true
		}
	}
	return false
}

// noteSound notes that a run which has ended with success had begun on its worker.
func (r *run) noteSound() { r.worker.soundAt = max(r.worker.soundAt, r.started) }
