// Package rank orders hosts by hashing, so that all hosts agree on the order
// for a key without communicating.
package rank

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"curlewsill.org/curlewsill/core/id"
)

// Of returns the position of self among hosts for key, starting at 0, by
// rendezvous hashing. Different keys have different first hosts, and when a
// host is removed, only the keys for which it came first move to another host.
func Of(self id.Host, key string, hosts []id.Host) int {
	ownScore := score(self, key)
	n := 0
	for _, h := range hosts {
		if h != self && score(h, key) > ownScore {
			n++
		}
	}
	return n
}

// Compare compares two hosts by their positions for a key, as Of defines them. It
// returns a negative number if a comes first; equal scores are ordered by ID.
func Compare(a, b id.Host, key string) int {
	return cmp.Or(cmp.Compare(score(b, key), score(a, key)), cmp.Compare(a, b))
}

// Neighbors returns up to n hosts to which self sends updates. The hosts form a
// ring in the order of a hash. The neighbors are the hosts 1, 2, 4 and so on
// positions after self. If these are fewer than n, hosts at other positions are
// added. Every host has the same number of neighbors, which doesn't depend on
// the number of hosts. An update that is passed on reaches all hosts within a
// number of hops that grows with the logarithm of the number of hosts.
func Neighbors(self id.Host, hosts []id.Host, n int) []id.Host {
	ring := slices.Clone(hosts)
	slices.SortFunc(ring, func(a, b id.Host) int {
		return cmp.Or(cmp.Compare(score(a, ""), score(b, "")), cmp.Compare(a, b))
	})
	selfIndex := slices.Index(ring, self)
	if selfIndex < 0 {
		return nil
	}
	var out []id.Host
	for step := 1; len(out) < n && step < len(ring); step *= 2 {
		out = append(out, ring[(selfIndex+step)%len(ring)])
	}
	for step := 3; len(out) < n && step < len(ring); step++ {
		if step&(step-1) != 0 {
			out = append(out, ring[(selfIndex+step)%len(ring)])
		}
	}
	return out
}

func score(h id.Host, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(string(h))
	return d.Sum64()
}
