package entry

import (
	"context"
	"maps"
	"time"

	"curlewsill.org/curlewsill/core/election"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
)

// An owner that is cut off from the store may have been replaced without knowing. It goes on renewing leases, so that an
// outage of the store harms nobody, only while all other hosts that it has seen lately say that they know of no other owner. Alone
// it can't tell an outage from a cut behind which another host starts.

const (
	// seekEvery is the pause between two looks whether other hosts are to be asked, and between two rounds of
	// questions: several within the 3 s for which an assurance holds.
	seekEvery = 500 * time.Millisecond
	// unreadAfter is how old the newest read of the jobs is when the others are asked. Without news a read that
	// left 1 s ago is the newest that was answered.
	unreadAfter = 1800 * time.Millisecond
	// rememberHosts is for how long a host counts that the group doesn't show any more. One that stays away costs
	// nothing but assurance in an outage of the store: leases of 6 s outlive one of 9 s without.
	rememberHosts = 30 * time.Second
)

// assure notes that a read of the jobs which left at a time has told of no other owner. What it has told is taken in.
func (h *Host) assure(left unit.Instant) { h.assured = max(h.assured, left) }

// otherHost is another host as the newest look that showed it did.
type otherHost struct {
	// address is where its newest life listens, empty if that isn't known.
	address string
	seen    unit.Instant
}

// remember takes in the hosts that a look at the group has shown. One that has dropped out stays for a while: it may
// be cut off from the store, and claim when it isn't any more.
func (h *Host) remember(now unit.Instant, members []election.Member, addresses map[id.Host]string) {
	for _, m := range members {
		if machine := machineOf(m.Host); machine != h.settings.Host {
			h.others[machine] = otherHost{address: addresses[m.Host], seen: now}
		}
	}
	maps.DeleteFunc(h.others, func(_ id.Host, o otherHost) bool { return now.Sub(o.seen) > rememberHosts })
}

// seekAssurance asks all other hosts whether they know of another owner, while this host is the owner and doesn't
// learn it from the store. What it knows is as old as the oldest of their newest answers.
func (h *Host) seekAssurance(ctx context.Context) {
	agreed := map[string]unit.Instant{}
	for pause(ctx, seekEvery) {
		var others []string
		unread, ok := ask(ctx, h, func(now unit.Instant) bool {
			for _, o := range h.others {
				others = append(others, o.address)
			}
			return h.owner != nil && len(others) > 0 && now.Sub(h.assured) > unreadAfter
		})
		if !ok || !unread {
			continue
		}
		oldest := h.now()
		for _, a := range h.whoAgrees(ctx, others) {
			agreed[a] = oldest
		}
		for _, a := range others {
			oldest = min(oldest, agreed[a]) // long ago for a host that has never answered
		}
		h.post(ctx, func(unit.Instant) { h.assure(oldest) })
	}
}

// whoAgrees returns those of some addresses at which a host answers that this one is the owner.
func (h *Host) whoAgrees(ctx context.Context, addresses []string) []string {
	answers := make(chan string, len(addresses))
	for _, a := range addresses {
		go func() {
			if _, err := h.askPeer(ctx, a, h.self, askWait); err != nil {
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
