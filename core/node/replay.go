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

// records applies records read from the log or received from a peer.
func (n *Node) records(now unit.Instant, ev Records) {
	if n.halted != nil {
		return
	}
	// Records from a peer have no Head and are no read of the log.
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
			n.loadSnapshot(now, off, raw)
			continue
		}
		n.applyRecord(now, off, raw)
	}
	n.head = max(n.head, n.state.Applied)
	if n.state.ConfigAt < before {
		n.fault(fmt.Errorf("%w: from %d to %d", ErrConfigReverted, before, n.state.ConfigAt))
	}
	if n.state.ConfigAt != n.routerConfigAt {
		n.configureRouter(now)
	}
	n.followOwner(now)
	n.schedule(now)
}

// loadSnapshot passes a record to the snapshot loader. It is called when
// records between the applied ones and this one are missing, so that the record
// can't be applied. Once the loader has a complete snapshot, loadSnapshot
// restores the state from it and applies the records after it.
func (n *Node) loadSnapshot(now unit.Instant, off id.Offset, raw []byte) {
	n.loader.Add(off, raw)
	rest, ok := n.loader.Load(n.state)
	if !ok {
		return
	}
	n.recent = recent{}
	if n.sched != nil {
		n.sched.RequestReconcile()
	}
	n.snapshotOffset, n.snapshotAt = n.state.Applied, now
	own := n.state.Writers[state.WriterID{Host: n.self, Incarnation: n.incarnation}]
	for _, t := range n.journal.SnapshotRestored(own.Seq) {
		n.settle(now, t, 0, ErrUnknownVerdict)
	}
	for _, r := range rest {
		n.applyRecord(now, r.Offset, r.Raw)
	}
}

// applyRecord applies one record and delivers the verdicts on its entries.
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
	n.observeEntries(now, a)
	for i, t := range n.journal.Applied(a.Batch) {
		n.settle(now, t, off, a.Verdicts[i])
	}
	n.updateDigest()
}

// observeEntries updates this host from the entries of a batch of any host: the
// newest snapshot, the owned epoch and the scheduler. It then checks the witness.
func (n *Node) observeEntries(now unit.Instant, a state.ApplyResult) {
	mayAffectWitness := false
	for i, e := range a.Batch.Entries {
		if a.Verdicts[i] != nil {
			n.counts.Void++
			continue
		}
		if c := e.Snapshot; c != nil && c.Index == c.Count-1 && c.Covers > n.snapshotOffset {
			n.snapshotOffset, n.snapshotAt = c.Covers, now
		}
		if e.Claim != nil && a.Batch.Host == n.self && a.Batch.Incarnation == n.incarnation {
			n.ownEpoch = n.state.Owner.Epoch
		}
		if n.sched != nil {
			n.sched.EntryAccepted(now, e)
		}
		mayAffectWitness = mayAffectWitness || e.Snapshot == nil && e.Submit == nil && e.ClaimKey == nil
	}
	if !mayAffectWitness {
		return
	}
	// The reducer rejects every entry after which a guarantee couldn't be
	// reclaimed because no witness exists (see package witness). This asserts
	// that it did.
	if err := n.state.CheckWitness(); err != nil {
		n.fault(fmt.Errorf("%w: %w", ErrNoWitness, err))
	}
}

// updateDigest computes the digest that peers compare, every digestEvery records.
func (n *Node) updateDigest() {
	if n.state.Applied%digestEvery != 0 {
		return
	}
	d, err := n.state.Digest()
	if err != nil {
		n.fault(err)
		return
	}
	n.digest, n.digestAt = d, n.state.Applied
}

// followOwner starts or drops the scheduler, depending on the owner in the log.
func (n *Node) followOwner(now unit.Instant) {
	o := n.state.Owner
	if o.Epoch > n.election.Heartbeat().Epoch {
		n.election.ClaimAccepted(now, o.Epoch)
	}
	mine := o.Host == n.self && n.hostState != Draining && n.hostState != Stopped
	switch {
	case !mine || n.halted != nil || n.election.Heartbeat().Epoch > o.Epoch:
		n.sched = nil
	case n.sched == nil || n.sched.Epoch() != o.Epoch:
		// This incarnation must not use an epoch that an earlier incarnation of
		// the host has claimed: the earlier process may be suspended and resume
		// later. It has to claim a new epoch, as after any other owner.
		if n.ownEpoch == o.Epoch {
			n.sched = sched.New(o.Epoch, n.state, n.policy)
		}
	}
}

// sendHeartbeats sends a frame with the owner's heartbeat to each host that the
// peer table selects. Each frame has the records that its receiver lacks.
func (n *Node) sendHeartbeats(now unit.Instant) {
	b := n.election.Heartbeat()
	leaving := n.hostState == Draining
	if n.ownEpoch != 0 && n.ownEpoch == n.state.Owner.Epoch && (n.sched != nil || leaving) {
		b = n.election.Advance(now, n.ownEpoch, leaving)
	}
	n.heartbeats++
	for _, h := range n.peers.Targets(now, !n.logUp(now), n.heartbeats) {
		f := n.frame(now, b)
		if applied, ok := n.peers.Applied(now, h); ok && applied < n.state.Applied {
			f.First, f.Records = n.recent.after(applied)
		}
		n.out.Frames = append(n.out.Frames, Frame{To: h, Frame: f})
	}
}

// frame returns a frame without records.
func (n *Node) frame(now unit.Instant, b owner.Heartbeat) peer.Frame {
	return peer.Frame{
		From: n.self, Applied: n.state.Applied, Heartbeat: b, DigestAt: n.digestAt, Digest: n.digest,
		Leaving: n.router.LeavingBackends(now), Stopping: n.hostState == Draining,
	}
}

// catchUp sends records to a peer that asked for them, or asks for records if the
// peer has applied more than this host while this host can't read the log.
func (n *Node) catchUp(now unit.Instant, f peer.Frame) {
	reply := n.frame(now, n.election.Heartbeat())
	switch {
	case f.WantsRecords && f.Applied < n.state.Applied:
		reply.First, reply.Records = n.recent.after(f.Applied)
		if len(reply.Records) == 0 {
			return
		}
	case f.Applied > n.state.Applied && !n.logUp(now):
		reply.WantsRecords = true
	default:
		return
	}
	n.out.Frames = append(n.out.Frames, Frame{To: f.From, Frame: reply})
}

// receiveFrame handles a frame of a peer.
func (n *Node) receiveFrame(now unit.Instant, f peer.Frame) {
	n.peers.ReceiveFrame(now, f)
	n.election.ReceiveHeartbeat(now, f.Heartbeat)
	n.peerFrameSeen = n.peerFrameSeen || n.backends != nil
	for _, d := range f.Leaving {
		n.router.PeerReportedLeaving(now, d)
	}
	if f.DigestAt != 0 && f.DigestAt == n.digestAt && f.Digest != n.digest {
		n.counts.Diverged++
		n.fault(fmt.Errorf("%w: %s at offset %d", ErrDiverged, f.From, f.DigestAt))
	}
	if len(f.Records) > 0 && f.First <= n.state.Applied+1 {
		n.records(now, Records{First: f.First, Raw: f.Records})
	}
	n.catchUp(now, f)
	if f.Heartbeat.Epoch > n.ownEpoch && n.sched != nil {
		// A newer owner exists, although this host hasn't read its claim yet.
		n.sched = nil
	}
}
