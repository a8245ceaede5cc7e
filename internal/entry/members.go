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
	// group is the group of live hosts in the store.
	group = "curlewsill-hosts"
	// joinEvery is how often a host says that it lives, a third of the shortest
	// time after which the store may drop it.
	joinEvery = 330 * time.Millisecond
	// lookAgain is the pause after a look that has failed.
	lookAgain = 500 * time.Millisecond
	// fewMembers is how many hosts the group has room for at first, and mostMembers at most: a
	// member shows only if it holds a partition, and an owner that doesn't show is taken for
	// dead. Each look returns all partitions, so there are no more of them than needed.
	fewMembers  = 64
	mostMembers = 512
	// tasksPerCore is how many tasks a second an owner with a whole core can start, tasksPerMegabit how many one Mbit/s
	// carries at 4 kB a task with its renewals and records. What counts is the proportion between hosts.
	tasksPerCore    = 700
	tasksPerMegabit = 31
)

// ability returns how many tasks a second a host can start as the owner.
func ability(s settings.Site) int {
	return int(min(s.Cores*tasksPerCore, float64(s.Link)*tasksPerMegabit))
}

// roomForMembers returns for how many hosts the group is to have room after a look that showed so
// many, with room for that many: twice as many once three quarters are taken.
func roomForMembers(shown, room int) int {
	if 4*shown >= 3*room {
		return min(2*room, mostMembers)
	}
	return room
}

// memberTopics returns topics with partitions for so many hosts.
func memberTopics(partitions, room int) []string {
	var out []string
	for n := 0; n < room; n += partitions {
		out = append(out, fmt.Sprintf("hosts.%d", len(out)))
	}
	return out
}

// keepMembership keeps the host in the group and looks at who else is.
func (h *Host) keepMembership(ctx context.Context) {
	go h.lookAtMembers(ctx)
	ttl := max(time.Second, h.settings.LeastTTL)
	dep := dependency{log: h.log, name: "store group"}
	generation := uint64(0)
	for ctx.Err() == nil && !h.stopping.Load() {
		topics := memberTopics(h.settings.Partitions, int(h.room.Load()))
		ended := h.health.begin()
		g, err := h.store.Join(ctx, group, h.member(), topics, ttl, generation)
		ended(err)
		if ctx.Err() != nil {
			return
		}
		dep.note(err)
		if err == nil {
			generation = g
		}
		pause(ctx, joinEvery)
	}
}

// lookAtMembers tells the election who lives and the relay which peers there are.
func (h *Host) lookAtMembers(ctx context.Context) {
	dep := dependency{log: h.log, name: "store members"}
	for ctx.Err() == nil {
		wait := lookAgain
		ended := h.health.begin()
		names, err := h.store.Members(ctx, group)
		ended(err)
		if ctx.Err() != nil {
			return
		}
		dep.note(err)
		if err == nil {
			members, peers, addresses := h.readMembers(names)
			h.growGroup(len(members))
			h.path.SetPeers(peers)
			h.advicePath.SetPeers(peers)
			h.recordsPath.SetPeers(peers)
			h.watchPath.SetPeers(peers)
			next, ok := ask(ctx, h, func(now unit.Instant) time.Duration {
				h.election.Look(now, members, h.table.Owner().Host)
				h.standby.Store(h.election.Standby())
				h.peerAddresses = addresses
				h.followOwner()
				h.remember(now, members, addresses)
				return h.election.NextLook()
			})
			if ok {
				wait = next
			}
		}
		pause(ctx, wait)
	}
}

// growGroup makes room for more hosts in the group when a look has shown that many.
func (h *Host) growGroup(shown int) {
	room := int(h.room.Load())
	larger := roomForMembers(shown, room)
	if larger != room {
		h.room.Store(int32(larger))
		h.log.Info("group-grows", zap.Int("members", shown), zap.Int("room", larger))
	}
}

// member is the host's name in the group: its own, where it listens for peers, and its ability.
func (h *Host) member() string {
	return string(h.self) + "@" + h.peers + "@" + strconv.Itoa(ability(h.settings))
}

// readMembers returns the hosts of the group, the others as peers, and where these listen.
func (h *Host) readMembers(names []string) ([]election.Member, []relay.Peer, map[id.Host]string) {
	members := make([]election.Member, 0, len(names))
	addresses := map[id.Host]string{}
	var peers []relay.Peer
	for _, n := range names {
		host, rest, _ := strings.Cut(n, "@")
		address, tasks, _ := strings.Cut(rest, "@")
		m := election.Member{Host: id.Host(host)}
		if a, err := strconv.Atoi(tasks); err == nil {
			m.Ability = a // a member that doesn't tell it claims last
		}
		members = append(members, m)
		if id.Host(host) != h.self && address != "" {
			peers = append(peers, relay.Peer{Address: address})
			addresses[m.Host] = address
		}
	}
	return members, peers, addresses
}
