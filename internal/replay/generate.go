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

// ErrUnknownProfile reports a workload profile that does not exist.
var ErrUnknownProfile = errors.New("replay: unknown workload profile")

// workload is one kind of job that a customer submits.
type workload struct {
	customer id.Customer
	prefix   string
	// sizes are the gang sizes, drawn with equal probability.
	sizes []int
	// medianRun is the median of the log-normal distribution of run times, and
	// sigma the standard deviation of their logarithm.
	medianRun time.Duration
	sigma     float64
	// meanInterval is the mean time between two bursts of submissions, and maxBurst
	// the maximum number of jobs in a burst.
	meanInterval time.Duration
	maxBurst     int
	once, urgent bool
	// nightOnly restricts submissions to the hours from 22:00 to 04:00.
	nightOnly bool
	// guaranteed is set for jobs that the customer's guarantee must serve.
	guaranteed bool
}

// profiles has the workloads of each profile, by the name of the site that the
// profile resembles.
var profiles = map[string][]workload{
	"delta-north": {
		{
			customer: "excursion", prefix: "recon", sizes: []int{16, 32, 64},
			medianRun: 70 * time.Minute, sigma: 0.7, meanInterval: 45 * time.Minute, maxBurst: 1, guaranteed: true,
		},
		{
			customer: "excursion", prefix: "review", sizes: []int{4, 8},
			medianRun: 30 * time.Minute, sigma: 0.8, meanInterval: 12 * time.Minute, maxBurst: 2,
		},
		{
			customer: "shelf-life", prefix: "rescore", sizes: []int{2, 4, 8, 16},
			medianRun: 20 * time.Minute, sigma: 0.8, meanInterval: 8 * time.Minute, maxBurst: 2, urgent: true,
		},
		{
			customer: "calibration", prefix: "sweep", sizes: []int{16, 32},
			medianRun: 90 * time.Minute, sigma: 0.4, meanInterval: 40 * time.Minute, maxBurst: 2, once: true, nightOnly: true,
		},
		{
			customer: "pharmacy", prefix: "batch", sizes: []int{1, 1, 2, 4},
			medianRun: 40 * time.Minute, sigma: 1.2, meanInterval: 9 * time.Minute, maxBurst: 6,
		},
	},
	"be-oost": {
		{
			customer: "labels", prefix: "label", sizes: []int{1, 2, 4},
			medianRun: 4 * time.Minute, sigma: 0.8, meanInterval: time.Minute, maxBurst: 3, urgent: true,
		},
		{
			customer: "customs", prefix: "customs", sizes: []int{16, 32, 64},
			medianRun: 35 * time.Minute, sigma: 0.6, meanInterval: 25 * time.Minute, maxBurst: 1, guaranteed: true,
		},
		{
			customer: "pickup", prefix: "qr", sizes: []int{1, 2, 8},
			medianRun: 6 * time.Minute, sigma: 1, meanInterval: 90 * time.Second, maxBurst: 4,
		},
		{
			customer: "archive", prefix: "archive", sizes: []int{1, 4, 8, 16},
			medianRun: time.Hour, sigma: 1, meanInterval: 14 * time.Minute, maxBurst: 3,
		},
	},
}

// Rates of faults and cancels in a generated trace. misdeclaredShare, crashShare and
// cancelShare are the shares of the jobs whose declared run time is wrong, that crash
// on every worker, and that are cancelled one by one. cancelWaveInterval and
// downInterval are the mean times between waves of cancels and between failures of
// workers. cancelWaveSize bounds the cancels of a wave.
const (
	misdeclaredShare   = 0.15
	crashShare         = 0.01
	cancelShare        = 0.02
	cancelWaveInterval = 6 * time.Hour
	cancelWaveSize     = 12
	downInterval       = 3 * time.Hour
	meanDowntime       = 20 * time.Minute
)

// Generate returns a random trace of a workload profile, which resembles the jobs
// of one user's site. It has bursts of submissions, waves of cancels, declared run
// times that are too long or too short by a factor of ten, jobs that crash on every
// worker, and workers that go down. The same seed gives the same trace.
func Generate(profile string, seed uint64, length time.Duration, workers []id.Worker) ([]Event, error) {
	workloads, ok := profiles[profile]
	if !ok {
		return nil, fmt.Errorf("%w: %s", ErrUnknownProfile, profile)
	}
	g := &generator{rng: rand.New(rand.NewPCG(seed, 2)), length: length}
	for _, w := range workloads {
		g.addJobs(w)
	}
	g.addCancels()
	g.addFailures(workers)
	slices.SortStableFunc(g.events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return g.events, nil
}

type generator struct {
	rng    *rand.Rand
	length time.Duration
	events []Event
}

// randomInterval returns an exponentially distributed time with the given mean,
// truncated to whole seconds.
func (g *generator) randomInterval(mean time.Duration) time.Duration {
	return time.Duration(g.rng.ExpFloat64() * float64(mean)).Truncate(time.Second)
}

// addJobs adds the submissions of a workload, in bursts at random times.
func (g *generator) addJobs(w workload) {
	n := 0
	for at := g.randomInterval(w.meanInterval); at < g.length; at += g.randomInterval(w.meanInterval) + time.Second {
		if hour := int(at.Hours()) % 24; w.nightOnly && hour >= 4 && hour < 22 {
			continue
		}
		for range 1 + g.rng.IntN(w.maxBurst) {
			n++
			g.events = append(g.events, g.newJob(w, at, n))
		}
	}
}

// newJob returns the submission of the nth job of a workload.
func (g *generator) newJob(w workload, at time.Duration, n int) Event {
	run := time.Duration(float64(w.medianRun) * math.Exp(w.sigma*g.rng.NormFloat64())).Truncate(time.Second)
	e := Event{
		At: at, Kind: Submit, Job: id.Job(fmt.Sprintf("%s-%04d", w.prefix, n)), Customer: w.customer,
		Accelerators: w.sizes[g.rng.IntN(len(w.sizes))], Run: max(run, 10*time.Second), Once: w.once, Urgent: w.urgent,
		CrashesEverywhere: g.rng.Float64() < crashShare,
	}
	e.Declared = e.Run
	if g.rng.Float64() < misdeclaredShare {
		e.Declared = []time.Duration{e.Run / 10, e.Run * 10}[g.rng.IntN(2)].Truncate(time.Second)
	}
	if w.guaranteed {
		e.Kind = SubmitGuaranteed
	}
	return e
}

// addCancels adds single cancels and waves of cancels.
func (g *generator) addCancels() {
	jobs := slices.Clone(g.events)
	for _, e := range jobs {
		if g.rng.Float64() < cancelShare {
			g.events = append(g.events, Event{At: e.At + g.randomInterval(10*time.Minute), Kind: Cancel, Job: e.Job})
		}
	}
	for at := g.randomInterval(cancelWaveInterval); at < g.length; at += g.randomInterval(cancelWaveInterval) + time.Second {
		for range cancelWaveSize {
			e := jobs[g.rng.IntN(len(jobs))]
			if e.At < at {
				g.events = append(g.events, Event{At: at, Kind: Cancel, Job: e.Job})
			}
		}
	}
}

// addFailures adds failures of workers and their recovery.
func (g *generator) addFailures(workers []id.Worker) {
	if len(workers) == 0 {
		return
	}
	for at := g.randomInterval(downInterval); at < g.length; at += g.randomInterval(downInterval) + time.Second {
		w := id.Job(workers[g.rng.IntN(len(workers))])
		g.events = append(g.events,
			Event{At: at, Kind: WorkerDown, Job: w},
			Event{At: at + meanDowntime/2 + g.randomInterval(meanDowntime/2), Kind: WorkerUp, Job: w})
	}
}
