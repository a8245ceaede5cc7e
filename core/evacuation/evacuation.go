// Package evacuation holds which failure domains the operator has evacuated: nothing may start there until that is taken back.
//
// The operator's log says so in records, one key for each domain. A host may read a part of the log twice, or its newest
// records only, so what counts is the offset of a record and not when it was read.
package evacuation

import (
	"maps"
	"slices"

	"curlewsill.org/curlewsill/core/id"
)

// Set is the evacuated domains as one host has read them. The zero value holds none and is ready.
type Set struct {
	// since holds, for each evacuated domain, the offset of the first record that asked for it since it was last open. Of a
	// domain that was first read in a list of newest records, it is where the log ended then.
	since map[id.Domain]id.Offset
	// next is behind the last record that was taken in.
	next id.Offset
}

// Change is a domain that was evacuated or taken back by a record at an offset.
type Change struct {
	Domain    id.Domain
	Evacuated bool
	// Since is where the log said so.
	Since id.Offset
}

// Apply takes in that the record at an offset evacuates a domain, or takes that back. It returns what has changed, or false if nothing has:
// the record was taken in before, or says what is so already.
func (s *Set) Apply(at id.Offset, domain id.Domain, evacuated bool) (Change, bool) {
	if at < s.next {
		return Change{}, false
	}
	s.next = at + 1
	if _, was := s.since[domain]; was == evacuated {
		return Change{}, false
	}
	s.set(domain, evacuated, at)
	return Change{Domain: domain, Evacuated: evacuated, Since: at}, true
}

// Replace takes in that the newest records of a log which ended at an offset evacuate just these domains. It returns what has changed, by
// domain. A list that is older than what was taken in changes nothing.
func (s *Set) Replace(end id.Offset, domains []id.Domain) []Change {
	if end < s.next {
		return nil
	}
	s.next = end
	var out []Change
	for _, d := range slices.Sorted(maps.Keys(s.since)) {
		if !slices.Contains(domains, d) {
			s.set(d, false, end)
			out = append(out, Change{Domain: d, Since: end})
		}
	}
	for _, d := range slices.Compact(slices.Sorted(slices.Values(domains))) {
		if _, was := s.since[d]; !was {
			s.set(d, true, end)
			out = append(out, Change{Domain: d, Evacuated: true, Since: end})
		}
	}
	return out
}

// set keeps the new state of a domain.
func (s *Set) set(domain id.Domain, evacuated bool, at id.Offset) {
	if !evacuated {
		delete(s.since, domain)
		return
	}
	if s.since == nil {
		s.since = map[id.Domain]id.Offset{}
	}
	s.since[domain] = at
}

// Domains returns the evacuated domains in order.
func (s *Set) Domains() []id.Domain { return slices.Sorted(maps.Keys(s.since)) }

// Has reports whether a domain is evacuated.
func (s *Set) Has(domain id.Domain) bool {
	_, has := s.since[domain]
	return has
}
