package soak

import (
	"fmt"
	"time"

	"curlewsill.org/curlewsill/platform/standin"
)

// evacuationBound is how long after an evacuation the hosts' settings let a task start in its failure domain. It leaves a third
// of a second beyond two reads of the operator's log.
const evacuationBound = 2 * time.Second

// siteDomains is how many failure domains the workers of a wide plan are in.
const domainCount = 3

var evacuationKinds = []wideKind{
	// The operator evacuates a failure domain, or all, and takes that back: at once with another version of the configuration, after having
	// said it twice, or after a record that can't be read.
	{"evacuate", []string{"one", "all", "twice", "damaged"}, 1, 3 * time.Second, 9 * time.Second},
}

// domain returns the failure domain of a worker.
func (w *worker) domain() string { return domainName(w.number) }

func domainName(n int) string { return fmt.Sprintf("d%d", n%domainCount) }

// evacuate evacuates failure domains for a while.
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

// openDomain takes an evacuation back.
func (s *site) openDomain(name string) {
	s.record(event{Kind: eventOpened, What: name})
	s.store.Open(name)
}

// seen hands on what a worker tells, with the failure domain in which it starts tasks.
func (w *worker) recordSeen(x standin.Seen) {
	s := w.site
	if x.Kind == standin.SeenStart && x.Text == crashingText {
		s.crashing.Go(func() { s.crashIncarnation(x.Worker) })
	}
	e := event{At: x.At.Sub(s.startedAt), Kind: eventKind(x.Kind), Worker: x.Worker, Task: x.Task, Run: x.Run, Text: x.Text, Epoch: x.Epoch, How: x.How}
	if x.Kind == standin.SeenStart && s.entries != nil {
		e.What = w.domain()
	}
	s.record(e)
}

// seeEvacuation takes in that a failure domain was evacuated, or that this was taken back.
func (j *judge) handleEvacuation(e event) {
	_, known := j.evacuatedAt[e.What]
	switch {
	case string(e.Kind) == string(eventOpened):
		delete(j.evacuatedAt, e.What)
	case !known:
		j.evacuatedAt[e.What] = e.At
	}
}

// checkDomain checks that a start is not in an evacuated domain. Orders to workers may be late while their connections are in trouble.
func (j *judge) checkDomain(e event) {
	since, evacuated := j.evacuatedAt[e.What]
	if evacuated && e.At > since+toleranceFactor*evacuationBound && j.undisturbed(e.At, "workers") {
		j.fail("evacuated", "%s was started in %s, which was evacuated %v before", e.Task, e.What, e.At-since)
	}
}
