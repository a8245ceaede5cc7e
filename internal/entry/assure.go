package entry

import (
	"context"
	"time"

	"curlewsill.org/curlewsill/core/election"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
)

// An owner that is cut off from the store may have been replaced without knowing. It goes on renewing leases, so that an
// outage of the store harms nobody, only while all other hosts say that they know of no other owner.

const (
	// seekEvery is the pause between two looks whether other hosts are to be asked, and between two rounds of
	// questions: several within the 3 s for which an assurance holds.
	seekEvery = 500 * time.Millisecond
	// unreadAfter is how old the newest read of the jobs is when the others are asked: a read that waits for
	// news takes 1.5 s.
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
// learn it from the store.
func (h *Host) seekAssurance(ctx context.Context) {
	for pause(ctx, seekEvery) {
		var others []string
		unread, ok := ask(ctx, h, func(now unit.Instant) bool {
			others = h.others
			return h.owner != nil && now.Sub(h.assured) > unreadAfter
		})
		if !ok || !unread {
			continue
		}
		left := time.Now()
		if h.allAgree(ctx, others) {
			h.post(ctx, func(unit.Instant) { h.assure(left) })
		}
	}
}

// allAgree reports whether each host at some addresses answers that this host is the owner.
func (h *Host) allAgree(ctx context.Context, addresses []string) bool {
	answers := make(chan error, len(addresses))
	for _, a := range addresses {
		go func() {
			_, err := h.askPeer(ctx, a, h.self, askWait)
			answers <- err
		}()
	}
	agree := true
	for range addresses {
		agree = <-answers == nil && agree
	}
	return agree
}
