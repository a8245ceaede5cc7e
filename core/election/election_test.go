package election_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"curlewsill.org/curlewsill/core/election"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/scripttest"
	"curlewsill.org/curlewsill/core/unit"
)

// TestScripts runs the scripts in testdata, each against the election of one host:
//
//	self HOST[=ABILITY]
//	look TIME OWNER MEMBER[=ABILITY]...  records a poll of the group;
//	                                     OWNER is - if there is none
//	owned TIME                           this host has become the owner
//	yields TIME true|false               checks whether it hands over to another host
//	released TIME                        the owner has released ownership
//	claimed TIME                         a new claim is in the store
//	known OWNER                          this host learns who the owner is
//	claim TIME true|false                checks whether this host claims
//	standby true|false                   checks whether it is among the first to claim
//	next D                               checks the pause until the next poll
//	heard TIME OWNER                     the owner has answered a probe of this host
//	unanswered OWNER                     a probe of this host timed out
//	gone OWNER                           the owner's address refused the connection
//	misses TIME OWNER true|false         checks whether the owner is unresponsive to this host
//	witness TIME OWNER true|false        checks what it answers to another watcher
//	agreed TIME OWNER OTHERS true|false  the owner is unresponsive to OTHERS other watchers;
//	                                     checks whether it is now considered failed
//	watchers OWNER HOST...               checks which hosts probe the owner
func TestScripts(t *testing.T) {
	scripttest.Each(t, run)
}

func run(t *testing.T, text string) {
	var e *election.Election
	for i, l := range strings.Split(text, "\n") {
		f := strings.Fields(l)
		if len(f) == 0 || strings.HasPrefix(l, "#") {
			continue
		}
		switch f[0] {
		case "self":
			e = election.New(member(t, f[1]))
		case "look":
			e.ObserveGroup(at(t, f[1]), members(t, f[3:]), id.Host(strings.TrimPrefix(f[2], "-")))
		case "released":
			e.ObserveRelease(at(t, f[1]))
		case "owned":
			e.BecomeOwner(at(t, f[1]))
		case "yields":
			expect(t, i, l, e.ShouldHandOver(at(t, f[1])), f[2])
		case "claimed":
			e.ObserveClaim(at(t, f[1]))
		case "claim":
			expect(t, i, l, e.ShouldClaim(at(t, f[1])), f[2])
		case "next":
			if got := e.PollInterval().String(); got != f[1] {
				t.Errorf("line %d: %s: got %s", i+1, l, got)
			}
		case "standby":
			expect(t, i, l, e.Standby(), f[1])
		default:
			runProbeCommand(t, e, i, f)
		}
	}
}

// runProbeCommand runs the commands about liveness probes of the owner.
func runProbeCommand(t *testing.T, e *election.Election, i int, f []string) {
	line := strings.Join(f, " ")
	switch f[0] {
	case "known":
		e.LearnOwner(id.Host(f[1]))
	case "heard":
		e.ProbeAnswered(at(t, f[1]), id.Host(f[2]))
	case "unanswered":
		e.ProbeTimedOut(id.Host(f[1]))
	case "gone":
		e.ProbeRefused(id.Host(f[1]))
	case "misses":
		expect(t, i, line, e.OwnerUnresponsive(at(t, f[1]), id.Host(f[2])), f[3])
	case "witness":
		expect(t, i, line, e.ConfirmUnresponsive(at(t, f[1]), id.Host(f[2])), f[3])
	case "agreed":
		n, err := strconv.Atoi(f[3])
		if err != nil {
			t.Fatal(err)
		}
		expect(t, i, line, e.RecordAgreement(at(t, f[1]), id.Host(f[2]), n), f[4])
	case "watchers":
		got := e.Watchers(id.Host(f[1]))
		expect(t, i, line+fmt.Sprintf(" (%v)", got), slices.Equal(got, hosts(f[2:])), "true")
	default:
		t.Fatalf("line %d: unknown command %q", i+1, f[0])
	}
}

func hosts(names []string) []id.Host {
	var out []id.Host
	for _, n := range names {
		out = append(out, id.Host(n))
	}
	return out
}

func members(t *testing.T, names []string) []election.Member {
	var out []election.Member
	for _, n := range names {
		out = append(out, member(t, n))
	}
	return out
}

// member parses HOST[=ABILITY]; the ability is 0 if absent.
func member(t *testing.T, text string) election.Member {
	name, ability, given := strings.Cut(text, "=")
	m := election.Member{Host: id.Host(name)}
	if !given {
		return m
	}
	n, err := strconv.Atoi(ability)
	if err != nil {
		t.Fatal(err)
	}
	m.Ability = n
	return m
}

func at(t *testing.T, text string) unit.Instant {
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return unit.At(time.Unix(1000, 0)).Add(d)
}

func expect(t *testing.T, line int, text string, got bool, want string) {
	if got != (want == "true") {
		t.Errorf("line %d: %s: got %t", line+1, text, got)
	}
}
