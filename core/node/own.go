package node

import (
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/journal"
	"curlewsill.org/curlewsill/core/record"
	"curlewsill.org/curlewsill/core/recovery"
	"curlewsill.org/curlewsill/core/route"
	"curlewsill.org/curlewsill/core/unit"
)

// propose queues the entry of a Propose event.
func (n *Node) propose(ev Propose) {
	if n.halted != nil {
		n.out.Verdicts = append(n.out.Verdicts, EntryVerdict{Ticket: ev.Ticket, Verdict: ErrHalted})
		return
	}
	if err := n.write(origin{entry: ev.Entry, ticket: ev.Ticket}); err != nil {
		n.out.Verdicts = append(n.out.Verdicts, EntryVerdict{Ticket: ev.Ticket, Verdict: err})
	}
}

// write queues an entry of this host for the log.
func (n *Node) write(o origin) error {
	t, err := n.journal.Add(o.entry)
	if err != nil {
		return err
	}
	n.origins[t] = o
	return nil
}

// claimKey queues the claim or the release of a request's idempotency key.
func (n *Node) claimKey(now unit.Instant, c route.Claim) {
	claim := &record.KeyClaim{Customer: c.Customer, Key: c.Key, Host: n.self, Request: c.Request}
	o := origin{entry: record.Entry{ClaimKey: claim}, request: c.Request}
	if c.Release {
		o = origin{entry: record.Entry{ReleaseKey: claim}}
	}
	if err := n.write(o); err != nil && !c.Release {
		n.router.ClaimDecided(now, c.Request, err)
	}
}

// settle delivers the verdict on an entry of this host to the component that
// wrote the entry.
func (n *Node) settle(now unit.Instant, t journal.Ticket, off id.Offset, verdict error) {
	o := n.origins[t]
	delete(n.origins, t)
	switch {
	case o.ticket != 0:
		n.out.Verdicts = append(n.out.Verdicts, EntryVerdict{o.ticket, off, verdict})
	case o.request != 0:
		n.router.ClaimDecided(now, o.request, verdict)
	case n.sched != nil && (o.entry.Place != nil || o.entry.End != nil):
		n.sched.EntrySettled(now, o.entry, verdict)
	}
}

// claimOwnership claims ownership of scheduling if the election decides so.
func (n *Node) claimOwnership(now unit.Instant) {
	if n.hostState != Ready || !n.logUp(now) || n.state.Applied < n.head || n.state.Owner.Host == n.self && n.sched != nil {
		return
	}
	current := n.state.Owner.Epoch
	if !n.election.ShouldClaim(now, current, n.peers.Live(now)) {
		return
	}
	n.counts.Claims++
	if err := n.write(origin{entry: record.Entry{Claim: &record.Claim{Host: n.self, Replaces: current}}}); err != nil {
		n.fault(err)
	}
}

// snapshot writes a snapshot if this host is the owner and one is due.
func (n *Node) snapshot(now unit.Instant) {
	if n.sched == nil || !n.logUp(now) || n.state.Applied == n.snapshotOffset {
		return
	}
	if n.state.Applied-n.snapshotOffset < snapshotRecords && now.Sub(n.snapshotAt) < snapshotMaxAge {
		return
	}
	entries, err := recovery.Split(n.state)
	if err != nil {
		n.fault(err)
		return
	}
	n.snapshotOffset, n.snapshotAt = n.state.Applied, now
	n.counts.Snapshots++
	for _, e := range entries {
		if err := n.write(origin{entry: e}); err != nil {
			// Readers ignore an incomplete snapshot, and the next one follows soon.
			return
		}
	}
}
