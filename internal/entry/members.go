package entry

import (
	"context"
	"fmt"
	"slices"
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
	// group is the name of the group of candidates in the store.
	group = "curlewsill-hosts"
	// heartbeatInterval is the interval of a candidate's heartbeats, a third of
	// the shortest time after which the store may drop a member.
	heartbeatInterval = 330 * time.Millisecond
	// membersRetryPause is the pause after a failed poll of the group.
	membersRetryPause = 500 * time.Millisecond
	// reservePollInterval is the pause between two polls by a reserve, and
	// shortPollInterval that pause while there are too few candidates.
	reservePollInterval = 2 * time.Second
	shortPollInterval   = 500 * time.Millisecond
	// initialGroupRoom is the number of hosts for which the group initially has
	// partitions. The store lists a member only if it holds a partition, and an
	// owner that isn't listed is taken for dead. Each poll of the group returns
	// all partitions, so there should be no more of them than needed.
	initialGroupRoom = 64
	// maxGroupRoom limits the room. If hundreds of hosts start together, those
	// that aren't listed become reserves by the members that are.
	maxGroupRoom = 192
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
// group lists, room its present room. The room doubles, up to maxGroupRoom, until
// less than three quarters of it are taken.
func roomForMembers(listed, room int) int {
	for 4*listed >= 3*room && room < maxGroupRoom {
		room = min(2*room, maxGroupRoom)
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

// keepMembership sends the host's heartbeats to the group while it is a member,
// and starts to follow the group's members.
func (h *Host) keepMembership(ctx context.Context) {
	go h.followMembers(ctx)
	dep := dependency{log: h.log, name: "store group"}
	generation, joined := uint64(0), false
	for ctx.Err() == nil && !h.stopping.Load() {
		if !h.member.Load() {
			if joined {
				h.leave(ctx)
			}
			joined = false
			pauseUntilWoken(ctx, reservePollInterval, h.roleChanged)
			continue
		}
		topics := memberTopics(h.settings.Partitions, int(h.groupCapacity.Load()))
		began, ended := h.now(), h.health.begin()
		g, err := h.store.Join(ctx, group, h.memberName(), topics, max(time.Second, h.settings.LeastTTL), generation)
		ended(err)
		if ctx.Err() != nil {
			return
		}
		dep.note(err)
		h.noteGroupCall(ctx, began, err)
		if err == nil {
			generation, joined = g, true
		}
		pauseUntilWoken(ctx, heartbeatInterval, h.roleChanged)
	}
}

// leave takes this host out of the group.
func (h *Host) leave(ctx context.Context) {
	if err := h.store.Leave(ctx, group, h.memberName()); err != nil {
		h.log.Info("leave-failed", zap.Error(err))
	}
}

// followMembers determines the role that this host begins with, and then polls
// the group repeatedly.
func (h *Host) followMembers(ctx context.Context) {
	h.beginRole(ctx)
	dep := dependency{log: h.log, name: "store members"}
	for ctx.Err() == nil {
		wait := membersRetryPause
		began, ended := h.now(), h.health.begin()
		names, err := h.store.Members(ctx, group)
		ended(err)
		if ctx.Err() != nil {
			return
		}
		dep.note(err)
		h.noteGroupCall(ctx, began, err)
		if err == nil {
			wait = h.observeMembers(ctx, names)
		}
		pause(ctx, wait)
	}
}

// observeMembers handles a poll of the group and returns the pause until the next
// one.
func (h *Host) observeMembers(ctx context.Context, names []string) time.Duration {
	full := h.growGroup(len(names))
	missing := false
	wait, ok := query(ctx, h, func(now unit.Instant) time.Duration {
		h.observeCandidates(now, names, full)
		missing = h.election.OwnerMissing()
		h.recordLastCandidate(ctx, now)
		return h.pollInterval()
	})
	if !ok {
		return membersRetryPause
	}
	if missing {
		h.wakeReader() // another host may have claimed
	}
	return wait
}

// observeCandidates handles the members that a poll has returned. A group that
// was full may lack live hosts, so that it shows no failure of the owner. Only
// the deciding goroutine may call it.
func (h *Host) observeCandidates(now unit.Instant, names []string, full bool) {
	members, peers, addresses := h.parseMembers(names)
	if full || h.candidacy.Reserve() && !h.loaded {
		h.election.ObserveMembers(now, members)
	} else {
		h.election.ObserveGroup(now, members, h.table.Owner().Host)
	}
	h.candidacy.Observe(now, machinesOf(members))
	h.standby.Store(h.candidacy.Candidate() && h.election.Standby())
	h.peerAddresses = addresses
	h.setPeers(peers)
	h.followOwner()
	h.rememberHosts(now, members, addresses)
	h.updateRole(now)
}

// pollInterval returns the pause until the next poll of the group. Only the
// deciding goroutine may call it.
func (h *Host) pollInterval() time.Duration {
	switch {
	case h.candidacy.Short():
		return shortPollInterval
	case h.candidacy.Reserve():
		return reservePollInterval
	}
	return h.election.PollInterval()
}

// updateRole applies a change of this host's role. An owner stays in the group,
// because it would be taken for dead otherwise. Only the deciding goroutine may
// call it.
func (h *Host) updateRole(now unit.Instant) {
	member := h.candidacy.Candidate() || h.owner != nil
	if h.member.Swap(member) != member {
		wake(h.roleChanged)
		h.log.Info("role", zap.Bool("candidate", member), zap.Int("candidates", len(h.peerAddresses)))
	}
	h.updateFollowing(now)
}

// setPeers replaces the peers on all paths. Only candidates are used: they
// follow the jobs, and the group drops them soon after they have failed.
func (h *Host) setPeers(peers []relay.Peer) {
	for _, p := range []*relay.Transport{h.storePath, h.advicePath, h.recordsPath, h.watchPath, h.jobsPath} {
		p.SetPeers(peers)
	}
	h.jobHosts.set(h.self, peers)
}

// growGroup makes room for more hosts in the group if the listed members need
// it. It reports whether the group had no room for more.
func (h *Host) growGroup(listed int) (full bool) {
	room := int(h.groupCapacity.Load())
	larger := roomForMembers(listed, room)
	if larger != room {
		h.groupCapacity.Store(int32(larger))
		wake(h.roleChanged) // the next heartbeat adds the partitions
		h.log.Info("group-grows", zap.Int("members", listed), zap.Int("room", larger))
	}
	return listed >= room
}

// memberName returns the host's name in the group: its id, the address on which
// it listens for peers, and its ability.
func (h *Host) memberName() string {
	return string(h.self) + "@" + h.peers + "@" + strconv.Itoa(ability(h.settings))
}

// machinesOf returns members under the names that all incarnations of a host
// share.
func machinesOf(members []election.Member) []election.Member {
	out := slices.Clone(members)
	for i := range out {
		out[i].Host = machineOf(out[i].Host)
	}
	return out
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
