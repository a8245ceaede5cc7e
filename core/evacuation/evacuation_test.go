package evacuation_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"

	"curlewsill.org/curlewsill/core/evacuation"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/scripttest"
)

// TestScripts runs the scripts of testdata. A line is a command; the lines after
// it that begin with > are the changes that it must cause.
//
//	record OFFSET evacuate|open DOMAIN  applies a record of the operator's log
//	newest END [DOMAIN]...              applies the newest records of a log with
//	                                    that end offset, which evacuate these domains
//	domains [DOMAIN]...                 checks that just these are evacuated
func TestScripts(t *testing.T) {
	scripttest.Each(t, func(t *testing.T, text string) {
		var s evacuation.Set
		var got, want []string
		check := func(line int) {
			if !slices.Equal(got, want) {
				t.Errorf("before line %d: got %q, want %q", line+1, got, want)
			}
			got, want = nil, nil
		}
		lines := strings.Split(text, "\n")
		for i, l := range lines {
			if change, ok := strings.CutPrefix(l, "> "); ok {
				want = append(want, change)
				continue
			}
			if l == "" || strings.HasPrefix(l, "#") {
				continue
			}
			check(i)
			got = execute(t, &s, strings.Fields(l))
		}
		check(len(lines))
	})
}

// execute runs one command and returns the changes that it causes.
func execute(t *testing.T, s *evacuation.Set, f []string) []string {
	switch f[0] {
	case "record":
		if c, ok := s.Apply(offset(t, f[1]), id.Domain(f[3]), f[2] == "evacuate"); ok {
			return []string{text(c)}
		}
	case "newest":
		var out []string
		for _, c := range s.Replace(offset(t, f[1]), domains(f[2:])) {
			out = append(out, text(c))
		}
		return out
	case "domains":
		if got := s.Domains(); !slices.Equal(got, domains(f[1:])) {
			t.Errorf("%v: got %v", f, got)
		}
		for _, d := range domains(f[1:]) {
			if !s.Has(d) {
				t.Errorf("%v: domain %s is not evacuated", f, d)
			}
		}
	default:
		t.Fatalf("unknown command %q", f[0])
	}
	return nil
}

func offset(t *testing.T, text string) id.Offset {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return id.Offset(n)
}

func domains(names []string) []id.Domain {
	var out []id.Domain
	for _, n := range names {
		out = append(out, id.Domain(n))
	}
	return out
}

func text(c evacuation.Change) string {
	if c.Evacuated {
		return fmt.Sprintf("%s evacuated since %d", c.Domain, c.Since)
	}
	return fmt.Sprintf("%s open since %d", c.Domain, c.Since)
}
