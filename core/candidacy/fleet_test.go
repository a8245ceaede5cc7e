package candidacy_test

import (
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

const (
	// The intervals of the polls in a fleet: of candidates, of reserves, and of
	// reserves while there are too few candidates.
	candidatePoll = 1200 * time.Millisecond
	reservePoll   = 2 * time.Second
	shortPoll     = 500 * time.Millisecond
	// fleetStep is the time between two moments of a simulated fleet.
	fleetStep = 100 * time.Millisecond
	// listingSteps is how many steps it takes until the group shows a change.
	listingSteps = 5
)

// fleetHost is a simulated host.
type fleetHost struct {
	member election.Member
	role   *candidacy.Candidacy
	up     bool
	polls  unit.Instant
}

// fleet is a number of hosts with one group of candidates.
type fleet struct {
	now   unit.Instant
	hosts []*fleetHost
	// last is the owner's record; known is false if there is none.
	last  election.Member
	known bool
	// history has the candidates of the last steps, the newest last.
	history [][]election.Member
	// peak is the greatest number of candidates since hosts were lost.
	peak int
}

// TestFleets runs the scripts in testdata/fleets, each with many hosts:
//
//	hosts N ABILITY          adds N hosts of an ability, which start at once
//	run D                    lets time pass
//	record                   the owner records the last candidate
//	lose candidates|able     the candidates, or the hosts of ability 500, fail
//	restart                  all hosts that are up start again
//	candidates MIN MAX       checks how many candidates are up
//	peak MAX                 checks how many were up at the same time since the loss
//
// It guards against fleets in which all hosts become candidates at the same
// moment, and against fleets without candidates.
func TestFleets(t *testing.T) {
	scripttest.EachIn(t, "fleets", func(t *testing.T, text string) {
		f := &fleet{now: unit.At(time.Unix(1000, 0))}
		for i, l := range strings.Split(text, "\n") {
			w := strings.Fields(l)
			if len(w) == 0 || strings.HasPrefix(l, "#") {
				continue
			}
			if err := f.do(w); err != nil {
				t.Errorf("line %d: %s: %v", i+1, l, err)
			}
		}
	})
}

// do runs one line of a script.
func (f *fleet) do(w []string) error {
	switch w[0] {
	case "hosts":
		n, nErr := strconv.Atoi(w[1])
		ability, abilityErr := strconv.Atoi(w[2])
		if nErr != nil || abilityErr != nil {
			return fmt.Errorf("%v, %v", nErr, abilityErr)
		}
		for range n {
			h := &fleetHost{member: election.Member{Host: id.Host(fmt.Sprintf("host-%d", len(f.hosts))), Ability: ability}, up: true}
			f.hosts = append(f.hosts, h)
			f.start(h, len(f.hosts))
		}
	case "run":
		d, err := time.ParseDuration(w[1])
		if err != nil {
			return err
		}
		for range d / fleetStep {
			f.step()
		}
	case "record":
		for _, h := range f.hosts {
			if h.up && h.role.Candidate() {
				f.last, f.known = h.role.Last()
			}
		}
	case "lose":
		for _, h := range f.hosts {
			h.up = h.up && !(w[1] == "able" && h.member.Ability == 500 || w[1] == "candidates" && h.role.Candidate())
		}
		f.peak = 0
	case "peak":
		if !between(f.peak, "0", w[1]) {
			return fmt.Errorf("there were %d", f.peak)
		}
	case "restart":
		for i, h := range f.hosts {
			f.start(h, i)
		}
	case "candidates":
		if n := len(f.candidates()); !between(n, w[1], w[2]) {
			return fmt.Errorf("there are %d", n)
		}
	default:
		return fmt.Errorf("unknown command")
	}
	return nil
}

// between reports whether n lies between two numbers.
func between(n int, least, most string) bool {
	a, aErr := strconv.Atoi(least)
	b, bErr := strconv.Atoi(most)
	return aErr == nil && bErr == nil && a <= n && n <= b
}

// start starts an incarnation of a host. Hosts poll at different moments.
func (f *fleet) start(h *fleetHost, number int) {
	jitter := float64(number%97) / 97
	h.role = candidacy.New(h.member, jitter)
	h.role.Begin(f.last, f.known)
	h.polls = f.now.Add(time.Duration(jitter * float64(shortPoll)))
}

// step lets fleetStep pass.
func (f *fleet) step() {
	f.now = f.now.Add(fleetStep)
	f.history = append(f.history, f.candidates())
	f.peak = max(f.peak, len(f.candidates()))
	group := f.history[max(0, len(f.history)-1-listingSteps)]
	for _, h := range f.hosts {
		if !h.up || f.now < h.polls {
			continue
		}
		h.role.Observe(f.now, group)
		switch {
		case h.role.Short():
			h.polls = f.now.Add(shortPoll)
		case h.role.Reserve():
			h.polls = f.now.Add(reservePoll)
		default:
			h.polls = f.now.Add(candidatePoll)
		}
	}
}

// candidates returns the candidates that are up.
func (f *fleet) candidates() []election.Member {
	var out []election.Member
	for _, h := range f.hosts {
		if h.up && h.role.Candidate() {
			out = append(out, h.member)
		}
	}
	return out
}
