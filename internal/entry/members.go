package entry

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/election"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/internal/relay"
	"curlewsill.org/curlewsill/internal/settings"
)

const (
	// group is the name of the group of live hosts in the store.
	group = "curlewsill-hosts"
	// heartbeatInterval is the interval of a candidate's heartbeats to the
	// group, a third of the shortest time after which the store may drop a
	// member.
	heartbeatInterval = 330 * time.Millisecond
	// reserveTTL is how long the membership of a reserve lasts, and
	// reserveHeartbeatInterval the interval of its heartbeats. The failure of a
	// reserve needs no quick response, because it owns nothing and other hosts
	// relay no calls through it.
	reserveTTL               = 10 * time.Second
	reserveHeartbeatInterval = reserveTTL / 3
	// roleCheckInterval is how often a reserve checks whether it has become a
	// candidate. Its membership must be short-lived then.
	roleCheckInterval = heartbeatInterval
	// membersRetryPause is the pause after a failed read of the group.
	membersRetryPause = 500 * time.Millisecond
	// initialGroupRoom is the number of hosts for which the group initially has
	// partitions. The store lists a member only if it holds a partition, and an
	// owner that isn't listed is taken for dead. Each read of the group returns
	// all partitions, so there should be no more of them than needed.
	initialGroupRoom = 64
	// maxGroupTopics limits the group's topics. The platform allows 100 topics;
	// the others are for the logs.
	maxGroupTopics = 90
	// tasksPerCore is how many tasks a second an owner with one whole core can
	// start. tasksPerMegabit is how many tasks a second 1 Mbit/s carries, at
	// 4 kB for a task with its renewals and records. Only the ratio between
	// hosts matters.
	tasksPerCore    = 700
	tasksPerMegabit = 31
)

// ability returns how many tasks a second a host can start as the owner.
func ability(s settings.Site) int {
	return int(min(s.Cores*tasksPerCore, float64(s.Link)*tasksPerMegabit))
}

// roomForMembers returns the room that the group should have: the number of
// hosts for which it has partitions. listed is the number of hosts that the
// group lists, room its present room, partitions the number of partitions of
// each topic. The room doubles, as far as the topics allow, once three quarters
// of it are taken.
func roomForMembers(listed, room, partitions int) int {
	if 4*listed >= 3*room {
		return max(room, min(2*room, maxGroupTopics*partitions))
	}
	return room
}

// memberTopics returns the group's topics. Each topic has the given number of
// partitions, and together they have at least one for each of room hosts.
func memberTopics(partitions, room int) []string {
	var out []string
	for n := 0; n < room; n += partitions {
		out = append(out, fmt.Sprintf("hosts.%d", len(out)))
	}
	return out
}

// keepMembership sends the host's heartbeats to the group, and starts to follow
// the group's members.
func (h *Host) keepMembership(ctx context.Context) {
	go h.followMembers(ctx)
	dep := dependency{log: h.log, name: "store group"}
	generation := uint64(0)
	for ctx.Err() == nil && !h.stopping.Load() {
		topics := memberTopics(h.settings.Partitions, int(h.groupCapacity.Load()))
		candidate := h.isCandidate()
		ended := h.health.begin()
		g, err := h.store.Join(ctx, group, h.memberName(), topics, h.membershipTTL(candidate), generation)
		ended(err)
		if ctx.Err() != nil {
			return
		}
		dep.note(err)
		if err == nil {
			generation = g
		}
		if candidate || err != nil {
			pause(ctx, heartbeatInterval)
		} else {
			h.pauseAsReserve(ctx)
		}
	}
}

// isCandidate reports whether this host needs a short-lived membership, so that
// its failure is noticed soon: it is among the hosts that would claim, or it is
// the owner.
func (h *Host) isCandidate() bool { return !h.reserve.Load() || h.metrics.owning.Load() }

// membershipTTL returns for how long a heartbeat renews the membership.
func (h *Host) membershipTTL(candidate bool) time.Duration {
	if candidate {
		return max(time.Second, h.settings.LeastTTL)
	}
	return max(reserveTTL, h.settings.LeastTTL)
}

// pauseAsReserve pauses between two heartbeats of a reserve. The pause ends
// early if the host becomes a candidate.
func (h *Host) pauseAsReserve(ctx context.Context) {
	end := time.Now().Add(reserveHeartbeatInterval)
	for time.Now().Before(end) && !h.isCandidate() && !h.stopping.Load() {
		if !pause(ctx, roleCheckInterval) {
			return
		}
	}
}

// followMembers repeatedly reads the members of the group, and passes them to
// the election and to the paths through peers.
func (h *Host) followMembers(ctx context.Context) {
	dep := dependency{log: h.log, name: "store members"}
	for ctx.Err() == nil {
		wait := membersRetryPause
		ended := h.health.begin()
		names, err := h.store.Members(ctx, group)
		ended(err)
		if ctx.Err() != nil {
			return
		}
		dep.note(err)
		if err == nil {
			wait = h.observeMembers(ctx, names)
		}
		pause(ctx, wait)
	}
}

// observeMembers handles a read of the group that returned the given names, and
// returns the pause until the next read.
func (h *Host) observeMembers(ctx context.Context, names []string) time.Duration {
	members, peers, addresses := h.parseMembers(names)
	h.growGroup(len(members))
	h.advicePath.SetPeers(peers)
	h.recordsPath.SetPeers(peers)
	h.watchPath.SetPeers(peers)
	var former []string
	missing := false
	wait, ok := query(ctx, h, func(now unit.Instant) time.Duration {
		h.election.ObserveGroup(now, members, h.table.Owner().Host)
		h.standby.Store(h.election.Standby())
		h.reserve.Store(!h.election.Candidate())
		h.peerAddresses = addresses
		h.followOwner()
		h.rememberHosts(now, members, addresses)
		h.storePath.SetPeers(h.relayPeers())
		former = h.formerMemberships(names)
		missing = h.election.OwnerMissing()
		return h.election.PollInterval()
	})
	if !ok {
		return membersRetryPause
	}
	if missing {
		h.wakeReader() // another host may have claimed
	}
	for _, name := range former {
		if err := h.store.Leave(ctx, group, name); err != nil {
			h.log.Info("leave-failed", zap.Error(err))
		}
	}
	return wait
}

// relayPeers returns the peers through which calls to the store may be relayed:
// the candidates, because the group lists a reserve for some time after its
// failure. Only the deciding goroutine may call it.
func (h *Host) relayPeers() []relay.Peer {
	var out []relay.Peer
	for _, c := range h.election.Candidates() {
		if address := h.peerAddresses[c]; address != "" {
			out = append(out, relay.Peer{Address: address})
		}
	}
	return out
}

// formerMemberships returns those of the names that earlier incarnations of
// this host have in the group. These incarnations have ended, but the membership
// of a reserve lasts longer than a restart, and would use up the group's room.
// The owner's is kept: if it ended before this host has claimed the ownership
// again, other hosts would claim it too. Only the deciding goroutine may call
// it.
func (h *Host) formerMemberships(names []string) []string {
	var out []string
	for _, n := range names {
		name, _, _ := strings.Cut(n, "@")
		host := id.Host(name)
		if host != h.self && machineOf(host) == h.settings.Host && host != h.table.Owner().Host {
			out = append(out, n)
		}
	}
	return out
}

// growGroup makes room for more hosts in the group if the listed members need
// it.
func (h *Host) growGroup(listed int) {
	room := int(h.groupCapacity.Load())
	larger := roomForMembers(listed, room, h.settings.Partitions)
	if larger != room {
		h.groupCapacity.Store(int32(larger))
		h.log.Info("group-grows", zap.Int("members", listed), zap.Int("room", larger))
	}
}

// memberName returns the host's name in the group: its id, the address on which
// it listens for peers, and its ability.
func (h *Host) memberName() string {
	return string(h.self) + "@" + h.peers + "@" + strconv.Itoa(ability(h.settings))
}

// parseMembers parses the names of the group's members, which memberName
// describes. It returns all hosts of the group, the peers (all hosts but this
// one), and the addresses on which the peers listen.
func (h *Host) parseMembers(names []string) ([]election.Member, []relay.Peer, map[id.Host]string) {
	members := make([]election.Member, 0, len(names))
	addresses := map[id.Host]string{}
	var peers []relay.Peer
	for _, n := range names {
		host, rest, _ := strings.Cut(n, "@")
		address, tasks, _ := strings.Cut(rest, "@")
		m := election.Member{Host: id.Host(host)}
		if a, err := strconv.Atoi(tasks); err == nil {
			m.Ability = a // a member without a readable ability has ability 0 and claims last
		}
		members = append(members, m)
		if id.Host(host) != h.self && address != "" {
			peers = append(peers, relay.Peer{Address: address})
			addresses[m.Host] = address
		}
	}
	return members, peers, addresses
}
