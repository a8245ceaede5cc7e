package dispatch_test

import "testing"

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
