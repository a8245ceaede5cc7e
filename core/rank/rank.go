// Package rank orders hosts by hashing, so that all of them agree on who comes first
// for something without a word to each other.
package rank

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"curlewsill.org/curlewsill/core/id"
)

// Of returns the place of self among hosts for key, from 0, by rendezvous hashing.
// For each key another host comes first, and when a host goes, only its own keys
// change hands.
func Of(self id.Host, key string, hosts []id.Host) int {
	mine := score(self, key)
	n := 0
	for _, h := range hosts {
		if h != self && score(h, key) > mine {
			n++
		}
	}
	return n
}

// Compare orders two hosts as Of does for a key: the one that comes first is the lesser one.
func Compare(a, b id.Host, key string) int {
	return cmp.Or(cmp.Compare(score(b, key), score(a, key)), cmp.Compare(a, b))
}

// Neighbors returns up to n hosts for self on a ring in the order of a hash: those 1,
// 2, 4 and so on places further, and then any others. Every host has as many however
// many there are, and news reach all within a number of hops that grows with the
// logarithm of theirs.
func Neighbors(self id.Host, hosts []id.Host, n int) []id.Host {
	ring := slices.Clone(hosts)
	slices.SortFunc(ring, func(a, b id.Host) int {
		return cmp.Or(cmp.Compare(score(a, ""), score(b, "")), cmp.Compare(a, b))
	})
	at := slices.Index(ring, self)
	if at < 0 {
		return nil
	}
	var out []id.Host
	for step := 1; len(out) < n && step < len(ring); step *= 2 {
		out = append(out, ring[(at+step)%len(ring)])
	}
	for step := 3; len(out) < n && step < len(ring); step++ {
		if step&(step-1) != 0 {
			out = append(out, ring[(at+step)%len(ring)])
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
