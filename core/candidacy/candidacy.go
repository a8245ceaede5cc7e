// Package candidacy decides whether a host is a candidate for the ownership of
// scheduling, or a reserve.
//
// The candidates are a group in the platform's store. They renew their membership
// often, poll the group often and follow the state of all jobs, so that one of
// them replaces a failed owner soon. At a site with hundreds of hosts, all of
// them together would load the store more than it can bear. Only Wanted to
// tooMany hosts are candidates there, those of the highest ability; the others
// are reserves and not in the group. If candidates fail, reserves take their
// places, so that an owner is found after the loss of any hosts.
//
// The owner keeps a record of the last host that is to be a candidate. If all
// hosts start together, the group is empty, and without the record every host
// would become a candidate.
package candidacy

import (
	"cmp"
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/election"
	"curlewsill.org/curlewsill/core/rank"
	"curlewsill.org/curlewsill/core/unit"
)

const (
	// Wanted is the number of candidates below which reserves become candidates.
	Wanted = 64
	// tooMany is the position from which a candidate becomes a reserve. The
	// distance to Wanted keeps hosts from changing their role repeatedly while
	// others come and go.
	tooMany = 96
	// shortPolls is the number of consecutive polls that must show fewer than
	// Wanted candidates before reserves become candidates. A single poll may lack
	// live hosts while the store reassigns the group's partitions.
	shortPolls = 2
	// stepUpWindow is the time over which the reserves spread when they become
	// candidates. Each waits for its own part of it, so that most of them see
	// that others have taken the places.
	stepUpWindow = 8 * time.Second
	// loadFirst is the number of hosts, the first to claim, that load the jobs at
	// once. loadStagger is the delay between the loads of the others. One load is
	// enough for an owner, and 64 at once take longer than 3 s at a store that
	// delivers 80 MB/s. loadStagger is shorter than the delay between the claims
	// of two hosts, so that a host has the jobs when its turn to claim comes.
	loadFirst   = 8
	loadStagger = 100 * time.Millisecond
	// settleTime is how long a host waits after its first poll if that shows fewer
	// than Wanted candidates. If all hosts start together, the first polls come
	// before the others are listed, and each host seems to be the first.
	settleTime = 150 * time.Millisecond
	// maxLoadDelay is how long after its start a candidate loads the jobs in any
	// case, for example if the store refuses its polls.
	maxLoadDelay = 8 * time.Second
	// rankKey is the hash key by which hosts of equal ability are ordered.
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
//
// All members have names that the incarnations of a host share, so that a host
// has the same role after a restart.
type Candidacy struct {
	self election.Member
	// delay is the host's part of stepUpWindow.
	delay time.Duration
	role  role
	// members is the newest poll of the candidates, in their order.
	members []election.Member
	// short counts the consecutive polls with fewer than Wanted candidates;
	// shortSince is when the first of them was made.
	short      int
	shortSince unit.Instant
	// observedSince is when the first poll was made; 0 before.
	observedSince unit.Instant
	// askedSince is when ShouldLoad was first called for a candidate; 0 before.
	askedSince unit.Instant
	// loads is set once the host's turn to load the jobs has come.
	loads bool
	// large is set once the site is known to have had Wanted hosts.
	large bool
}

// New returns the candidacy of a host that has just started. jitter is a random
// number from 0 to 1.
func New(self election.Member, jitter float64) *Candidacy {
	return &Candidacy{self: self, delay: time.Duration(jitter * float64(stepUpWindow))}
}

// Candidate reports whether the host is a candidate.
func (c *Candidacy) Candidate() bool { return c.role == candidate }

// Reserve reports whether the host is a reserve.
func (c *Candidacy) Reserve() bool { return c.role == reserve }

// Short reports whether the host is a reserve and the newest poll showed too few
// candidates.
func (c *Candidacy) Short() bool { return c.role == reserve && c.short > 0 }

// Begin sets the role of a host that has just started. last is the last host that
// is to be a candidate by the owner's record; known is false if there is none.
func (c *Candidacy) Begin(last election.Member, known bool) {
	c.role, c.large = candidate, known
	if known && compare(c.self, last) > 0 {
		c.role = reserve
	}
}

// Observe records a poll of the candidates.
func (c *Candidacy) Observe(now unit.Instant, members []election.Member) {
	if c.observedSince == 0 {
		c.observedSince = now
	}
	c.members = slices.SortedFunc(slices.Values(members), compare)
	c.countShort(now)
	switch {
	case c.role == candidate && c.position() >= tooMany:
		c.role, c.loads = reserve, false
	case c.role == reserve && c.short >= shortPolls && now.Sub(c.shortSince) >= c.delay:
		c.role = candidate
	}
}

// countShort counts the newest poll if it showed too few candidates.
func (c *Candidacy) countShort(now unit.Instant) {
	if len(c.members) >= Wanted {
		c.short, c.large = 0, true
		return
	}
	if c.short == 0 {
		c.shortSince = now
	}
	c.short++
}

// ShouldLoad reports whether the host should hold the jobs. At a site that is
// known to be large, the candidates load them one after the other, in the order
// of their claims. before is how many candidates would claim before this host.
// While the host is a candidate, the result stays true.
func (c *Candidacy) ShouldLoad(now unit.Instant, before int) bool {
	if c.role != candidate {
		return false
	}
	if c.askedSince == 0 {
		c.askedSince = now
	}
	c.loads = c.loads || !c.large || c.turnCame(now, before)
	return c.loads
}

// turnCame reports whether the host's turn to load the jobs has come.
func (c *Candidacy) turnCame(now unit.Instant, before int) bool {
	if now.Sub(c.askedSince) >= maxLoadDelay {
		return true
	}
	if c.observedSince == 0 {
		return false
	}
	waited := now.Sub(c.observedSince)
	if len(c.members) < Wanted && waited < settleTime {
		return false
	}
	return waited >= time.Duration(before-loadFirst+1)*loadStagger
}

// Large reports whether the site may have reserves, which are in no group.
func (c *Candidacy) Large() bool { return c.large }

// Last returns the last host that is to be a candidate, for the owner's record.
// It reports false if there are fewer than Wanted hosts.
func (c *Candidacy) Last() (election.Member, bool) {
	if len(c.members) < Wanted {
		return election.Member{}, false
	}
	return c.members[Wanted-1], true
}

// position returns how many members are before this host.
func (c *Candidacy) position() int {
	n, _ := slices.BinarySearchFunc(c.members, c.self, compare)
	return n
}

// compare orders hosts by their ability, the highest first, and equal ones by
// rank.
func compare(a, b election.Member) int {
	return cmp.Or(cmp.Compare(b.Ability, a.Ability), rank.Compare(a.Host, b.Host, rankKey))
}
