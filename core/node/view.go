package node

import (
	"curlewsill.org/curlewsill/core/config"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/state"
	"curlewsill.org/curlewsill/core/unit"
)

// view returns a copy of the host's view of the system.
func (n *Node) view(now unit.Instant, jobs bool) View {
	v := View{
		Host: n.self, State: n.hostState, Applied: n.state.Applied, ConfigAt: n.state.ConfigAt,
		Config: n.state.Config, Owner: n.state.Owner, Heartbeat: n.election.Heartbeat(),
		Peers: n.peers.Live(now), InFlight: n.router.InFlight(), Counts: n.counts, Now: now,
		LogAge: now.Sub(n.readAt),
	}
	if n.sched != nil {
		v.Sched = n.sched.Stats()
	}
	if !jobs {
		return v
	}
	for _, k := range config.SortedKeys(n.state.Jobs) {
		v.Jobs = append(v.Jobs, *n.state.Jobs[k])
	}
	return v
}

// Applied returns the offset of the last record that the host has applied.
func (n *Node) Applied() id.Offset { return n.state.Applied }

// State returns the state of the host's state chart.
func (n *Node) State() State { return n.hostState }

// ConfigAt returns the offset of the configuration in force on this host.
func (n *Node) ConfigAt() id.Offset { return n.state.ConfigAt }

// Digest returns the digest of the replayed state.
func (n *Node) Digest() (uint64, error) { return n.state.Digest() }

// ReplayedState returns the replayed state. The caller must not change it.
func (n *Node) ReplayedState() *state.State { return n.state }
