package world_test

import (
	"bufio"
	"fmt"
	"os"
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
	file, err := os.Open("testdata/carried_seeds.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "#") {
			continue
		}
		var name, added string
		var seed uint64
		if _, err := fmt.Sscan(lines.Text(), &name, &seed, &added); err != nil {
			t.Fatalf("%s: %q: %v", file.Name(), lines.Text(), err)
		}
		delay, err := time.ParseDuration(added)
		if err != nil || simulations[name] == nil {
			t.Fatalf("%s: %q names no simulation, seed and time", file.Name(), lines.Text())
		}
		t.Run(fmt.Sprintf("%s-%d-%s", name, seed, added), func(t *testing.T) {
			t.Parallel()
			checkLong(t, simulations[name](t, seed, seedDuration, func(s *world.Setup) {
				s.Delivery = world.OnTheWay
				s.Times.RoundTrip += delay
			}))
		})
	}
	if err := lines.Err(); err != nil {
		t.Fatal(err)
	}
}
