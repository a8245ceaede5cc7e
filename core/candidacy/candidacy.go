// Package candidacy decides whether a host is a candidate for the ownership of
// scheduling, or a reserve.
//
// The hosts of a site form two groups in the platform's store. The candidates
// renew their membership often, poll their group often and follow the state of
// all jobs, so that one of them replaces a failed owner soon. At a site with
// hundreds of hosts, all of them together would load the store more than it can
// bear. Only about Wanted hosts are candidates there, those of the highest
// ability; the others are reserves. If candidates fail, reserves take their
// places, so that an owner is found after the loss of any hosts.
package candidacy

import (
	"slices"

	"curlewsill.org/curlewsill/core/election"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/rank"
)

const (
	// Wanted is the number of candidates below which reserves become candidates.
	Wanted = 64
	// tooMany is the position from which a candidate becomes a reserve. The
	// distance to Wanted keeps hosts from changing their role repeatedly while
	// others come and go.
	tooMany = 96
	// shortPolls is the number of consecutive polls of the candidates that must
	// show fewer than Wanted before reserves become candidates. A single poll
	// may lack live hosts while the store reassigns the group's partitions.
	shortPolls = 2
	// rankKey is the hash key by which reserves of equal ability are ranked.
	rankKey = "candidate"
)

// role is the role of a host.
type role int

const (
	undecided role = iota
	candidate
	reserve
)

// Candidacy is one host's view of its role. In the zero value the role is
// unknown, and it may not be passed polls; call New.
type Candidacy struct {
	// self is the host as a member of the reserves. All its incarnations have the
	// same name there.
	self election.Member
	role role
	// candidates is the number of candidates in the newest poll of their group.
	candidates int
	// short counts the consecutive polls with fewer than Wanted candidates.
	short int
	// listed is set if the newest poll of the reserves has shown this host.
	listed bool
}

// New returns the candidacy of a host that has just started. self is the host as
// a member of the reserves, under a name that all its incarnations share.
func New(self election.Member) *Candidacy { return &Candidacy{self: self} }

// Candidate reports whether the host is a candidate.
func (c *Candidacy) Candidate() bool { return c.role == candidate }

// Reserve reports whether the host is a reserve.
func (c *Candidacy) Reserve() bool { return c.role == reserve }

// NeedsReserves reports whether the reserves must be polled: after the host's
// start, while there are too few candidates, and until this host is listed among
// the reserves. If it isn't, their group needs more room.
func (c *Candidacy) NeedsReserves() bool {
	return c.role == undecided || c.role == reserve && (c.short >= shortPolls || !c.listed)
}

// Short reports whether the host is a reserve and the newest poll of the
// candidates showed too few of them.
func (c *Candidacy) Short() bool { return c.role == reserve && c.short > 0 }

// ObserveCandidates records a poll of the candidates. The election is that of
// the host, which has recorded the same poll.
func (c *Candidacy) ObserveCandidates(candidates int, e *election.Election) {
	c.candidates = candidates
	if candidates < Wanted {
		c.short++
	} else {
		c.short = 0
	}
	if c.role == candidate && e.Position() >= tooMany {
		c.role, c.listed = reserve, false
	}
}

// ObserveReserves records a poll of the reserves. A host that has just started
// remains what its earlier incarnation was: if all hosts start together, the
// candidates' group is empty, and every host would become a candidate. The
// membership of a reserve must last longer than a restart for this. A reserve
// that isn't listed doesn't become a candidate, because the owner doesn't know
// it: while the store is unavailable, the owner relies on the confirmation of all
// hosts that may take the ownership.
func (c *Candidacy) ObserveReserves(reserves []election.Member) {
	c.listed = slices.ContainsFunc(reserves, func(m election.Member) bool { return m.Host == c.self.Host })
	switch {
	case c.role == undecided && c.listed:
		c.role = reserve
	case c.role == undecided:
		c.role = candidate
	case c.role == reserve && c.short >= shortPolls && c.listed && c.takesPlace(reserves):
		c.role = candidate
	}
}

// takesPlace reports whether the host is among the reserves that take the places
// of missing candidates: those of the highest ability, and of equal ones those
// that rank first.
func (c *Candidacy) takesPlace(reserves []election.Member) bool {
	before := 0
	var equals []id.Host
	for _, m := range reserves {
		switch {
		case m.Host == c.self.Host:
		case m.Ability > c.self.Ability:
			before++
		case m.Ability == c.self.Ability:
			equals = append(equals, m.Host)
		}
	}
	return before+rank.Of(c.self.Host, rankKey, equals) < Wanted-c.candidates
}
