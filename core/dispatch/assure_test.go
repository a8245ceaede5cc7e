package dispatch_test

import (
	"testing"
	"time"
)

// TestPlacesNothingWithoutGrants takes the assurance away that nobody else is the owner, while the store takes records.
//
// Each pass placed the task, each batch took it back because no lease may be granted: a record and a number of a run for
// every turn, a hundred a second, until an assurance came.
func TestPlacesNothingWithoutGrants(t *testing.T) {
	s := newScript(t)
	s.d.Assure(s.now)
	s.run("worker w1\npass\n> renew w1 told 0\nrenew w1 carried\npass 4s\njob j1")
	for range 10 {
		s.run("pass 10ms\nwrite\nwrite")
	}
	s.d.Assure(s.now)
	s.run("pass 10ms\n> renew w1 told 0\nwrite\n> start j1.0.0.0 run 1 on w1")
}

// TestTakesNothingDownWithoutGrants asks an owner for maintenance that may have been replaced without knowing.
//
// It went on to order machines down that were empty as far as it knew, though the next owner may have begun tasks there,
// and may have as many machines down as the wave allows.
func TestTakesNothingDownWithoutGrants(t *testing.T) {
	s := newScript(t)
	s.d.Assure(s.now)
	s.run("worker w1 machine=m1\npass\n> renew w1 told 0\nrenew w1 carried\nwave 1 60s 1 m1\n> report wave 1 finished false\npass 10ms\nwrite\npass 4s")
	s.d.Assure(s.now)
	s.run("pass 10ms\n> upkeep m1 of wave 1")
}

// TestGrantsSoonAfterAssurance takes the assurance away for 2 s, on a deployment with leases of 6 s, from a worker that answers
// every renewal.
//
// A renewal that left meanwhile granted nothing, and waited 2 s at the worker for news like any other. The next one that grants left
// only after it, 6.03 s after the last that had granted: everything on the worker had lapsed.
func TestGrantsSoonAfterAssurance(t *testing.T) {
	s := newScript(t)
	s.run("lease 6s")
	s.d.Assure(s.now)
	s.run("worker w1\npass\n> renew w1 told 0\nrenew w1 carried\njob j1 lasts\npass 10ms\n> renew w1 told 0\nwrite\n> start j1.0.0.0 run 1 on w1")
	s.run("start j1.0.0.0 carried\nrenew w1 carried run j1.0.0.0 1 100")
	assured, granted := s.now, s.now
	answerAt := s.now // when the renewal that is under way is answered
	for s.now.Sub(assured) < 9*time.Second {
		s.now = s.now.Add(10 * time.Millisecond)
		away := s.now.Sub(assured)
		if away <= time.Second || away >= 6050*time.Millisecond { // the last read before the trouble, and the first after it
			s.d.Assure(s.now)
		}
		s.d.Pass(s.now, s.now)
		s.collect()
		if s.sent["w1"] == s.now {
			answerAt = s.now.Add(max(10*time.Millisecond, s.waits["w1"]))
			if s.renews["w1"].Until > 0 {
				if gap := s.now.Sub(granted); gap > 5*time.Second {
					t.Errorf("%s pass between two renewals that grant, of which the second leaves %s after the assurance is lost", gap, away-time.Second)
				}
				granted = s.now
			}
		}
		if s.now == answerAt {
			s.run("renew w1 carried run j1.0.0.0 1 100")
		}
	}
}

// TestPatienceCountsOrders takes the assurance away right after an order to start got no answer, and gives it back after 4 s.
//
// The order wasn't repeated meanwhile, as it would have granted a lease. Then the run was stopped because its worker answers renewals,
// but not its orders, of which there had been one, and the worker was counted as one that fails.
func TestPatienceCountsOrders(t *testing.T) {
	s := newScript(t)
	s.d.Assure(s.now)
	s.run("worker w1\npass\n> renew w1 told 0\nrenew w1 carried\npass 2900ms\njob j1\npass 10ms\n> renew w1 told 0\nwrite\n> start j1.0.0.0 run 1 on w1")
	s.run("start j1.0.0.0 unknown\npass 500ms\nrenew w1 carried\npass 10ms\n> renew w1 told 0\npass 2s\nrenew w1 carried")
	s.run("pass 10ms\n> renew w1 told 0\npass 1500ms\nrenew w1 carried")
	s.d.Assure(s.now)
	s.run("pass 10ms\n> start j1.0.0.0 run 1 on w1\n> renew w1 told 0")
}
