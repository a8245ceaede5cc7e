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
	// heartbeatInterval is the interval of a host's heartbeats to the group, a
	// third of the shortest time after which the store may drop a member.
	heartbeatInterval = 330 * time.Millisecond
	// membersRetryPause is the pause after a failed read of the group.
	membersRetryPause = 500 * time.Millisecond
	// initialGroupRoom is the number of hosts for which the group initially has
	// partitions, and maxMembers the upper limit of that number. The store
	// lists a member only if it holds a partition, and an owner that isn't
	// listed is taken for dead. Each read of the group returns all partitions,
	// so there should be no more of them than needed.
	initialGroupRoom = 64
	maxMembers       = 512
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
// group lists, room its present room. The room doubles, up to maxMembers, once
// three quarters of it are taken.
func roomForMembers(listed, room int) int {
	if 4*listed >= 3*room {
		return min(2*room, maxMembers)
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
	ttl := max(time.Second, h.settings.LeastTTL)
	dep := dependency{log: h.log, name: "store group"}
	generation := uint64(0)
	for ctx.Err() == nil && !h.stopping.Load() {
		topics := memberTopics(h.settings.Partitions, int(h.groupCapacity.Load()))
		ended := h.health.begin()
		g, err := h.store.Join(ctx, group, h.memberName(), topics, ttl, generation)
		ended(err)
		if ctx.Err() != nil {
			return
		}
		dep.note(err)
		if err == nil {
			generation = g
		}
		pause(ctx, heartbeatInterval)
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
			members, peers, addresses := h.parseMembers(names)
			h.growGroup(len(members))
			h.storePath.SetPeers(peers)
			h.advicePath.SetPeers(peers)
			h.recordsPath.SetPeers(peers)
			h.watchPath.SetPeers(peers)
			next, ok := query(ctx, h, func(now unit.Instant) time.Duration {
				h.election.ObserveGroup(now, members, h.table.Owner().Host)
				h.standby.Store(h.election.Standby())
				h.peerAddresses = addresses
				h.followOwner()
				h.rememberHosts(now, members, addresses)
				return h.election.PollInterval()
			})
			if ok {
				wait = next
			}
		}
		pause(ctx, wait)
	}
}

// growGroup makes room for more hosts in the group if the listed members need
// it.
func (h *Host) growGroup(listed int) {
	room := int(h.groupCapacity.Load())
	larger := roomForMembers(listed, room)
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
