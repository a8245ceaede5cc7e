// Package peer defines the messages between entry hosts, and a host's table of the
// other hosts.
//
// Frames carry no decisions; only the log does. A frame is a heartbeat with
// additional hints: the last applied offset of the log, the owner's heartbeat,
// backend servers that are shutting down, and records that the receiver may have
// been unable to read. Each host sends frames to a fixed number of neighbors, so the
// cost for one host doesn't grow with the number of hosts.
package peer

import (
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/config"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/owner"
	"curlewsill.org/curlewsill/core/rank"
	"curlewsill.org/curlewsill/core/route"
	"curlewsill.org/curlewsill/core/unit"
)

// Intervals and timeouts of the heartbeats, and the number of their receivers.
const (
	// FrameInterval is the interval between two frames to the same neighbor.
	FrameInterval = 500 * time.Millisecond
	// MaxNeighbors is the maximum number of neighbors to which one host sends
	// frames.
	MaxNeighbors = 4
	// LiveTimeout is how long after its last frame a host counts as live if the
	// platform's host list doesn't contain it.
	LiveTimeout = 4 * time.Second
	// forgetAfter is how long after its last frame an unlisted host is removed
	// from the table.
	forgetAfter = 10 * time.Minute
	// nearTimeout is how long after its last frame Near still returns a host.
	nearTimeout = 1500 * time.Millisecond
)

// Frame is one message to a peer.
type Frame struct {
	From id.Host `cbor:"1,keyasint"`
	// Applied is the offset of the last record that the sender applied.
	Applied   id.Offset       `cbor:"2,keyasint"`
	Heartbeat owner.Heartbeat `cbor:"3,keyasint"`
	// Digest is the digest of the sender's state at offset DigestAt.
	DigestAt id.Offset `cbor:"4,keyasint,omitempty"`
	Digest   uint64    `cbor:"5,keyasint,omitempty"`
	// Leaving lists backend servers that the sender knows to be shutting down.
	Leaving []route.LeavingEvidence `cbor:"6,keyasint,omitempty"`
	// Stopping is set while the sender is draining.
	Stopping bool `cbor:"7,keyasint,omitempty"`
	// WantsRecords requests the records after Applied from the receiver, because the
	// sender can't read the log.
	WantsRecords bool `cbor:"10,keyasint,omitempty"`
	// First is the offset of the first element of Records, which are consecutive
	// records of the log.
	First   id.Offset `cbor:"8,keyasint,omitempty"`
	Records [][]byte  `cbor:"9,keyasint,omitempty"`
}

// entry is what a host knows of one peer.
type entry struct {
	listed   bool
	frameAt  unit.Instant // time of the last frame, 0 if there was none
	applied  id.Offset
	stopping bool
}

// Table is what a host knows of its peers.
type Table struct {
	self  id.Host
	peers map[id.Host]*entry
}

// New returns an empty table.
func New(self id.Host) *Table {
	return &Table{self: self, peers: map[id.Host]*entry{}}
}

// SetHosts applies the platform's list of live hosts, which may be out of date. An
// unlisted host without a frame for forgetAfter is removed, so that the table
// doesn't grow as hosts are replaced.
func (t *Table) SetHosts(now unit.Instant, hosts []id.Host) {
	for _, p := range t.peers {
		p.listed = false
	}
	for _, h := range hosts {
		if h != t.self {
			t.get(h).listed = true
		}
	}
	for h, p := range t.peers {
		if !p.listed && now.Sub(p.frameAt) > forgetAfter {
			delete(t.peers, h)
		}
	}
}

// ReceiveFrame records a received frame.
func (t *Table) ReceiveFrame(now unit.Instant, f Frame) {
	p := t.get(f.From)
	p.frameAt, p.applied, p.stopping = now, f.Applied, f.Stopping
}

func (t *Table) get(h id.Host) *entry {
	p := t.peers[h]
	if p == nil {
		p = &entry{}
		t.peers[h] = p
	}
	return p
}

// Live returns the hosts that count as live and aren't stopping, including this one,
// in ascending order.
func (t *Table) Live(now unit.Instant) []id.Host {
	up := map[id.Host]bool{t.self: true}
	for h, p := range t.peers {
		fresh := p.frameAt != 0 && now.Sub(p.frameAt) < LiveTimeout
		if (p.listed || fresh) && !p.stopping {
			up[h] = true
		}
	}
	return config.SortedKeys(up)
}

// Targets returns the hosts to which this host sends frames. If extra is set, one
// more host is added, a different one for each round, so that this host reaches a
// peer even if all its neighbors are unreachable.
func (t *Table) Targets(now unit.Instant, extra bool, round int) []id.Host {
	live := t.Live(now)
	out := rank.Neighbors(t.self, live, MaxNeighbors)
	if extra {
		if h := live[round%len(live)]; h != t.self && !slices.Contains(out, h) {
			out = append(out, h)
		}
	}
	return out
}

// Applied returns the last offset that a peer is known to have applied. It reports
// false if the peer sent no frame within LiveTimeout.
func (t *Table) Applied(now unit.Instant, h id.Host) (id.Offset, bool) {
	p := t.peers[h]
	if p == nil || p.frameAt == 0 || now.Sub(p.frameAt) > LiveTimeout {
		return 0, false
	}
	return p.applied, true
}

// Near returns the hosts that sent a frame within nearTimeout and aren't stopping,
// including this one, in ascending order.
func (t *Table) Near(now unit.Instant) []id.Host {
	near := map[id.Host]bool{t.self: true}
	for h, p := range t.peers {
		if p.frameAt != 0 && now.Sub(p.frameAt) < nearTimeout && !p.stopping {
			near[h] = true
		}
	}
	return config.SortedKeys(near)
}

// AnyFrameWithin reports whether any peer sent a frame within d.
func (t *Table) AnyFrameWithin(now unit.Instant, d time.Duration) bool {
	for _, p := range t.peers {
		if p.frameAt != 0 && now.Sub(p.frameAt) <= d {
			return true
		}
	}
	return false
}

// Len returns the number of peers in the table.
func (t *Table) Len() int { return len(t.peers) }
