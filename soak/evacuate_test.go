package soak

import (
	"fmt"
	"time"

	"curlewsill.org/curlewsill/platform/standin"
)

// evacuationBound is a setting of the hosts. It bounds how long after the
// evacuation of a failure domain a task may still start there. Two reads of the
// operator's log fit into it, with a third of a second to spare.
const evacuationBound = 2 * time.Second

// domainCount is the number of failure domains over which the workers of a wide
// plan are spread.
const domainCount = 3

var evacuationKinds = []wideKind{
	// The operator evacuates one failure domain, or all, and ends the
	// evacuation later. Right after the evacuation, a new version of the
	// configuration is written. Halfway through the fault, the variant "twice"
	// evacuates the domain again, and "damaged" writes a record for the domain
	// that can't be parsed.
	{"evacuate", []string{"one", "all", "twice", "damaged"}, 1, 3 * time.Second, 9 * time.Second},
}

// domain returns the failure domain of a worker.
func (w *worker) domain() string { return domainName(w.number) }

func domainName(n int) string { return fmt.Sprintf("d%d", n%domainCount) }

// evacuate evacuates failure domains for the duration of the fault.
func (s *site) evacuate(f fault) {
	names := []string{domainName(f.target)}
	if f.variant == "all" {
		names = []string{domainName(0), domainName(1), domainName(2)}
	}
	for _, n := range names {
		s.store.Evacuate(n)
		s.record(event{Kind: eventEvacuated, What: n})
	}
	s.configure()
	time.Sleep(f.duration / 2)
	switch f.variant {
	case "twice":
		s.store.Evacuate(names[0])
	case "damaged":
		s.store.Put("keyed.op", "evacuate/"+names[0], []byte("{"))
	}
	time.Sleep(f.duration / 2)
	for _, n := range names {
		s.openDomain(n)
	}
}

// openDomain ends the evacuation of a failure domain.
func (s *site) openDomain(name string) {
	s.record(event{Kind: eventOpened, What: name})
	s.store.EndEvacuation(name)
}

// recordEvent records an event that a worker observes. For the start of a task
// in a wide plan, it also records the worker's failure domain. If the task's
// payload is crashingText, it has the worker crash shortly after the start.
func (w *worker) recordEvent(x standin.WorkerEvent) {
	s := w.site
	if x.Kind == standin.EventStart && x.Payload == crashingText {
		s.crashing.Go(func() { s.crashIncarnation(x.Worker) })
	}
	e := event{At: x.At.Sub(s.startedAt), Kind: eventKind(x.Kind), Worker: x.Worker, Task: x.Task, Run: x.Run, Text: x.Payload, Epoch: x.Epoch, How: x.Outcome}
	if x.Kind == standin.EventStart && s.entries != nil {
		e.What = w.domain()
	}
	s.record(e)
}

// handleEvacuation records that the operator evacuated a failure domain, or
// ended its evacuation.
func (j *judge) handleEvacuation(e event) {
	_, known := j.evacuatedAt[e.What]
	switch {
	case string(e.Kind) == string(eventOpened):
		delete(j.evacuatedAt, e.What)
	case !known:
		j.evacuatedAt[e.What] = e.At
	}
}

// checkDomain checks that a task isn't started in an evacuated failure domain.
// It checks nothing while the workers or their connections have a fault, or had
// one within recoveryTime, since start orders may then arrive late.
func (j *judge) checkDomain(e event) {
	since, evacuated := j.evacuatedAt[e.What]
	if evacuated && e.At > since+toleranceFactor*evacuationBound && j.undisturbed(e.At, "workers") {
		j.fail("evacuated", "task %s was started in failure domain %s, which was evacuated %v earlier", e.Task, e.What, e.At-since)
	}
}
