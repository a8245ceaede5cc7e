// Package evacuation tracks the failure domains that the operator has
// evacuated. No task may start in such a domain until the operator opens it
// again.
//
// The operator's log has a record for each evacuation and each reopening, keyed
// by domain. A host may read a part of the log twice, or only the newest record
// of each key, so records are ordered by their offset in the log and not by the
// time at which they are read.
package evacuation

import (
	"maps"
	"slices"

	"curlewsill.org/curlewsill/core/id"
)

// Set is the set of evacuated domains that one host has read from the log. The
// zero value is an empty set that is ready for use.
type Set struct {
	// since has the offset of the record that evacuated each domain. Repeated
	// evacuations of the domain leave it unchanged. For a domain that Replace
	// has added it is the end offset that Replace was given.
	since map[id.Domain]id.Offset
	// next is the lowest offset that was not applied yet.
	next id.Offset
}

// Change is the evacuation of a domain, or its reopening if Evacuated is false.
type Change struct {
	Domain    id.Domain
	Evacuated bool
	// Since is the offset of the record that caused the change, or the end offset
	// that Replace was given.
	Since id.Offset
}

// Apply applies the record at an offset, which evacuates or reopens a domain. It
// returns the change, or false if the record was applied before or the domain is
// in that state already.
func (s *Set) Apply(offset id.Offset, domain id.Domain, evacuated bool) (Change, bool) {
	if offset < s.next {
		return Change{}, false
	}
	s.next = offset + 1
	if _, present := s.since[domain]; present == evacuated {
		return Change{}, false
	}
	s.set(domain, evacuated, offset)
	return Change{Domain: domain, Evacuated: evacuated, Since: offset}, true
}

// Replace replaces the set by the domains that the newest records of a log
// evacuate; end is the end offset of the log when it was read. It returns the
// changes: the reopened domains, then the evacuated ones, each sorted by
// domain. If a record at or after end has been applied already, the list is out
// of date and changes nothing.
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
		if _, present := s.since[d]; !present {
			s.set(d, true, end)
			out = append(out, Change{Domain: d, Evacuated: true, Since: end})
		}
	}
	return out
}

// set stores the new state of a domain.
func (s *Set) set(domain id.Domain, evacuated bool, offset id.Offset) {
	if !evacuated {
		delete(s.since, domain)
		return
	}
	if s.since == nil {
		s.since = map[id.Domain]id.Offset{}
	}
	s.since[domain] = offset
}

// Domains returns the evacuated domains in ascending order.
func (s *Set) Domains() []id.Domain { return slices.Sorted(maps.Keys(s.since)) }

// Has reports whether a domain is evacuated.
func (s *Set) Has(domain id.Domain) bool {
	_, has := s.since[domain]
	return has
}
