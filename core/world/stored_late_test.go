package world_test

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"curlewsill.org/curlewsill/core/world"
)

// Of the jobs of TestLongStoredLate, one in storedLateOneIn reaches the store up to
// storedLateAtMost after its customer has given up. Most customers have cancelled
// it by then.
const (
	storedLateOneIn  = 4
	storedLateAtMost = 20 * time.Second
)

// TestLongStoredLate is TestLongHandovers with jobs that reach the store after their
// customers have cancelled them.
//
// It guards against the start of such a job, over outages of the store and changes of
// the owner. Hosts that acknowledge such a cancelling without a record are found out.
func TestLongStoredLate(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64, length time.Duration) *world.World {
		w := simulateStoredLate(t, seed, length, true)
		if found := strings.Join(w.Violations(), "\n"); !strings.Contains(found, "after its cancelling was acknowledged") {
			t.Errorf("unrecorded cancellations are not found: %q", found)
		}
		return simulateStoredLate(t, seed, length, false)
	})
}

// simulateStoredLate runs one seed. unrecorded makes hosts acknowledge cancellations
// without a record.
func simulateStoredLate(t *testing.T, seed uint64, length time.Duration, unrecorded bool) *world.World {
	random := rand.New(rand.NewPCG(seed, 3))
	jobs := func(r *rand.Rand) args {
		o := randomJob(r)
		if random.IntN(storedLateOneIn) == 0 {
			stored := time.Second + time.Duration(random.Int64N(int64(storedLateAtMost)))
			cancelled := time.Second + time.Duration(random.Int64N(int64(stored)))
			o = append(args{"stored=" + stored.String(), "cancel=" + cancelled.String()}, o...)
		}
		return o
	}
	return simulateSite(t, seed, outageKinds, jobs, length, func(s *world.Setup) {
		s.StrictSuccesses, s.MachineList, s.Handovers, s.MembershipsLapse = true, true, true, true
		s.Callers.Wrong.UnknownUnrecorded = unrecorded
	})
}
