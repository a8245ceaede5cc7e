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
	at, lasts time.Duration
	// what names the kind, as the table of injections does; how is a variant of it.
	what, how string
	// target is the number of a host or worker.
	target int
}

func (f fault) String() string {
	return fmt.Sprintf("%v %s %s %d for %v", f.at.Round(time.Millisecond), f.what, f.how, f.target, f.lasts.Round(time.Millisecond))
}

// plan is all that a seed draws before a run: the site and its faults, in order of time.
type plan struct {
	seed           uint64
	hosts, workers int
	// lasts is how long faults are begun.
	lasts  time.Duration
	faults []fault
	// wide is set for a plan of drawWide, machines if entries of workers name their machine.
	wide, machines bool
	// queues are those that configurations may hold, the first of them always; services those that have
	// workers.
	queues   []standin.Queue
	services []string
}

// String tells the plan, one fault a line.
func (p plan) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d hosts, %d workers, faults for %v\n", p.seed, p.hosts, p.workers, p.lasts)
	if p.wide {
		fmt.Fprintf(&b, "wide, machines named: %v, queues %v\n", p.machines, p.queues)
	}
	for _, f := range p.faults {
		fmt.Fprintln(&b, f)
	}
	return b.String()
}

const (
	// calmBefore is how long a site has before the first fault, so that jobs run.
	calmBefore = 2 * time.Second
	// leastFault and mostFault bound how long a fault lasts, mostStoreFault one of the store for all:
	// a store that is away most of the time shows nothing but refusals.
	leastFault, mostFault = 200 * time.Millisecond, 5 * time.Second
	mostStoreFault        = 2500 * time.Millisecond
	// meanPause is the mean pause between the beginnings of two faults on three hosts; with more hosts
	// it is shorter, down to leastPause.
	meanPause, leastPause = 900 * time.Millisecond, 150 * time.Millisecond
	// seriesShare is the share of faults that are followed by another one on the same target.
	seriesShare = 0.3
	// plannedOneIn is how many seeds there are to one that plans changes of operators only: beside other
	// faults most calls count as disturbed, and little is asked of a planned stop.
	plannedOneIn = 4
)

// kinds are the kinds of faults with their variants and weights.
var kinds = []struct {
	what   string
	hows   []string
	weight int
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
func drawPlan(seed uint64, hosts, workers int, lasts time.Duration) plan {
	r := rand.New(rand.NewPCG(seed, 1))
	p := plan{
		seed: seed, hosts: hosts, workers: workers, lasts: lasts,
		queues: []standin.Queue{standin.SiteQueue()}, services: []string{standin.SiteService},
	}
	mean := max(leastPause, meanPause*3/time.Duration(hosts))
	last := fault{}
	planned := seed%plannedOneIn == 0
	for at := calmBefore; at < lasts; at += time.Duration(r.ExpFloat64() * float64(mean)) {
		f := drawFault(r, hosts, workers, planned)
		f.at = at
		if last.what != "" && r.Float64() < seriesShare && onHost(last.what) && onHost(f.what) {
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
	for _, k := range kinds {
		if !planned || isPlanned(k.what) {
			sum += k.weight
		}
	}
	n := r.IntN(sum)
	for _, k := range kinds {
		if planned && !isPlanned(k.what) {
			continue
		}
		if n -= k.weight; n >= 0 {
			continue
		}
		f := fault{what: k.what, how: k.hows[r.IntN(len(k.hows))], target: r.IntN(hosts)}
		most := mostFault
		if k.what == "store" || k.what == "all" {
			most = mostStoreFault
		}
		if !onHost(k.what) {
			f.target = r.IntN(workers)
		}
		f.lasts = leastFault + time.Duration(r.Float64()*float64(most-leastFault))
		return f
	}
	return fault{}
}

// onHost reports whether a kind of fault strikes a host.
func onHost(what string) bool {
	return slices.Contains([]string{"term", "kill", "pause", "hup", "path", "link", "callers"}, what)
}

// isPlanned reports whether a kind is a change that operators make.
func isPlanned(what string) bool {
	return slices.Contains([]string{"term", "hup", "config", "drain"}, what)
}
