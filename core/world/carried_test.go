package world_test

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"curlewsill.org/curlewsill/core/scripttest"
	"curlewsill.org/curlewsill/core/world"
)

// TestCarriedOver runs the scripts of testdata/carried. In each, a copy of a
// start order gets no answer and spends seconds in the network. The worker
// restarts under its name meanwhile, and its next incarnation carries the copy
// out before it has seen a fence.
//
// It guards against tasks that run twice, or start again after their ends were
// acknowledged.
func TestCarriedOver(t *testing.T) {
	scripttest.EachIn(t, "carried", func(t *testing.T, text string) {
		p := &scriptRunner{t: t, reportStart: true, changeSetup: func(s *world.Setup) { s.Delivery = world.OnTheWay }}
		p.run(text)
	})
}

// TestCarriedOverSeeds runs the jobs and faults of seeds with a longer round trip.
// Each line of testdata/carried_seeds.txt names a simulation, a seed and the time
// that is added to the round trip.
//
// It guards against the failures of TestCarriedOver among many jobs and faults. A
// seed alone may stop exercising this whenever its course of events changes.
func TestCarriedOverSeeds(t *testing.T) {
	simulations := map[string]simulation{"reborn": simulateReborn, "crashes-reborn": simulateCrashesReborn}
	b, err := os.ReadFile("testdata/carried_seeds.txt")
	if err != nil {
		t.Fatal(err)
	}
	for i, line := range strings.Split(string(b), "\n") {
		f := strings.Fields(line)
		if len(f) == 0 || strings.HasPrefix(line, "#") {
			continue
		}
		if len(f) < 3 || simulations[f[0]] == nil {
			t.Fatalf("testdata/carried_seeds.txt:%d: %q names no simulation, seed and time", i+1, line)
		}
		seed, err := strconv.ParseUint(f[1], 10, 64)
		if err != nil {
			t.Fatalf("testdata/carried_seeds.txt:%d: %v", i+1, err)
		}
		added, err := time.ParseDuration(f[2])
		if err != nil {
			t.Fatalf("testdata/carried_seeds.txt:%d: %v", i+1, err)
		}
		t.Run(strings.Join(f[:3], "-"), func(t *testing.T) {
			t.Parallel()
			checkLong(t, simulations[f[0]](t, seed, seedDuration, func(s *world.Setup) {
				s.Delivery = world.OnTheWay
				s.Times.RoundTrip += added
			}))
		})
	}
}
