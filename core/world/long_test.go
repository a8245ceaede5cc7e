package world_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/world"
)

var (
	longSeconds = flag.Int("seconds", 60, "seconds of virtual time of each seed of the long run, faults not counted in")
	longSeed    = flag.Uint64("seed", 1, "first seed of the long run")
	longSeeds   = flag.Uint64("seeds", 4, "how many seeds the long run plays")
)

// TestLong plays random jobs and faults and checks what must hold whatever happens, and that every
// job has its outcome once the faults have ended. A longer run:
//
//	go test ./core/world -run Long -args -seconds 36000 -seed 7 -seeds 1
func TestLong(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64, length time.Duration) *world.World {
		return playLong(t, seed, longKinds, length)
	})
}

// TestLongLives is TestLong with workers that come back while the list shows their earlier lives, and workers that
// are apart from the hosts and from the list.
//
// An owner that took such entries, or the lack of them, for proof that a life had ended ran tasks twice: with it
// seeds 1 to 8 of 300 s broke 6 to 47 checks each ("was started again after its end was noted").
func TestLongLives(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64, length time.Duration) *world.World {
		return playLong(t, seed, livesKinds, length)
	})
}

// TestLongRooms is TestLong with workers whose room shrinks and comes back.
func TestLongRooms(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64, length time.Duration) *world.World {
		return playLong(t, seed, roomKinds, length)
	})
}

// TestLongCrashes is TestLong with jobs that crash their workers, one in crashOneIn, beside workers that crash of other causes and owners that
// change.
func TestLongCrashes(t *testing.T) {
	eachSeed(t, playCrashes)
}

// playCrashes plays one seed of TestLongCrashes.
func playCrashes(t *testing.T, seed uint64, length time.Duration) *world.World {
	return playJobs(t, seed, crashKinds, crashingJobs(seed), length)
}

// TestLongStills is TestLong with workers on which nothing makes progress for a while.
func TestLongStills(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64, length time.Duration) *world.World {
		return playLong(t, seed, stillKinds, length)
	})
}

// eachSeed plays the seeds of a long run, one beside the other, and checks each.
func eachSeed(t *testing.T, play func(*testing.T, uint64, time.Duration) *world.World) {
	for seed := *longSeed; seed < *longSeed+*longSeeds; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			checkLong(t, play(t, seed, time.Duration(*longSeconds)*time.Second))
		})
	}
}

// crashingJobs draws random jobs of which one in crashOneIn crashes its workers, with more words for these.
func crashingJobs(seed uint64, more ...string) func(*rand.Rand) words {
	random := rand.New(rand.NewPCG(seed, 1))
	return func(r *rand.Rand) words {
		o := randomJob(r)
		if random.IntN(crashOneIn) == 0 {
			o = append(append(o, "crashes=10ms"), more...)
		}
		return o
	}
}

// crashOneIn is how many jobs there are to one that crashes workers.
const crashOneIn = 8

// longKinds are the kinds of faults of TestLong, roomKinds, stillKinds and livesKinds those of the others. Their order belongs to what a
// seed plays.
var (
	longKinds = []world.FaultKind{
		world.Kill, world.Silence, world.Drain, world.Fail, world.Busy, world.Mute, world.Slow, world.Late, world.StoreDown,
		world.StoreSlow, world.KillOwner, world.KillHosts,
	}
	roomKinds = []world.FaultKind{
		world.Shrink, world.Kill, world.Shrink, world.Late, world.StoreSlow, world.KillOwner, world.Shrink, world.Drain,
	}
	crashKinds = []world.FaultKind{world.Kill, world.KillOwner, world.Late, world.StoreSlow, world.KillHosts, world.Drain, world.StaleEntry}
	stillKinds = []world.FaultKind{world.Still, world.Kill, world.Still, world.Late, world.Slow, world.KillOwner, world.StoreSlow, world.Drain}
	livesKinds = []world.FaultKind{
		world.Kill, world.StaleEntry, world.Apart, world.ReadList, world.StaleEntry, world.Silence, world.KillOwner, world.Late, world.StoreDown,
	}
)

// checkLong fails with what did not hold, and with jobs that have no outcome.
func checkLong(t *testing.T, w *world.World) {
	for _, v := range w.Violations() {
		t.Error(v)
	}
	for _, o := range w.Outcomes() {
		if o.State == world.Open {
			t.Errorf("job %s of %s is %s", o.Name, o.At, o.State)
		}
	}
	t.Logf("%+v, %d workers suspended, %d replaced, %d jobs", w.Tally(), w.Decided(dispatch.EventWorkerSuspended),
		w.Decided(dispatch.EventWorkerReplaced), len(w.Outcomes()))
}

// playLong plays a site of 24 workers and 5 hosts for a time, and then without faults until all
// should have ended.
func playLong(t *testing.T, seed uint64, kinds []world.FaultKind, length time.Duration) *world.World {
	return playJobs(t, seed, kinds, randomJob, length)
}

// playTold is playLong with workers that tell their starts.
func playTold(t *testing.T, seed uint64, kinds []world.FaultKind, length time.Duration, d world.Delivery) *world.World {
	return playSite(t, seed, kinds, randomJob, length, func(s *world.Setup) { s.TellStart, s.Delivery = true, d })
}

// playJobs is playLong with jobs that are drawn by job.
func playJobs(t *testing.T, seed uint64, kinds []world.FaultKind, job func(*rand.Rand) words, length time.Duration) *world.World {
	return playSite(t, seed, kinds, job, length, func(*world.Setup) {})
}

// playSite is playJobs on a site that is changed before it begins.
func playSite(t *testing.T, seed uint64, kinds []world.FaultKind, job func(*rand.Rand) words, length time.Duration, change func(*world.Setup)) *world.World {
	random := rand.New(rand.NewPCG(seed, 0))
	s := setup(24, 5, 0.2+random.Float64())
	s.Seed, s.Times.Drift = seed, 0.02
	s.Times.Stop, s.Times.Restore = time.Duration(random.IntN(900))*time.Millisecond, 250*time.Millisecond
	s.Costs = world.Costs{Pass: 50 * time.Microsecond, Event: 20 * time.Microsecond, Order: 200 * time.Microsecond}
	for i := range s.Workers {
		s.Workers[i].Speed = 0.7 + 0.6*random.Float64()
	}
	change(&s)
	w, err := world.New(s)
	if err != nil {
		t.Fatal(err)
	}
	w.Run(time.Second)
	for n, end := 0, w.Now().Add(length); w.Now() < end; n++ {
		if err := w.Submit(newJob(fmt.Sprintf("j%06d", n), job(random))); err != nil {
			t.Fatal(err)
		}
		if random.IntN(12) == 0 {
			if err := w.Strike(randomFault(random, kinds)); err != nil {
				t.Fatal(err)
			}
		}
		w.Run(time.Duration(random.ExpFloat64() * float64(900*time.Millisecond)))
	}
	w.Run(5 * time.Minute)
	// What has piled up in a long run needs as long again to end, and what was begun on a slow worker at last as long as it takes there.
	for rest := length + longestRun; rest > 0 && open(w) > 0; rest -= time.Minute {
		w.Run(time.Minute)
	}
	return w
}

// longestRun is how long a task takes at most: 24.2 s of work, on a worker that is 21 times slower than one of speed 0.7. A gang of seed 20042 was
// begun on nine workers, two of them at a twentieth of the usual speed, 6 s before the faults ended: it had 7 m 31 s to go, and 6 min were waited.
const longestRun = 13 * time.Minute

// open counts the jobs without an outcome.
func open(w *world.World) int {
	n := 0
	for _, o := range w.Outcomes() {
		if o.State == world.Open {
			n++
		}
	}
	return n
}

// randomJob returns the words of a random job.
func randomJob(random *rand.Rand) words {
	takes := time.Duration(50+random.IntN(6000)) * time.Millisecond
	if random.IntN(15) == 0 {
		takes *= 4 // longer than a lease
	}
	o := words{
		fmt.Sprintf("count=%d", 1+random.IntN(12)), fmt.Sprintf("gpus=%d", 1<<random.IntN(4)), "takes=" + takes.String(),
		"estimate=" + (takes / time.Duration(1+random.IntN(3))).String(), fmt.Sprintf("priority=%d", random.IntN(3)), "attempts=4",
	}
	for _, x := range []struct {
		word string
		one  int
	}{{"gang", 3}, {"saves", 2}, {"twosteps", 5}, {"fails=0.05", 3}, {"cancel=1.5s", 15}} {
		if random.IntN(x.one) == 0 {
			o = append(o, x.word)
		}
	}
	if random.IntN(30) == 0 {
		o = slices.Insert(o, 0, "fails=1")
	}
	return o
}

// randomFault returns a random fault of some kinds. All faults end.
func randomFault(random *rand.Rand, kinds []world.FaultKind) world.Fault {
	return world.Fault{
		Kind: kinds[random.IntN(len(kinds))], Share: 0.05 + 0.4*random.Float64(),
		Lasts: time.Duration(500+random.IntN(20000)) * time.Millisecond, Factor: 1 + 20*random.Float64()*random.Float64(),
	}
}
