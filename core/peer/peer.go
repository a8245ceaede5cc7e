// Package peer defines what entry hosts tell each other, and keeps what a host has
// heard of the others.
//
// Hosts agree on nothing among themselves. A frame is a heartbeat that also passes
// on hints: how far the log has been read, the owner's heartbeat, backend servers
// that are leaving, and records that the other may not have been able to read. Each
// host sends frames to a fixed number of neighbors, so its cost doesn't grow with
// the number of hosts.
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

// The times of heartbeats.
const (
	// Every is the time between two frames to the same neighbor.
	Every = 500 * time.Millisecond
	// Neighbors is how many hosts one host sends frames to.
	Neighbors = 4
	// Silence is how long a host counts as up without a frame or a mention in the
	// platform's host list.
	Silence = 4 * time.Second
	// forgetAfter is how long a host is remembered that nothing is heard of.
	forgetAfter = 10 * time.Minute
	// nearFor is how long a host counts as near after a frame.
	nearFor = 1500 * time.Millisecond
)

// Frame is one message to a peer.
type Frame struct {
	From id.Host `cbor:"1,keyasint"`
	// Applied is the last record that the sender applied.
	Applied   id.Offset       `cbor:"2,keyasint"`
	Heartbeat owner.Heartbeat `cbor:"3,keyasint"`
	// Check is the digest of the sender's state at offset CheckAt.
	CheckAt id.Offset `cbor:"4,keyasint,omitempty"`
	Check   uint64    `cbor:"5,keyasint,omitempty"`
	// Leaving lists backend servers that the sender knows to be leaving.
	Leaving []route.Departure `cbor:"6,keyasint,omitempty"`
	// Stopping is set by a host that is about to stop.
	Stopping bool `cbor:"7,keyasint,omitempty"`
	// Behind asks the receiver for the records after Applied, because the sender
	// can't read the log.
	Behind bool `cbor:"10,keyasint,omitempty"`
	// Records follow one another from offset First.
	First   id.Offset `cbor:"8,keyasint,omitempty"`
	Records [][]byte  `cbor:"9,keyasint,omitempty"`
}

// entry is what is known of one peer.
type entry struct {
	listed   bool
	heard    unit.Instant
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

// List takes over the platform's list of live hosts, which lags. A host that is
// neither listed nor was heard of for long is forgotten, so that the table doesn't grow
// with the hosts that are replaced.
func (t *Table) List(now unit.Instant, hosts []id.Host) {
	for _, p := range t.peers {
		p.listed = false
	}
	for _, h := range hosts {
		if h != t.self {
			t.get(h).listed = true
		}
	}
	for h, p := range t.peers {
		if !p.listed && now.Sub(p.heard) > forgetAfter {
			delete(t.peers, h)
		}
	}
}

// Hear takes in a frame.
func (t *Table) Hear(now unit.Instant, f Frame) {
	p := t.get(f.From)
	p.heard, p.applied, p.stopping = now, f.Applied, f.Stopping
}

func (t *Table) get(h id.Host) *entry {
	p := t.peers[h]
	if p == nil {
		p = &entry{}
		t.peers[h] = p
	}
	return p
}

// Live returns the hosts that are taken to be up and staying, this one included, in
// ascending order.
func (t *Table) Live(now unit.Instant) []id.Host {
	up := map[id.Host]bool{t.self: true}
	for h, p := range t.peers {
		fresh := p.heard != 0 && now.Sub(p.heard) < Silence
		if (p.listed || fresh) && !p.stopping {
			up[h] = true
		}
	}
	return config.Sorted(up)
}

// Targets returns the hosts that get this host's frames. A host that looks for help
// adds one more, another at each turn, so that it finds a peer even if all its
// neighbors are cut off.
func (t *Table) Targets(now unit.Instant, help bool, turn int) []id.Host {
	live := t.Live(now)
	out := rank.Neighbors(t.self, live, Neighbors)
	if help {
		if h := live[turn%len(live)]; h != t.self && !slices.Contains(out, h) {
			out = append(out, h)
		}
	}
	return out
}

// Applied returns the last offset that a peer is known to have applied, and whether
// it was heard of lately.
func (t *Table) Applied(now unit.Instant, h id.Host) (id.Offset, bool) {
	p := t.peers[h]
	if p == nil || p.heard == 0 || now.Sub(p.heard) > Silence {
		return 0, false
	}
	return p.applied, true
}

// Near returns the hosts that were heard of lately, this one included, in ascending
// order.
func (t *Table) Near(now unit.Instant) []id.Host {
	near := map[id.Host]bool{t.self: true}
	for h, p := range t.peers {
		if p.heard != 0 && now.Sub(p.heard) < nearFor && !p.stopping {
			near[h] = true
		}
	}
	return config.Sorted(near)
}

// Heard reports whether any peer was heard of within d.
func (t *Table) Heard(now unit.Instant, d time.Duration) bool {
	for _, p := range t.peers {
		if p.heard != 0 && now.Sub(p.heard) <= d {
			return true
		}
	}
	return false
}

// Len returns how many peers are remembered.
func (t *Table) Len() int { return len(t.peers) }
