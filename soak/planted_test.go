package soak

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// TestPlanted checks that the judge finds the violations that are planted in
// histories of events. The line "# fails CHECK: description" begins a history
// in which exactly this check must fail. The line "# keeps: description" begins
// a similar history in which no check may fail.
func TestPlanted(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("testdata", "planted", "*.txt"))
	if err != nil || len(files) == 0 {
		t.Fatal("testdata/planted holds no histories", err)
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

// judgePart judges one part of a file: the text after "# " up to the next one.
// A part that begins with neither "fails" nor "keeps" is a comment.
func judgePart(t *testing.T, part string) {
	t.Helper()
	head, _, _ := strings.Cut(part, "\n")
	want, mustFail := strings.CutPrefix(head, "fails ")
	if !mustFail && !strings.HasPrefix(head, "keeps") {
		return // a comment
	}
	want, _, _ = strings.Cut(want, ":")
	events, err := readEvents(strings.NewReader(part))
	if err != nil || len(events) == 0 {
		t.Fatal(head, len(events), err)
	}
	if got := checksOf(judged(events)); mustFail && !slices.Equal(got, []string{want}) || !mustFail && len(got) > 0 {
		t.Errorf("%s: found %v", head, got)
	}
}

// TestRecorded judges a file of events, such as that of a failed seed, again.
// By default it is the file of a short run without violations.
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

// judged returns the violations in a history.
func judged(events []event) []violation {
	j := newJudge()
	for _, e := range events {
		j.handle(e)
	}
	return j.violations
}

// checksOf returns the names of the checks that failed.
func checksOf(vs []violation) []string {
	var out []string
	for _, v := range vs {
		out = append(out, v.Check)
	}
	slices.Sort(out)
	return slices.Compact(out)
}
