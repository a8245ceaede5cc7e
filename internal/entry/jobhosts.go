package entry

import (
	"slices"
	"sync"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/rank"
	"curlewsill.org/curlewsill/internal/relay"
)

// jobHosts holds the addresses of the candidates in the order in which this
// host asks them about jobs. Each host has an order of its own, so that the
// questions are spread over the candidates. It is safe for concurrent use; the
// zero value has no candidates.
type jobHosts struct {
	mu sync.Mutex
	// order has the hosts that failed to answer at its end.
	order []string
}

// set replaces the candidates. Those that were known keep their order, so that
// a host that failed to answer isn't asked first again.
func (j *jobHosts) set(self id.Host, candidates []relay.Peer) {
	j.mu.Lock()
	defer j.mu.Unlock()
	var known, added []string
	for _, address := range j.order {
		if slices.Contains(candidates, relay.Peer{Address: address}) {
			known = append(known, address)
		}
	}
	for _, c := range candidates {
		if !slices.Contains(known, c.Address) {
			added = append(added, c.Address)
		}
	}
	slices.SortFunc(added, func(a, b string) int { return rank.Compare(id.Host(a), id.Host(b), string(self)) })
	j.order = append(known, added...)
}

// first returns the candidate to ask first. It reports false if none is known.
func (j *jobHosts) first() (string, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.order) == 0 {
		return "", false
	}
	return j.order[0], true
}

// postpone moves a candidate that failed to answer to the end of the order.
func (j *jobHosts) postpone(address string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if i := slices.Index(j.order, address); i >= 0 {
		j.order = append(slices.Delete(j.order, i, i+1), address)
	}
}
