package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"curlewsill.org/curlewsill/platform/standin"
)

// fault is a fault that is injected at a time and lasts for a duration.
type fault struct {
	at, duration time.Duration
	// kind is the kind of the fault, as in faultKinds or wideTables; variant is
	// one of the kind's variants.
	kind, variant string
	// target is the index of a host or worker.
	target int
}

func (f fault) String() string {
	return fmt.Sprintf("%v %s %s %d for %v", f.at.Round(time.Millisecond), f.kind, f.variant, f.target, f.duration.Round(time.Millisecond))
}

// plan is all that a seed determines before a run: the size of the site, and
// the faults in order of time.
type plan struct {
	seed           uint64
	hosts, workers int
	// faultPhase is the time after the start of the run during which faults
	// begin.
	faultPhase time.Duration
	faults     []fault
	// wide is set for a plan of drawWide. namesMachines is set if the entries
	// of workers name their machine.
	wide, namesMachines bool
	// queues are the queues that a version of the configuration may contain.
	// Every version contains the first one. services are the services that have
	// workers.
	queues   []standin.Queue
	services []string
}

// String returns the plan as text, one fault a line.
func (p plan) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d hosts, %d workers, faults for %v\n", p.seed, p.hosts, p.workers, p.faultPhase)
	if p.wide {
		fmt.Fprintf(&b, "wide, machines named: %v, queues %v\n", p.namesMachines, p.queues)
	}
	for _, f := range p.faults {
		fmt.Fprintln(&b, f)
	}
	return b.String()
}

const (
	// warmUpTime is the time before the first fault, in which the first jobs
	// start.
	warmUpTime = 2 * time.Second
	// minFault and maxFault bound the duration of a fault. maxStoreFault bounds
	// the duration of faults that affect the whole site: if the store is
	// unavailable most of the time, hosts refuse almost all calls.
	minFault, maxFault = 200 * time.Millisecond, 5 * time.Second
	maxStoreFault      = 2500 * time.Millisecond
	// meanPause is the mean pause between the beginnings of two faults on three
	// hosts. With more hosts it is shorter, down to minPause.
	meanPause, minPause = 900 * time.Millisecond, 150 * time.Millisecond
	// sameTargetShare is the probability that a host fault that follows another
	// host fault is given the same host.
	sameTargetShare = 0.3
	// plannedOneIn is the N for which one in N seeds has only changes that
	// operators plan. In the other seeds most calls are made near a fault,
	// where the judge allows them to be cut, so that planned stops are hardly
	// checked.
	plannedOneIn = 4
)

// faultKinds are the kinds of faults of all plans, with their variants and
// weights:
//   - "term", "kill" and "pause" send a signal to a host's process; "hup" changes
//     its settings and reloads them
//   - "path", "link" and "callers" affect a host's connections to the store, from
//     its peers and from callers
//   - "store" and "worker" affect how the store or a worker answers, and "wire"
//     the connections from hosts to a worker
//   - "crash" and "drain" end an incarnation of a worker, "drain" after it has
//     announced draining
//   - "config" writes a new version of the configuration
//   - "all" injects the fault that its variant names into all hosts, or for "wire"
//     into the connections to all workers
var faultKinds = []struct {
	kind     string
	variants []string
	weight   int
}{
	{"term", []string{"restart", "replace"}, 3},
	{"kill", []string{"restart", "replace"}, 3},
	{"pause", []string{"stop"}, 3},
	{"hup", []string{"changed", "damaged"}, 1},
	{"path", []string{"to-target", "from-target", "both", "delay", "reset", "silence"}, 4},
	{"link", []string{"to-target", "from-target", "both", "delay", "reset", "silence"}, 3},
	{"callers", []string{"delay", "reset", "silence", "both"}, 2},
	{"store", []string{"busy", "lost", "slow", "silent", "hang", "mute", "late"}, 3},
	{"worker", []string{"busy", "lost", "slow", "silent", "hang", "mute", "late", "sick"}, 3},
	{"wire", []string{"to-target", "from-target", "both", "delay", "reset", "silence"}, 2},
	{"crash", []string{"soon", "later"}, 2},
	{"drain", []string{"listed"}, 1},
	{"config", []string{"keys"}, 2},
	{"all", []string{"kill", "path", "wire"}, 1},
}

// drawPlan returns the plan of a seed. The same seed and size give the same
// plan.
func drawPlan(seed uint64, hosts, workers int, faultPhase time.Duration) plan {
	r := rand.New(rand.NewPCG(seed, 1))
	p := plan{
		seed: seed, hosts: hosts, workers: workers, faultPhase: faultPhase,
		queues: []standin.Queue{standin.SiteQueue()}, services: []string{standin.SiteService},
	}
	mean := max(minPause, meanPause*3/time.Duration(hosts))
	last := fault{}
	planned := seed%plannedOneIn == 0
	for at := warmUpTime; at < faultPhase; at += time.Duration(r.ExpFloat64() * float64(mean)) {
		f := drawFault(r, hosts, workers, planned)
		f.at = at
		if last.kind != "" && r.Float64() < sameTargetShare && targetsHost(last.kind) && targetsHost(f.kind) {
			f.target = last.target
		}
		p.faults = append(p.faults, f)
		last = f
	}
	return p
}

// drawFault returns a fault whose kind is drawn by weight, with a random
// variant, target and duration.
func drawFault(r *rand.Rand, hosts, workers int, planned bool) fault {
	sum := 0
	for _, k := range faultKinds {
		if !planned || isOperatorChange(k.kind) {
			sum += k.weight
		}
	}
	n := r.IntN(sum)
	for _, k := range faultKinds {
		if planned && !isOperatorChange(k.kind) {
			continue
		}
		if n -= k.weight; n >= 0 {
			continue
		}
		f := fault{kind: k.kind, variant: k.variants[r.IntN(len(k.variants))], target: r.IntN(hosts)}
		maxDuration := maxFault
		if k.kind == "store" || k.kind == "all" {
			maxDuration = maxStoreFault
		}
		if !targetsHost(k.kind) {
			f.target = r.IntN(workers)
		}
		f.duration = minFault + time.Duration(r.Float64()*float64(maxDuration-minFault))
		return f
	}
	return fault{}
}

// targetsHost reports whether faults of a kind hit a host.
func targetsHost(kind string) bool {
	return slices.Contains([]string{"term", "kill", "pause", "hup", "path", "link", "callers"}, kind)
}

// isOperatorChange reports whether a kind is a change that operators plan.
func isOperatorChange(kind string) bool {
	return slices.Contains([]string{"term", "hup", "config", "drain"}, kind)
}
