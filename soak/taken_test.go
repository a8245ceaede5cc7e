package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"curlewsill.org/curlewsill/platform/standin"
)

// takenStream is the random stream of a seed from which outages are drawn in which
// workers are taken away.
const takenStream = 20

// maxTakenWorkers bounds the workers that an outage takes away, as a part of all.
const maxTakenWorkers = 4

// takenAway is for how long a machine that is taken away has no worker: longer than
// leases are valid after a change of the owner.
const takenAway = 15 * time.Second

var takenKinds = []wideKind{
	// The store is unavailable and all entries expire, as in "lapse". Half-way, a part
	// of the workers ends without a word, and their machines have no worker for a
	// while, also in the platform's list of machines.
	{"taken", []string{"hang", "busy"}, 1, 1500 * time.Millisecond, 4 * time.Second},
}

// takeWorkersAway carries out a fault of that kind.
func (s *site) takeWorkersAway(f fault) {
	var taken []string
	var taking, away sync.WaitGroup
	take := func() {
		time.Sleep(f.duration / 2)
		for i := range max(1, len(s.workers)/maxTakenWorkers) {
			w := s.workers[(f.target+i)%len(s.workers)]
			if incarnation, _ := w.current(); incarnation != nil {
				taken = append(taken, incarnation.ID())
				s.crashing.Add(1)
				away.Go(func() {
					defer s.crashing.Done()
					s.machines.SetWorker(w.machineName(), "")
					w.restartOnce(incarnation, takenAway)
				})
			}
		}
	}
	s.during("store", func() { s.setStoreAway(f.variant, true); taking.Go(take) }, f.duration, func() { s.setStoreAway(f.variant, false) })
	taking.Wait()
	for _, id := range taken {
		s.record(event{Kind: eventTaken, Worker: id})
	}
	away.Wait()
}

// setStoreAway begins or ends an outage of the store in which all entries expire.
func (s *site) setStoreAway(variant string, away bool) {
	if away {
		s.store.SetFault(standin.Fault(variant))
	} else {
		s.store.SetFault(standin.FaultNone)
	}
	s.entries.setStoreAway(away)
}

// machineName returns the name of a worker's machine in the list of machines.
func (w *worker) machineName() string { return fmt.Sprintf("machine-%d", w.number) }

// noteResumed records how long after the end of an outage a task starts again whose
// worker was taken away in it. The first start counts.
func (j *judge) noteResumed(t *taskRecord, at time.Duration) {
	for _, r := range t.runs {
		w := j.workers[r.worker]
		if w == nil || w.outageOverAt == 0 || r.how != "gone" || r.resumed {
			continue
		}
		r.resumed = true
		j.resumed = append(j.resumed, at-w.outageOverAt)
	}
}

// resumedText summarizes for the log how long tasks of workers that were taken away took
// to start again.
func (j *judge) resumedText() string {
	if len(j.resumed) == 0 {
		return "no task of a worker that was taken away started again"
	}
	slices.Sort(j.resumed)
	n := len(j.resumed)
	return fmt.Sprintf("%d tasks of workers that were taken away started again, half of them within %v of the outage's end, the last one %v after it",
		n, j.resumed[n/2].Round(time.Millisecond), j.resumed[n-1].Round(time.Millisecond))
}
