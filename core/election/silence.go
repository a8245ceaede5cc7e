package election

import (
	"cmp"
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/rank"
	"curlewsill.org/curlewsill/core/unit"
)

const (
	// watchedBy is how many of the first hosts in rank ask the owner itself whether it lives, so
	// that its silent death shows before the store drops it. The owner is mostly one of them.
	// With four others three make a majority, so two parts of hosts that are cut from each other
	// can't take the ownership in turns.
	watchedBy = 5
	// silentAfter is for how long the owner must have answered nothing for a host to miss it: two
	// questions, which hosts ask every 120 ms, and some time for the second one's answer.
	silentAfter = 250 * time.Millisecond
	// fewestUnanswered is how many questions in a row must have gone unanswered as well, 0.8 s in all. The
	// first one may have gone on a link that has died without a sign; the others go on new links. With
	// two, an owner with little of a core that is busy for some tenths of a second loses its office
	// again and again.
	fewestUnanswered = 4
	// witnessAfter is the same for a host that is asked by one that misses the owner. It may have
	// asked a little later than that one.
	witnessAfter = 150 * time.Millisecond
	// watchedFrom is how long a host must have been the owner for its silence to count. Until
	// then only the store tells that it is gone, so that hosts can't take turns quickly: workers
	// hold orders from two hosts within 3 s against them.
	watchedFrom = 3 * time.Second
)

// silence is what a host knows of the owner from questions of its own.
type silence struct {
	// owner is whom the rest is about; it has answered at least once, at heard last.
	owner id.Host
	heard unit.Instant
	// unanswered counts the questions without an answer since then.
	unanswered int
	// gone is set while nobody listens at the owner's address, or another life of the host does.
	gone bool
	// agreed is since when most of the watchers miss the owner; 0 if they don't.
	agreed unit.Instant
}

// misses reports whether the owner has answered nothing for a time.
func (s *silence) misses(now unit.Instant, owner id.Host, after time.Duration) bool {
	if owner == "" || s.owner != owner {
		return false
	}
	return s.gone || s.unanswered >= fewestUnanswered && now.Sub(s.heard) >= after
}

// Watchers returns who asks the owner whether it lives: the first hosts in rank without itself.
func (e *Election) Watchers(owner id.Host) []id.Host {
	first := slices.SortedFunc(slices.Values(e.members), func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.Ability, a.Ability), rank.Compare(a.Host, b.Host, rankKey))
	})
	var out []id.Host
	for _, m := range first[:min(watchedBy, len(first))] {
		if m.Host != owner {
			out = append(out, m.Host)
		}
	}
	return out
}

// Heard notes that the owner has answered a question.
func (e *Election) Heard(now unit.Instant, owner id.Host) {
	e.silence = silence{owner: owner, heard: now}
}

// Unanswered notes that a question to the owner got no answer in time.
func (e *Election) Unanswered(owner id.Host) {
	if e.silence.owner == owner {
		e.silence.unanswered++
	}
}

// Gone notes that nobody listens at the owner's address, or another life of its host does.
func (e *Election) Gone(owner id.Host) {
	if e.silence.owner == owner {
		e.silence.gone = true
	}
}

// Misses reports whether this host misses the owner, so that it is to ask the other watchers.
func (e *Election) Misses(now unit.Instant, owner id.Host) bool {
	return e.silence.misses(now, owner, silentAfter)
}

// Witness reports to another watcher whether this host misses the owner as well.
func (e *Election) Witness(now unit.Instant, owner id.Host) bool {
	return e.silence.misses(now, owner, witnessAfter)
}

// Agreed notes how many other watchers miss the owner as well. It reports whether the owner is
// taken for dead from now on: most of the watchers must miss it, and at least one besides this host.
func (e *Election) Agreed(now unit.Instant, owner id.Host, others int) bool {
	if others == 0 || 2*(others+1) <= len(e.Watchers(owner)) || !e.Misses(now, owner) {
		return false
	}
	if e.claimed != 0 && now.Sub(e.claimed) < watchedFrom {
		return false
	}
	first := e.silence.agreed == 0
	if first {
		e.silence.agreed = now
	}
	return first
}

// replaces reports whether this host is to claim because most of the watchers miss the owner. They
// claim one after the other.
func (e *Election) replaces(now unit.Instant) bool {
	if e.silence.agreed == 0 {
		return false
	}
	place := slices.Index(e.Watchers(e.silence.owner), e.self.Host)
	return place >= 0 && now.Sub(e.silence.agreed) >= time.Duration(place)*stagger
}
