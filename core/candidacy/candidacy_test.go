package candidacy_test

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"curlewsill.org/curlewsill/core/candidacy"
	"curlewsill.org/curlewsill/core/election"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/scripttest"
	"curlewsill.org/curlewsill/core/unit"
)

// TestScripts runs the scripts in testdata, each with the candidacy of one host
// with an ability of 100. It is self among the candidates and small-1 among the
// reserves.
//
//	candidates GROUP...     records a poll of the candidates
//	reserves GROUP...       records a poll of the reserves
//	role candidate|reserve|undecided
//	                        checks the role
//	needs reserves|nothing  checks whether the reserves must be polled
//
// A GROUP is NAME=ABILITY, or NAME*N=ABILITY for NAME-1 to NAME-N.
func TestScripts(t *testing.T) {
	scripttest.Each(t, run)
}

func run(t *testing.T, text string) {
	e := election.New(election.Member{Host: "self", Ability: 100})
	c := candidacy.New(election.Member{Host: "small-1", Ability: 100})
	now := unit.At(time.Unix(1000, 0))
	for i, l := range strings.Split(text, "\n") {
		f := strings.Fields(l)
		if len(f) == 0 || strings.HasPrefix(l, "#") {
			continue
		}
		switch f[0] {
		case "candidates":
			members := parse(t, f[1:])
			e.ObserveGroup(now, members, "")
			c.ObserveCandidates(len(members), e)
		case "reserves":
			c.ObserveReserves(parse(t, f[1:]))
		case "role":
			got := "undecided"
			switch {
			case c.Candidate():
				got = "candidate"
			case c.Reserve():
				got = "reserve"
			}
			if got != f[1] {
				t.Errorf("line %d: %s: got %s", i+1, l, got)
			}
		case "needs":
			if got := c.NeedsReserves(); got != (f[1] == "reserves") {
				t.Errorf("line %d: %s: got %t", i+1, l, got)
			}
		default:
			t.Fatalf("line %d: unknown command %q", i+1, f[0])
		}
	}
}

// parse parses groups of members.
func parse(t *testing.T, groups []string) []election.Member {
	var out []election.Member
	for _, g := range groups {
		name, ability, _ := strings.Cut(g, "=")
		name, count, repeated := strings.Cut(name, "*")
		n, err := strconv.Atoi(cmp.Or(count, "1"))
		if err != nil {
			t.Fatal(err)
		}
		a, err := strconv.Atoi(ability)
		if err != nil {
			t.Fatal(err)
		}
		for k := range n {
			host := name
			if repeated {
				host = fmt.Sprintf("%s-%d", name, k+1)
			}
			out = append(out, election.Member{Host: id.Host(host), Ability: a})
		}
	}
	return out
}
