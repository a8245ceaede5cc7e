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
