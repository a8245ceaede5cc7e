package entry

import (
	"context"
	"maps"
	"time"

	"curlewsill.org/curlewsill/core/election"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
)

// An owner that is cut off from the store may have been replaced without
// knowing it. So that a store outage doesn't make workers lose their leases,
// such an owner keeps renewing leases, but only while all other hosts that it
// has seen recently confirm that they know of no other owner. On its own it
// can't tell an outage from a partition behind which another host becomes the
// owner.

const (
	// assureInterval is the pause between two checks whether the other hosts
	// must be asked. It is also the pause between two rounds of questions, so
	// that several rounds fit into the 3 s for which an assurance is valid.
	assureInterval = 500 * time.Millisecond
	// readStaleAfter is how old the newest read of the jobs must be before the
	// other hosts are asked. While nothing is written, a read waits at the
	// store, so the newest answered read may have been sent 1 s ago.
	readStaleAfter = 1800 * time.Millisecond
	// absentHostRetention is how long an assurance still needs the confirmation
	// of a host that has left the group of live hosts. If that host doesn't
	// return, only the assurance during a store outage is lost. Even without
	// this assurance, leases of 6 s survive an outage of 9 s.
	absentHostRetention = 30 * time.Second
)

// assure records that no other host was the owner at the time sent. The answer
// to a read, an append or a question has shown this, and sent is when that call
// was sent. The records that a read returned have already been applied.
func (h *Host) assure(sent unit.Instant) { h.assured = max(h.assured, sent) }

// otherHost is another host as last seen in the group of live hosts.
type otherHost struct {
	// host is the newest incarnation, and address is where it listens; empty if
	// unknown.
	host    id.Host
	address string
	seen    unit.Instant
}

// rememberHosts records the hosts that a read of the group has returned. A host
// that is missing from the group is kept for absentHostRetention: it may be cut
// off from the store and claim the ownership when the store becomes reachable
// again.
func (h *Host) rememberHosts(now unit.Instant, members []election.Member, addresses map[id.Host]string) {
	for _, m := range members {
		if machine := machineOf(m.Host); machine != h.settings.Host {
			h.others[machine] = otherHost{host: m.Host, address: addresses[m.Host], seen: now}
		}
	}
	maps.DeleteFunc(h.others, func(_ id.Host, o otherHost) bool { return now.Sub(o.seen) > absentHostRetention })
}

// knowsAllHosts reports whether this host knows all hosts that may claim the
// ownership. At a large site it doesn't know the reserves. Only the deciding
// goroutine may call it.
func (h *Host) knowsAllHosts() bool { return !h.candidacy.Large() }

// requestAssurance checks every assureInterval whether this host is the owner
// and its newest assurance is older than readStaleAfter, as in an outage of the
// store. If so, it asks all other hosts whether they know of another owner. The
// resulting assurance is as old as the oldest of their latest confirmations.
func (h *Host) requestAssurance(ctx context.Context) {
	confirmedAt := map[string]unit.Instant{}
	for pause(ctx, assureInterval) {
		var others []string
		stale, ok := query(ctx, h, func(now unit.Instant) bool {
			for _, o := range h.others {
				others = append(others, o.address)
			}
			return h.owner != nil && len(others) > 0 && h.knowsAllHosts() && now.Sub(h.assured) > readStaleAfter
		})
		if !ok || !stale {
			continue
		}
		oldest := h.now()
		for _, a := range h.confirmingHosts(ctx, others) {
			confirmedAt[a] = oldest
		}
		for _, a := range others {
			oldest = min(oldest, confirmedAt[a]) // the zero time for a host that has never answered
		}
		h.post(ctx, func(unit.Instant) { h.assure(oldest) })
	}
}

// confirmingHosts returns the addresses at which a host answers that this host
// is the owner.
func (h *Host) confirmingHosts(ctx context.Context, addresses []string) []string {
	answers := make(chan string, len(addresses))
	for _, a := range addresses {
		go func() {
			if _, err := h.askPeer(ctx, a, h.self, ownerQueryTimeout); err != nil {
				a = ""
			}
			answers <- a
		}()
	}
	var out []string
	for range addresses {
		if a := <-answers; a != "" {
			out = append(out, a)
		}
	}
	return out
}
