package soak

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// TestPlanted judges recorded histories, each with a fault planted in it. The line "# fails CHECK: how"
// names what must be found, and "# keeps: how" begins a history without a fault beside it; nothing else may
// be found.
func TestPlanted(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("testdata", "planted", "*.txt"))
	if err != nil || len(files) == 0 {
		t.Fatal("no histories", err)
	}
	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) {
			data, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			for part := range strings.SplitSeq("\n"+string(data), "\n# ") {
				judgePart(t, part)
			}
		})
	}
}

// judgePart judges one history of a file.
func judgePart(t *testing.T, part string) {
	t.Helper()
	head, _, _ := strings.Cut(part, "\n")
	want, failing := strings.CutPrefix(head, "fails ")
	if !failing && !strings.HasPrefix(head, "keeps") {
		return // a comment
	}
	want, _, _ = strings.Cut(want, ":")
	events, err := readEvents(strings.NewReader(part))
	if err != nil || len(events) == 0 {
		t.Fatal(head, len(events), err)
	}
	if got := checksOf(judged(events)); failing && !slices.Equal(got, []string{want}) || !failing && len(got) > 0 {
		t.Errorf("%s: found %v", head, got)
	}
}

// TestRecorded judges a file of events again, such as a failed seed leaves behind; by default that of
// a short run in which nothing was broken.
func TestRecorded(t *testing.T) {
	f, err := os.Open(*recordedFlag)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	events, err := readEvents(f)
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range judged(events) {
		t.Error(v)
	}
}

// judged returns what a history breaks.
func judged(events []event) []violation {
	j := newJudge()
	for _, e := range events {
		j.handle(e)
	}
	return j.violations
}

// checksOf returns the names of the checks that found something.
func checksOf(vs []violation) []string {
	var out []string
	for _, v := range vs {
		out = append(out, v.Check)
	}
	slices.Sort(out)
	return slices.Compact(out)
}
