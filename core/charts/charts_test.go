package charts_test

import (
	"io/fs"
	"strings"
	"testing"

	"curlewsill.org/curlewsill/core/chart"
	"curlewsill.org/curlewsill/core/charts"
)

// TestWalk parses every chart and checks that Next returns the target state of
// each transition, and that each state with an outgoing transition is reachable
// from the start.
func TestWalk(t *testing.T) {
	names, err := fs.Glob(charts.Files, "*.chart")
	if err != nil || len(names) != 8 {
		t.Fatalf("charts: %v, %v", names, err)
	}
	for _, file := range names {
		t.Run(file, func(t *testing.T) {
			c, err := chart.Parse[string, string](file, charts.Read(strings.TrimSuffix(file, ".chart")))
			if err != nil {
				t.Fatal(err)
			}
			seen := map[string]bool{c.Start(): true}
			for range c.Transitions() {
				for _, tr := range c.Transitions() {
					to, err := c.Next(tr.From, tr.Event)
					if err != nil || to != tr.To {
						t.Errorf("%v leads to %s, %v", tr, to, err)
					}
					seen[tr.To] = seen[tr.To] || seen[tr.From]
				}
			}
			for _, tr := range c.Transitions() {
				if !seen[tr.From] {
					t.Errorf("state %s can't be reached", tr.From)
				}
			}
		})
	}
}
