package dispatch_test

import (
	"testing"
	"time"
)

// TestPlacesNothingWithoutGrants guards against placements while no lease may
// be granted, because nothing confirms that no other host is the owner,
// although the store accepts records.
//
// Each pass placed the task, and each batch withdrew it for the lack of a
// lease. That cost a record and a run number each time, a hundred times a
// second, until the next confirmation.
func TestPlacesNothingWithoutGrants(t *testing.T) {
	s := newScript(t)
	s.d.ConfirmSoleOwner(s.now)
	s.run("worker w1\npass\n> renew w1 told 0\nrenew w1 carried\npass 4s\njob j1")
	for range 10 {
		s.run("pass 10ms\nwrite\nwrite")
	}
	s.d.ConfirmSoleOwner(s.now)
	s.run("pass 10ms\n> renew w1 told 0\nwrite\n> start j1.0.0.0 run 1 on w1")
}

// TestTakesNothingDownWithoutGrants guards against maintenance orders by an
// owner that may have been replaced without knowing.
//
// Such an owner ordered machines to be taken down that were empty as far as it
// knew, although the next owner may have started tasks there, and may have
// taken down as many machines as the wave allows.
func TestTakesNothingDownWithoutGrants(t *testing.T) {
	s := newScript(t)
	s.d.ConfirmSoleOwner(s.now)
	s.run("worker w1 machine=m1\npass\n> renew w1 told 0\nrenew w1 carried\nwave 1 60s 1 m1\n> report wave 1 finished false\npass 10ms\nwrite\npass 4s")
	s.d.ConfirmSoleOwner(s.now)
	s.run("pass 10ms\n> upkeep m1 of wave 1")
}

// TestGrantsSoonAfterAssurance guards against leases that expire after an owner
// could not confirm for 5 s that no other host is the owner. In the last 2 s of
// that time it grants no lease. Leases last 6 s, and the worker answers every
// renewal.
//
// A renewal that was sent during these 2 s granted nothing, and waited 2 s at
// the worker for something to report, like any other. The next renewal that
// granted a lease was sent only after that wait. This was 6.03 s after the
// previous grant, when every lease on the worker had expired.
func TestGrantsSoonAfterAssurance(t *testing.T) {
	s := newScript(t)
	s.run("lease 6s")
	s.d.ConfirmSoleOwner(s.now)
	s.run("worker w1\npass\n> renew w1 told 0\nrenew w1 carried\njob j1 lasts\npass 10ms\n> renew w1 told 0\nwrite\n> start j1.0.0.0 run 1 on w1")
	s.run("start j1.0.0.0 carried\nrenew w1 carried run j1.0.0.0 1 100")
	assured, granted := s.now, s.now
	answerAt := s.now // when the renewal in flight is answered
	for s.now.Sub(assured) < 9*time.Second {
		s.now = s.now.Add(10 * time.Millisecond)
		elapsed := s.now.Sub(assured)
		// For about 5 s the owner can't confirm that it is the only one: the
		// last confirmation before that is 1 s after the start, the next one
		// 6.05 s after it.
		if elapsed <= time.Second || elapsed >= 6050*time.Millisecond {
			s.d.ConfirmSoleOwner(s.now)
		}
		s.d.Pass(s.now, s.now)
		s.collect()
		if s.sent["w1"] == s.now {
			answerAt = s.now.Add(max(10*time.Millisecond, s.waits["w1"]))
			if s.renews["w1"].Until > 0 {
				if gap := s.now.Sub(granted); gap > 5*time.Second {
					t.Errorf("%s between two renewals that grant a lease, the second sent %s after the last confirmation", gap, elapsed-time.Second)
				}
				granted = s.now
			}
		}
		if s.now == answerAt {
			s.run("renew w1 carried run j1.0.0.0 1 100")
		}
	}
}

// TestPatienceCountsOrders guards against giving up a run because its worker
// ignores orders to start when only one order was sent. From right after that
// order, which got no answer, until 4 s later, nothing confirms that no other
// host is the owner.
//
// The order wasn't repeated in these 4 s, because it would have granted a
// lease. After them the run was stopped as if its worker answered renewals but
// ignored start orders, and the failure was counted against the worker.
func TestPatienceCountsOrders(t *testing.T) {
	s := newScript(t)
	s.d.ConfirmSoleOwner(s.now)
	s.run("worker w1\npass\n> renew w1 told 0\nrenew w1 carried\npass 2900ms\njob j1\npass 10ms\n> renew w1 told 0\nwrite\n> start j1.0.0.0 run 1 on w1")
	s.run("start j1.0.0.0 unknown\npass 500ms\nrenew w1 carried\npass 10ms\n> renew w1 told 0\npass 2s\nrenew w1 carried")
	s.run("pass 10ms\n> renew w1 told 0\npass 1500ms\nrenew w1 carried")
	s.d.ConfirmSoleOwner(s.now)
	s.run("pass 10ms\n> start j1.0.0.0 run 1 on w1\n> renew w1 told 0")
}
