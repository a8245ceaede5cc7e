package replay

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/id"
)

// ErrLikeness reports a likeness that can't be generated.
var ErrLikeness = errors.New("replay: no such likeness")

// mix is one kind of work that a customer sends.
type mix struct {
	customer id.Customer
	prefix   string
	// sizes are drawn evenly.
	sizes []int
	// run is the median run time; it is drawn from a log-normal distribution.
	run    time.Duration
	spread float64
	// each is the mean time between two submissions and burst how many come at
	// once.
	each         time.Duration
	burst        int
	once, urgent bool
	// night keeps the work to the hours from 22 to 4.
	night bool
	// owed marks work that the customer's guarantee has to serve.
	owed bool
}

var likenesses = map[string][]mix{
	"delta-north": {
		{
			customer: "excursion", prefix: "recon", sizes: []int{16, 32, 64},
			run: 70 * time.Minute, spread: 0.7, each: 45 * time.Minute, burst: 1, owed: true,
		},
		{
			customer: "excursion", prefix: "review", sizes: []int{4, 8},
			run: 30 * time.Minute, spread: 0.8, each: 12 * time.Minute, burst: 2,
		},
		{
			customer: "shelf-life", prefix: "rescore", sizes: []int{2, 4, 8, 16},
			run: 20 * time.Minute, spread: 0.8, each: 8 * time.Minute, burst: 2, urgent: true,
		},
		{
			customer: "calibration", prefix: "sweep", sizes: []int{16, 32},
			run: 90 * time.Minute, spread: 0.4, each: 40 * time.Minute, burst: 2, once: true, night: true,
		},
		{
			customer: "pharmacy", prefix: "batch", sizes: []int{1, 1, 2, 4},
			run: 40 * time.Minute, spread: 1.2, each: 9 * time.Minute, burst: 6,
		},
	},
	"be-oost": {
		{
			customer: "labels", prefix: "label", sizes: []int{1, 2, 4},
			run: 4 * time.Minute, spread: 0.8, each: time.Minute, burst: 3, urgent: true,
		},
		{
			customer: "customs", prefix: "customs", sizes: []int{16, 32, 64},
			run: 35 * time.Minute, spread: 0.6, each: 25 * time.Minute, burst: 1, owed: true,
		},
		{
			customer: "pickup", prefix: "qr", sizes: []int{1, 2, 8},
			run: 6 * time.Minute, spread: 1, each: 90 * time.Second, burst: 4,
		},
		{
			customer: "archive", prefix: "archive", sizes: []int{1, 4, 8, 16},
			run: time.Hour, spread: 1, each: 14 * time.Minute, burst: 3,
		},
	},
}

// Rates of what goes wrong in a generated trace.
const (
	lieShare    = 0.15
	badShare    = 0.01
	cancelShare = 0.02
	waveEvery   = 6 * time.Hour
	waveSize    = 12
	downEvery   = 3 * time.Hour
	downFor     = 20 * time.Minute
)

// Generate returns a trace in the likeness of a user's work: bursts, waves of cancels,
// declared times that are wrong by ten times in both directions, jobs that crash
// everywhere and workers that go down. The same seed gives the same trace.
func Generate(likeness string, seed uint64, length time.Duration, workers []id.Worker) ([]Event, error) {
	mixes, ok := likenesses[likeness]
	if !ok {
		return nil, fmt.Errorf("%w: %s", ErrLikeness, likeness)
	}
	g := &generator{rng: rand.New(rand.NewPCG(seed, 2)), length: length}
	for _, m := range mixes {
		g.work(m)
	}
	g.cancels()
	g.failures(workers)
	slices.SortStableFunc(g.out, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return g.out, nil
}

type generator struct {
	rng    *rand.Rand
	length time.Duration
	out    []Event
}

// after returns a random time with the given mean, in whole seconds.
func (g *generator) after(mean time.Duration) time.Duration {
	return time.Duration(g.rng.ExpFloat64() * float64(mean)).Truncate(time.Second)
}

func (g *generator) work(m mix) {
	n := 0
	for at := g.after(m.each); at < g.length; at += g.after(m.each) + time.Second {
		if hour := int(at.Hours()) % 24; m.night && hour >= 4 && hour < 22 {
			continue
		}
		for range 1 + g.rng.IntN(m.burst) {
			n++
			g.out = append(g.out, g.job(m, at, n))
		}
	}
}

func (g *generator) job(m mix, at time.Duration, n int) Event {
	run := time.Duration(float64(m.run) * math.Exp(m.spread*g.rng.NormFloat64())).Truncate(time.Second)
	e := Event{
		At: at, Kind: Submit, Job: id.Job(fmt.Sprintf("%s-%04d", m.prefix, n)), Customer: m.customer,
		Accelerators: m.sizes[g.rng.IntN(len(m.sizes))], Run: max(run, 10*time.Second), Once: m.once, Urgent: m.urgent,
		Bad: g.rng.Float64() < badShare,
	}
	e.Declared = e.Run
	if g.rng.Float64() < lieShare {
		e.Declared = []time.Duration{e.Run / 10, e.Run * 10}[g.rng.IntN(2)].Truncate(time.Second)
	}
	if m.owed {
		e.Kind = GuaranteeUsed
	}
	return e
}

// cancels adds single cancels and waves of them.
func (g *generator) cancels() {
	jobs := slices.Clone(g.out)
	for _, e := range jobs {
		if g.rng.Float64() < cancelShare {
			g.out = append(g.out, Event{At: e.At + g.after(10*time.Minute), Kind: Cancel, Job: e.Job})
		}
	}
	for at := g.after(waveEvery); at < g.length; at += g.after(waveEvery) + time.Second {
		for range waveSize {
			e := jobs[g.rng.IntN(len(jobs))]
			if e.At < at {
				g.out = append(g.out, Event{At: at, Kind: Cancel, Job: e.Job})
			}
		}
	}
}

// failures adds workers that go down for a while.
func (g *generator) failures(workers []id.Worker) {
	if len(workers) == 0 {
		return
	}
	for at := g.after(downEvery); at < g.length; at += g.after(downEvery) + time.Second {
		w := id.Job(workers[g.rng.IntN(len(workers))])
		g.out = append(g.out,
			Event{At: at, Kind: WorkerDown, Job: w},
			Event{At: at + downFor/2 + g.after(downFor/2), Kind: WorkerUp, Job: w})
	}
}
