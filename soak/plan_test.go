package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"curlewsill.org/curlewsill/platform/standin"
)

// fault is something that happens to a part of the site at a time and lasts.
type fault struct {
	at, duration time.Duration
	// what names the kind, as the table of injections does; how is a variant of it.
	kind, variant string
	// target is the number of a host or worker.
	target int
}

func (f fault) String() string {
	return fmt.Sprintf("%v %s %s %d for %v", f.at.Round(time.Millisecond), f.kind, f.variant, f.target, f.duration.Round(time.Millisecond))
}

// plan is all that a seed draws before a run: the site and its faults, in order of time.
type plan struct {
	seed           uint64
	hosts, workers int
	// lasts is how long faults are begun.
	faultPhase time.Duration
	faults     []fault
	// wide is set for a plan of drawWide, machines if entries of workers name their machine.
	wide, namesMachines bool
	// queues are those that configurations may hold, the first of them always; services those that have
	// workers.
	queues   []standin.Queue
	services []string
}

// String tells the plan, one fault a line.
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
	// calmBefore is how long a site has before the first fault, so that jobs run.
	warmUpTime = 2 * time.Second
	// leastFault and mostFault bound how long a fault lasts, mostStoreFault one of the store for all:
	// a store that is away most of the time shows nothing but refusals.
	minFault, maxFault = 200 * time.Millisecond, 5 * time.Second
	maxStoreFault      = 2500 * time.Millisecond
	// meanPause is the mean pause between the beginnings of two faults on three hosts; with more hosts
	// it is shorter, down to leastPause.
	meanPause, minPause = 900 * time.Millisecond, 150 * time.Millisecond
	// seriesShare is the share of faults that are followed by another one on the same target.
	sameTargetShare = 0.3
	// plannedOneIn is how many seeds there are to one that plans changes of operators only: beside other
	// faults most calls count as disturbed, and little is asked of a planned stop.
	plannedOneIn = 4
)

// kinds are the kinds of faults with their variants and weights.
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

// drawPlan draws a plan. The same seed and size give the same plan.
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

// drawFault draws a kind of fault by weight, its variant, target and length.
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

// onHost reports whether a kind of fault strikes a host.
func targetsHost(kind string) bool {
	return slices.Contains([]string{"term", "kill", "pause", "hup", "path", "link", "callers"}, kind)
}

// isPlanned reports whether a kind is a change that operators make.
func isOperatorChange(kind string) bool {
	return slices.Contains([]string{"term", "hup", "config", "drain"}, kind)
}
