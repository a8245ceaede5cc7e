package entry

import (
	"context"
	"time"

	"curlewsill.org/curlewsill/core/election"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
)

// An owner that is cut off from the store may have been replaced without knowing. It goes on renewing leases, so that an
// outage of the store harms nobody, only while all other hosts of its last look say that they know of no other owner. Alone
// it can't tell an outage from a cut behind which another host starts.

const (
	// seekEvery is the pause between two looks whether other hosts are to be asked, and between two rounds of
	// questions: several within the 3 s for which an assurance holds.
	seekEvery = 500 * time.Millisecond
	// unreadAfter is how old the newest read of the jobs is when the others are asked. Without news a read that
	// left 1 s ago is the newest that was answered.
	unreadAfter = 1800 * time.Millisecond
)

// assure notes that a read of the jobs which left at a time has told of no other owner. What it has told is taken in.
func (h *Host) assure(left time.Time) {
	h.assured = max(h.assured, unit.At(h.start).Add(left.Sub(h.start)))
}

// othersOf returns the addresses of all members but one.
func othersOf(self id.Host, members []election.Member, addresses map[id.Host]string) []string {
	var out []string
	for _, m := range members {
		if m.Host != self {
			out = append(out, addresses[m.Host])
		}
	}
	return out
}

// seekAssurance asks all other hosts whether they know of another owner, while this host is the owner and doesn't
// learn it from the store. What it knows is as old as the oldest of their newest answers.
func (h *Host) seekAssurance(ctx context.Context) {
	agreed := map[string]time.Time{}
	for pause(ctx, seekEvery) {
		var others []string
		unread, ok := ask(ctx, h, func(now unit.Instant) bool {
			others = h.others
			return h.owner != nil && len(others) > 0 && now.Sub(h.assured) > unreadAfter
		})
		if !ok || !unread {
			continue
		}
		oldest := time.Now()
		for _, a := range h.whoAgrees(ctx, others) {
			agreed[a] = oldest
		}
		for _, a := range others {
			if agreed[a].Before(oldest) {
				oldest = agreed[a] // long ago for a host that has never answered
			}
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
