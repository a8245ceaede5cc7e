package world_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"curlewsill.org/curlewsill/core/world"
)

var stormSeeds = flag.Uint64("stormseeds", 1, "seeds of each case of the storms")

// stormCase is a site on which a share of the workers crashes again and again, for reasons of their own, while gangs of one width are handed in.
type stormCase struct {
	width int
	share float64
	every time.Duration
	// oneIn is how many jobs there are to one that crashes its workers, soon after its start; 0 for none.
	oneIn int
	soon  time.Duration
}

// stormTally is what has become of the jobs of a case.
type stormTally struct {
	// jobs counts those that crash no worker, wrong those of them that were given up, done those that were completed.
	jobs, wrong, done int
	// bad counts those that crash workers, crashes the workers that they crashed, violations what did not hold: starts beyond what is allowed,
	// and jobs given up wrongly.
	bad, crashes, violations int
}

// stormLength is how long jobs are handed in.
const stormLength = time.Minute

// TestStorms plays storms of crashes over gangs of several widths. No job that can be done is given up, and those that crash workers are, in time. By
// hand, with a table, where not all cases pass:
//
//	go test ./core/world -run Storms -v -args -stormseeds 20
//
// A gang had one count of crashes, which grew with each worker of any member, so that wide gangs were given up that crash nothing: on a site of 350
// workers, a gang of 38 at "3 of 3 at once", by the workers of its members 2, 3 and 1; and crashes counted against orders that the worker's next
// life had refused.
func TestStorms(t *testing.T) {
	cases := []stormCase{
		{width: 16, share: 0.33, every: 2 * time.Second},
		{width: 4, share: 0.05, every: 20 * time.Second, oneIn: 4, soon: 10 * time.Millisecond},
	}
	if *stormSeeds > 1 {
		cases = stormCases()
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			sum := playStorms(t, c)
			t.Logf("%d jobs, %d done, %d given up wrongly; %d that crash workers, %d crashes, %d violations",
				sum.jobs, sum.done, sum.wrong, sum.bad, sum.crashes, sum.violations)
			if sum.wrong > 0 || sum.violations > 0 {
				t.Errorf("%d of %d jobs were given up wrongly, %d checks did not hold", sum.wrong, sum.jobs, sum.violations)
			}
		})
	}
}

// stormCases returns the cases of a run by hand.
func stormCases() []stormCase {
	var out []stormCase
	for _, width := range []int{1, 4, 16, 64} {
		for _, share := range []float64{0.05, 0.2, 0.33} {
			for _, every := range []time.Duration{2 * time.Second, 5 * time.Second, 20 * time.Second} {
				out = append(out, stormCase{width: width, share: share, every: every})
			}
		}
		for _, soon := range []time.Duration{10 * time.Millisecond, 400 * time.Millisecond, 2 * time.Second} {
			out = append(out, stormCase{width: width, share: 0.2, every: 20 * time.Second, oneIn: 33, soon: soon})
		}
	}
	return out
}

// playStorms plays the seeds of a case.
func playStorms(t *testing.T, c stormCase) stormTally {
	var sum stormTally
	var mu sync.Mutex
	var all sync.WaitGroup
	for seed := uint64(1); seed <= *stormSeeds; seed++ {
		all.Go(func() {
			one := playStorm(t, c, seed)
			mu.Lock()
			defer mu.Unlock()
			sum.jobs, sum.wrong, sum.done = sum.jobs+one.jobs, sum.wrong+one.wrong, sum.done+one.done
			sum.bad, sum.crashes, sum.violations = sum.bad+one.bad, sum.crashes+one.crashes, sum.violations+one.violations
		})
	}
	all.Wait()
	return sum
}

// playStorm plays one seed on 48 workers.
func playStorm(t *testing.T, c stormCase, seed uint64) stormTally {
	random := rand.New(rand.NewPCG(seed, uint64(c.width)))
	s := setup(48, 1, 1)
	s.Seed = seed
	w, err := world.New(s)
	if err != nil {
		t.Error(err)
		return stormTally{}
	}
	for n, end, storm := 0, w.Now().Add(stormLength), w.Now().Add(c.every); w.Now() < end; n++ {
		takes := time.Duration(500+random.IntN(2000)) * time.Millisecond
		o := words{fmt.Sprintf("count=%d", c.width), "gang", "takes=" + takes.String(), "attempts=100"}
		if c.oneIn > 0 && random.IntN(c.oneIn) == 0 {
			o = append(o, "crashes="+c.soon.String())
		}
		if err := w.Submit(newJob(fmt.Sprintf("j%06d", n), o)); err != nil {
			t.Error(err)
		}
		w.Run(time.Duration(100+random.IntN(200)) * time.Millisecond)
		if w.Now() >= storm {
			storm = storm.Add(c.every)
			if err := w.Strike(world.Fault{Kind: world.Kill, Share: c.share, Lasts: 3 * time.Second}); err != nil {
				t.Error(err)
			}
		}
	}
	w.Run(2 * time.Minute)
	return tallyStorm(w)
}

// tallyStorm counts what has become of the jobs of a world.
func tallyStorm(w *world.World) stormTally {
	out := stormTally{crashes: w.Tally().Crashes, violations: w.Tally().Violations}
	for _, o := range w.Outcomes() {
		switch {
		case o.Crashes:
			out.bad++
		default:
			out.jobs++
		}
		if !o.Crashes && o.State == world.Failed {
			out.wrong++
		}
		if !o.Crashes && o.State == world.Completed {
			out.done++
		}
	}
	return out
}
