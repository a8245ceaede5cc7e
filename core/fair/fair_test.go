package fair_test

import (
	"errors"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"curlewsill.org/curlewsill/core/fair"
)

// TestShares checks that flows which always have waiting elements are served in
// proportion to their weights, in whatever order their elements were added.
func TestShares(t *testing.T) {
	p := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	p.Property("shares follow weights", prop.ForAll(func(a, b int, bFirst bool) bool {
		q := fair.New[string, string](1000)
		push := func(k string, w int) {
			for range 400 {
				_ = q.Push(k, w, k)
			}
		}
		if bFirst {
			push("b", b)
			push("a", a)
		} else {
			push("a", a)
			push("b", b)
		}
		const n = 200
		got := 0
		for range n {
			if v, _ := q.Pop(); v == "a" {
				got++
			}
		}
		want := n * a / (a + b)
		return got >= want-2 && got <= want+2
	}, gen.IntRange(1, 9), gen.IntRange(1, 9), gen.Bool()))
	p.TestingRun(t)
}

// TestBound checks that a full queue refuses further elements.
func TestBound(t *testing.T) {
	q := fair.New[int, int](2)
	for i, want := range []error{nil, nil, fair.ErrFull} {
		if err := q.Push(0, 1, i); !errors.Is(err, want) {
			t.Errorf("push %d: %v, want %v", i, err, want)
		}
	}
}
