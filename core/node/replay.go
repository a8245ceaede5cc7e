package node

import (
	"fmt"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/owner"
	"curlewsill.org/curlewsill/core/peer"
	"curlewsill.org/curlewsill/core/sched"
	"curlewsill.org/curlewsill/core/state"
	"curlewsill.org/curlewsill/core/unit"
)

// records takes in records, from the log or from a peer.
func (n *Node) records(now unit.Instant, ev Records) {
	if n.halted != nil {
		return
	}
	if ev.Head != 0 || len(ev.Raw) == 0 {
		n.readAt, n.readFailed = now, false
		n.head = max(n.head, ev.Head)
	}
	before := n.state.ConfigAt
	for i, raw := range ev.Raw {
		off := ev.First + id.Offset(i)
		if off <= n.state.Applied {
			continue
		}
		if off != n.state.Applied+1 {
			n.recover(now, off, raw)
			continue
		}
		n.applyRecord(now, off, raw)
	}
	n.head = max(n.head, n.state.Applied)
	if n.state.ConfigAt < before {
		n.fault(fmt.Errorf("%w: from %d to %d", ErrConfigReverted, before, n.state.ConfigAt))
	}
	if n.state.ConfigAt != n.configured {
		n.configure(now)
	}
	n.follow(now)
	n.schedule(now)
}

// recover feeds the loader, and goes on from a snapshot once there is one.
func (n *Node) recover(now unit.Instant, off id.Offset, raw []byte) {
	n.loader.Add(off, raw)
	rest, ok := n.loader.Load(n.state)
	if !ok {
		return
	}
	n.recent = recent{}
	if n.sched != nil {
		n.sched.Reload()
	}
	n.snapCovers, n.snapAt = n.state.Applied, now
	own := n.state.Writers[state.Life{Host: n.self, Incarnation: n.life}]
	for _, t := range n.journal.Landed(own.Seq) {
		n.settle(now, t, 0, ErrUnknownVerdict)
	}
	for _, r := range rest {
		n.applyRecord(now, r.Offset, r.Raw)
	}
}

// applyRecord applies one record and tells everybody concerned.
func (n *Node) applyRecord(now unit.Instant, off id.Offset, raw []byte) {
	a, err := n.state.Apply(off, raw)
	if err != nil {
		n.halted = fmt.Errorf("%w: %w", ErrHalted, err)
		n.sched = nil
		n.fault(n.halted)
		return
	}
	n.recent.add(off, raw)
	if a.Damaged != nil {
		n.counts.Damaged++
		return
	}
	n.noteEntries(now, a)
	for i, t := range n.journal.Applied(a.Batch) {
		n.settle(now, t, off, a.Verdicts[i])
	}
	n.checkpoint()
}

// noteEntries watches for what concerns this host in anybody's batch.
func (n *Node) noteEntries(now unit.Instant, a state.Applied) {
	firm := false
	for i, e := range a.Batch.Entries {
		if a.Verdicts[i] != nil {
			n.counts.Void++
			continue
		}
		if c := e.Snapshot; c != nil && c.Index == c.Count-1 && c.Covers > n.snapCovers {
			n.snapCovers, n.snapAt = c.Covers, now
		}
		if e.Claim != nil && a.Batch.Host == n.self && a.Batch.Incarnation == n.life {
			n.ownEpoch = n.state.Owner.Epoch
		}
		if n.sched != nil {
			n.sched.Accepted(now, e)
		}
		firm = firm || e.Snapshot == nil && e.Submit == nil && e.Once == nil
	}
	if !firm {
		return
	}
	// The reducer takes no entry that leaves no witness. This is the assertion.
	if err := n.state.CheckWitness(); err != nil {
		n.fault(fmt.Errorf("%w: %w", ErrNoWitness, err))
	}
}

// checkpoint computes the digest that peers compare, now and then.
func (n *Node) checkpoint() {
	if n.state.Applied%checkEvery != 0 {
		return
	}
	d, err := n.state.Digest()
	if err != nil {
		n.fault(err)
		return
	}
	n.check, n.checkAt = d, n.state.Applied
}

// follow starts or drops the scheduler as the log says who is the owner.
func (n *Node) follow(now unit.Instant) {
	o := n.state.Owner
	if o.Epoch > n.elect.Heartbeat().Epoch {
		n.elect.Accepted(now, o.Epoch)
	}
	mine := o.Host == n.self && n.st != Draining && n.st != Done
	switch {
	case !mine || n.halted != nil || n.elect.Heartbeat().Epoch > o.Epoch:
		n.sched = nil
	case n.sched == nil || n.sched.Epoch() != o.Epoch:
		// An epoch of an earlier life of this host is not ours: that life may still
		// be around, frozen. It has to be replaced like any other.
		if n.ownEpoch == o.Epoch {
			n.sched = sched.New(o.Epoch, n.state, n.policy)
		}
	}
}

// beat sends the heartbeat to the neighbors.
func (n *Node) beat(now unit.Instant) {
	b := n.elect.Heartbeat()
	leaving := n.st == Draining
	if n.ownEpoch != 0 && n.ownEpoch == n.state.Owner.Epoch && (n.sched != nil || leaving) {
		b = n.elect.Advance(now, n.ownEpoch, leaving)
	}
	n.turn++
	for _, h := range n.table.Targets(now, !n.logUp(now), n.turn) {
		f := n.frame(now, b)
		if applied, ok := n.table.Applied(now, h); ok && applied < n.state.Applied {
			f.First, f.Records = n.recent.after(applied)
		}
		n.out.Frames = append(n.out.Frames, Frame{To: h, Frame: f})
	}
}

// frame returns a heartbeat without records.
func (n *Node) frame(now unit.Instant, b owner.Heartbeat) peer.Frame {
	return peer.Frame{
		From: n.self, Applied: n.state.Applied, Heartbeat: b, CheckAt: n.checkAt, Check: n.check,
		Leaving: n.router.Departures(now), Stopping: n.st == Draining,
	}
}

// catchUp answers a peer that asked for records, and asks one that has more than this
// host can read from the log.
func (n *Node) catchUp(now unit.Instant, f peer.Frame) {
	reply := n.frame(now, n.elect.Heartbeat())
	switch {
	case f.Behind && f.Applied < n.state.Applied:
		reply.First, reply.Records = n.recent.after(f.Applied)
		if len(reply.Records) == 0 {
			return
		}
	case f.Applied > n.state.Applied && !n.logUp(now):
		reply.Behind = true
	default:
		return
	}
	n.out.Frames = append(n.out.Frames, Frame{To: f.From, Frame: reply})
}

// heard takes in a peer's frame.
func (n *Node) heard(now unit.Instant, f peer.Frame) {
	n.table.Hear(now, f)
	n.elect.Hear(now, f.Heartbeat)
	n.told = n.told || n.backends != nil
	for _, d := range f.Leaving {
		n.router.Departed(now, d)
	}
	if f.CheckAt != 0 && f.CheckAt == n.checkAt && f.Check != n.check {
		n.counts.Diverged++
		n.fault(fmt.Errorf("%w: %s at offset %d", ErrDiverged, f.From, f.CheckAt))
	}
	if len(f.Records) > 0 && f.First <= n.state.Applied+1 {
		n.records(now, Records{First: f.First, Raw: f.Records})
	}
	n.catchUp(now, f)
	if f.Heartbeat.Epoch > n.ownEpoch && n.sched != nil {
		// A newer owner exists, although this host hasn't read so yet.
		n.sched = nil
	}
}
