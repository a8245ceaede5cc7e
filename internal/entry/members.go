package entry

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/election"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/internal/relay"
	"curlewsill.org/curlewsill/internal/settings"
)

const (
	// candidateGroup and reserveGroup are the names of the groups of candidates
	// and of reserves in the store. candidateTopics and reserveTopics begin the
	// names of their topics.
	candidateGroup  = "curlewsill-hosts"
	reserveGroup    = "curlewsill-reserves"
	candidateTopics = "hosts"
	reserveTopics   = "reserves"
	// heartbeatInterval is the interval of a candidate's heartbeats, a third of
	// the shortest time after which the store may drop a member.
	heartbeatInterval = 330 * time.Millisecond
	// reserveTTL is how long the membership of a reserve lasts. The failure of a
	// reserve needs no quick response, and after a restart the membership tells
	// a host that it was a reserve. reserveHeartbeatInterval is the interval of
	// its heartbeats.
	reserveTTL               = 10 * time.Second
	reserveHeartbeatInterval = reserveTTL / 3
	// settlingInterval takes the place of reserveHeartbeatInterval in the first
	// settlingTime of a membership. The store takes a partition from a member
	// only at the member's next heartbeat. When many hosts become reserves at
	// once, the last ones would be listed late.
	settlingInterval = time.Second
	settlingTime     = 10 * time.Second
	// membersRetryPause is the pause after a failed poll of a group.
	membersRetryPause = 500 * time.Millisecond
	// reservePollInterval is the pause between two polls of the candidates by a
	// reserve, and shortPollInterval that pause while there are too few of them.
	reservePollInterval = 2 * time.Second
	shortPollInterval   = 500 * time.Millisecond
	// reservesPollInterval is the interval at which the owner polls the
	// reserves. It has to know all hosts that may become the owner.
	reservesPollInterval = 3 * time.Second
	// initialGroupRoom is the number of hosts for which a group initially has
	// partitions. The store lists a member only if it holds a partition, and an
	// owner that isn't listed is taken for dead. Each poll of a group returns
	// all partitions, so there should be no more of them than needed.
	initialGroupRoom = 64
	// initialReserveRoom is the same for the group of reserves, which only large
	// sites have.
	initialReserveRoom = 512
	// maxCandidateRoom limits the room for candidates. If hundreds of hosts start
	// together, those that aren't listed become reserves by the members that are.
	maxCandidateRoom = 192
	// maxReserveTopics limits the topics of the reserves. The platform allows 100
	// topics; the logs and the candidates need the others.
	maxReserveTopics = 80
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
// group lists, room its present room. The room doubles, up to a limit, until less
// than three quarters of it are taken.
func roomForMembers(listed, room, limit int) int {
	for 4*listed >= 3*room && room < limit {
		room = min(2*room, limit)
	}
	return room
}

// memberTopics returns a group's topics, whose names begin with prefix. Each
// topic has the given number of partitions, and together they have at least one
// for each of room hosts.
func memberTopics(prefix string, partitions, room int) []string {
	var out []string
	for n := 0; n < room; n += partitions {
		out = append(out, fmt.Sprintf("%s.%d", prefix, len(out)))
	}
	return out
}

// membership is this host's membership of a group of hosts. Only the goroutine
// that sends the heartbeats uses generation.
type membership struct {
	group, topics string
	ttl, interval time.Duration
	// room is the number of hosts for which the group has partitions, as last
	// seen by this host. It is at most maxRoom.
	room    atomic.Int32
	maxRoom int
	// generation is the generation of the group that the store last returned.
	generation uint64
}

// newMemberships returns the membership of each group, in a store that has the
// given number of partitions in a topic and the given least time to live.
func newMemberships(partitions int, leastTTL time.Duration) (candidates, reserves *membership) {
	candidates = &membership{
		group: candidateGroup, topics: candidateTopics, ttl: max(time.Second, leastTTL), interval: heartbeatInterval, maxRoom: maxCandidateRoom,
	}
	reserves = &membership{
		group: reserveGroup, topics: reserveTopics, ttl: max(reserveTTL, leastTTL), interval: reserveHeartbeatInterval,
		maxRoom: max(initialReserveRoom, maxReserveTopics*partitions),
	}
	candidates.room.Store(initialGroupRoom)
	reserves.room.Store(initialReserveRoom)
	return candidates, reserves
}

// pause returns the pause between two heartbeats of a membership of the given
// age.
func (m *membership) pause(age time.Duration) time.Duration {
	if age < settlingTime {
		return min(m.interval, settlingInterval)
	}
	return m.interval
}

// currentMembership returns the membership that this host should have, or nil
// while its role is unknown.
func (h *Host) currentMembership() *membership { return h.member.Load() }

// keepMembership sends the host's heartbeats to the group of its role, and
// starts to follow the members of the groups.
func (h *Host) keepMembership(ctx context.Context) {
	go h.followMembers(ctx)
	dep := dependency{log: h.log, name: "store group"}
	var joined *membership
	var joinedAt time.Time
	for ctx.Err() == nil && !h.stopping.Load() {
		m := h.currentMembership()
		if joined != nil && m != joined {
			h.leave(ctx, joined)
		}
		if m != joined {
			joined, joinedAt = m, time.Now()
		}
		if m == nil {
			pauseUntilWoken(ctx, reservePollInterval, h.roleChanged)
			continue
		}
		err := h.join(ctx, m)
		if ctx.Err() != nil {
			return
		}
		dep.note(err)
		if err != nil {
			pause(ctx, heartbeatInterval)
			continue
		}
		pauseUntilWoken(ctx, m.pause(time.Since(joinedAt)), h.roleChanged)
	}
}

// join sends one heartbeat.
func (h *Host) join(ctx context.Context, m *membership) error {
	topics := memberTopics(m.topics, h.settings.Partitions, int(m.room.Load()))
	ended := h.health.begin()
	g, err := h.store.Join(ctx, m.group, h.memberName(m), topics, m.ttl, m.generation)
	ended(err)
	if err == nil {
		m.generation = g
	}
	return err
}

// leave ends a membership.
func (h *Host) leave(ctx context.Context, m *membership) {
	if err := h.store.Leave(ctx, m.group, h.memberName(m)); err != nil {
		h.log.Info("leave-failed", zap.String("group", m.group), zap.Error(err))
	}
}

// followMembers repeatedly polls the candidates, and the reserves when they are
// needed.
func (h *Host) followMembers(ctx context.Context) {
	dep := dependency{log: h.log, name: "store members"}
	for ctx.Err() == nil {
		wait, err := h.pollGroups(ctx)
		if ctx.Err() != nil {
			return
		}
		dep.note(err)
		pause(ctx, wait)
	}
}

// pollGroups polls the groups once and returns the pause until the next poll.
func (h *Host) pollGroups(ctx context.Context) (time.Duration, error) {
	names, full, err := h.poll(ctx, h.candidates)
	if err != nil {
		return membersRetryPause, err
	}
	view, ok := query(ctx, h, func(now unit.Instant) groupView { return h.observeCandidates(now, names, full) })
	if !ok {
		return membersRetryPause, nil
	}
	if view.ownerMissing {
		h.wakeReader() // another host may have claimed
	}
	if !view.needsReserves {
		return view.pause, nil
	}
	if names, _, err = h.poll(ctx, h.reserves); err != nil {
		return membersRetryPause, err
	}
	_, ok = query(ctx, h, func(now unit.Instant) bool {
		h.observeReserves(now, names)
		return true
	})
	if !ok {
		return membersRetryPause, nil
	}
	return view.pause, nil
}

// poll returns the names of a group's members, and whether the group has no room
// for more. It makes room if the members need it.
func (h *Host) poll(ctx context.Context, m *membership) (names []string, full bool, err error) {
	ended := h.health.begin()
	names, err = h.store.Members(ctx, m.group)
	ended(err)
	if err == nil {
		full = len(names) >= int(m.room.Load())
		h.growGroup(m, len(names))
	}
	return names, full, err
}

// groupView is what follows from a poll of the candidates.
type groupView struct {
	pause                       time.Duration
	ownerMissing, needsReserves bool
}

// observeCandidates handles a poll of the candidates. A group that was full may
// lack live hosts, so that it shows no failure of the owner. Only the deciding
// goroutine may call it.
func (h *Host) observeCandidates(now unit.Instant, names []string, full bool) groupView {
	members, peers, addresses := h.parseMembers(names)
	if full || h.candidacy.Reserve() && !h.loaded {
		h.election.ObserveGroupOnly(now, members)
	} else {
		h.election.ObserveGroup(now, members, h.table.Owner().Host)
	}
	h.candidacy.ObserveCandidates(len(members), h.election)
	h.standby.Store(h.candidacy.Candidate() && h.election.Standby())
	h.peerAddresses = addresses
	h.setPeers(peers)
	h.followOwner()
	h.rememberHosts(now, members, addresses)
	h.updateRole(now)
	v := groupView{pause: h.election.PollInterval(), ownerMissing: h.election.OwnerMissing(), needsReserves: h.candidacy.NeedsReserves()}
	switch {
	case h.candidacy.Short():
		v.pause = shortPollInterval
	case h.candidacy.Reserve():
		v.pause = reservePollInterval
	}
	if h.owner != nil && now.Sub(h.reservesPolledAt) >= reservesPollInterval {
		v.needsReserves = true
	}
	return v
}

// observeReserves handles a poll of the reserves. Only the deciding goroutine may
// call it.
func (h *Host) observeReserves(now unit.Instant, names []string) {
	members, _, addresses := h.parseMembers(names)
	h.reservesPolledAt = now
	h.candidacy.ObserveReserves(members)
	h.rememberHosts(now, members, addresses)
	h.updateRole(now)
}

// updateRole applies a change of this host's role. Only the deciding goroutine
// may call it.
func (h *Host) updateRole(now unit.Instant) {
	m := h.currentMembership()
	switch {
	case h.candidacy.Candidate(), h.owner != nil:
		m = h.candidates // an owner that isn't listed among the candidates is taken for dead
	case h.candidacy.Reserve():
		m = h.reserves
	}
	if h.member.Swap(m) != m {
		wake(h.roleChanged)
		h.log.Info("role", zap.String("group", m.group), zap.Int("candidates", len(h.peerAddresses)))
	}
	h.updateFollowing(now)
}

// setPeers replaces the peers on all paths. Only candidates are used: they
// follow the jobs, and their group drops them soon after they have failed.
func (h *Host) setPeers(peers []relay.Peer) {
	for _, p := range []*relay.Transport{h.storePath, h.advicePath, h.recordsPath, h.watchPath, h.jobsPath} {
		p.SetPeers(peers)
	}
	h.jobHosts.set(h.self, peers)
}

// growGroup makes room for more hosts in a group if the listed members need it.
func (h *Host) growGroup(m *membership, listed int) {
	room := int(m.room.Load())
	larger := roomForMembers(listed, room, m.maxRoom)
	if larger != room {
		m.room.Store(int32(larger))
		wake(h.roleChanged) // the next heartbeat adds the partitions
		h.log.Info("group-grows", zap.String("group", m.group), zap.Int("members", listed), zap.Int("room", larger))
	}
}

// memberName returns the host's name in a group: its id, the address on which it
// listens for peers, and its ability. Among the reserves all incarnations of a
// host have the same name, so that a restart changes nothing there: the store
// deals the partitions anew with each change.
func (h *Host) memberName(m *membership) string {
	name := h.self
	if m == h.reserves {
		name = h.settings.Host
	}
	return string(name) + "@" + h.peers + "@" + strconv.Itoa(ability(h.settings))
}

// parseMembers parses the names of a group's members, which memberName
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
