package chart_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"curlewsill.org/curlewsill/core/world"
	"curlewsill.org/curlewsill/internal/experiment/chart"
	"curlewsill.org/curlewsill/internal/experiment/result"
)

// TestDraw draws a report twice in each format. All charts must exist, and both
// drawings must be the same to the byte.
func TestDraw(t *testing.T) {
	for _, x := range []struct {
		format chart.Format
		magic  string
	}{{chart.SVG, "<svg"}, {chart.PNG, "\x89PNG"}} {
		t.Run(string(x.format), func(t *testing.T) { drawTwice(t, x.format, x.magic) })
	}
}

func drawTwice(t *testing.T, format chart.Format, magic string) {
	t.Helper()
	r := &result.Report{
		Policies: []string{"a", "b", "none"},
		Runs: []result.Run{
			{Policy: "a", Seed: 1, Worth: 0.5, Samples: samples(), Kinds: []result.Kind{{Kind: "k", Arrived: 3, CompletionTimes: []float64{1, 2, 3}}}},
			{Policy: "b", Seed: 1, Worth: 0.7, Samples: samples(), Kinds: []result.Kind{{Kind: "k", Arrived: 3}}},
		},
	}
	r.Summarize()
	dirs := []string{t.TempDir(), t.TempDir()}
	for _, d := range dirs {
		if err := chart.Draw(d, format, r); err != nil {
			t.Fatal(err)
		}
	}
	for _, name := range []string{"completion-k", "use", "fragmentation", "waiting", "worth"} {
		name += "." + string(format)
		a, err := os.ReadFile(filepath.Join(dirs[0], name))
		if err != nil {
			t.Fatal(err)
		}
		b, err := os.ReadFile(filepath.Join(dirs[1], name))
		if err != nil || !bytes.Equal(a, b) || !bytes.Contains(a, []byte(magic)) {
			t.Errorf("%s: the drawings of %d and %d bytes differ or have the wrong format, %v", name, len(a), len(b), err)
		}
	}
}

// TestNoRuns checks that a report without runs gives no charts.
func TestNoRuns(t *testing.T) {
	d := t.TempDir()
	if err := chart.Draw(d, chart.SVG, &result.Report{Policies: []string{"a"}}); err != nil {
		t.Fatal(err)
	}
	if files, _ := os.ReadDir(d); len(files) != 0 {
		t.Errorf("a report without runs gave %d files", len(files))
	}
}

func samples() []world.Sample {
	return []world.Sample{{At: time.Second, Utilization: 0.5}, {At: 2 * time.Second, Utilization: 0.7, Fragmentation: 0.2, Waiting: 4}}
}
