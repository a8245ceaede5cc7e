package agenda_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"curlewsill.org/curlewsill/core/agenda"
	"curlewsill.org/curlewsill/core/unit"
)

// TestOrder adds and takes events at random. It checks that they are taken in
// the order of time, and in the order of addition if their times are equal.
func TestOrder(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var a agenda.Agenda[int]
	var want [][2]int
	for n := range 5000 {
		if at, ok := a.Next(); ok && random.IntN(3) == 0 {
			slices.SortFunc(want, func(x, y [2]int) int { return slices.Compare(x[:], y[:]) })
			got, event := a.Pop()
			if got != at || [2]int{int(got), event} != want[0] {
				t.Fatalf("took %d at %d, want %v", event, got, want[0])
			}
			want = want[1:]
			continue
		}
		at := random.IntN(50)
		a.Add(unit.Instant(at), n)
		want = append(want, [2]int{at, n})
	}
	if _, ok := a.Next(); ok != (len(want) > 0) {
		t.Error("the agenda and the expected events differ in length")
	}
}
