package node

import (
	"errors"
	"math/rand/v2"
	"time"

	"curlewsill.org/curlewsill/core/chart"
	"curlewsill.org/curlewsill/core/charts"
	"curlewsill.org/curlewsill/core/config"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/journal"
	"curlewsill.org/curlewsill/core/owner"
	"curlewsill.org/curlewsill/core/peer"
	"curlewsill.org/curlewsill/core/place"
	"curlewsill.org/curlewsill/core/plan"
	"curlewsill.org/curlewsill/core/record"
	"curlewsill.org/curlewsill/core/recovery"
	"curlewsill.org/curlewsill/core/route"
	"curlewsill.org/curlewsill/core/sched"
	"curlewsill.org/curlewsill/core/state"
	"curlewsill.org/curlewsill/core/unit"
)

// State is a state of the host's state chart (host.chart).
type State string

type event string

// The states of a host.
const (
	Joining  State = "joining"
	Ready    State = "ready"
	Isolated State = "isolated"
	Draining State = "draining"
	Stopped  State = "stopped"
)

const (
	caughtUp event = "caught-up"
	cutOff   event = "cut-off"
	stop     event = "stop"
	drained  event = "drained"
)

var hostChart = chart.MustParse[State, event]("host.chart", charts.Read("host"))

// The times of a node.
const (
	// maxLogAge is the maximum time since the last successful read of the log for
	// the log to count as available.
	maxLogAge = 3 * time.Second
	// isolatedAfter is the time after which a host that has neither read the
	// log nor received a frame of a peer counts as isolated. An isolated host
	// isn't ready, and stops renewing leases if it is the owner.
	isolatedAfter = 30 * time.Second
	// snapshotRecords and snapshotMaxAge bound the distance between two
	// snapshots. The owner writes a snapshot after snapshotRecords records, or
	// after snapshotMaxAge if there was any record since the last one.
	snapshotRecords = 2000
	snapshotMaxAge  = 5 * time.Minute
	// digestEvery is the number of records between two state digests that hosts
	// compare.
	digestEvery = 512
	// stopDelay is how long a draining host still accepts requests after it has
	// reported to the load balancer that it isn't ready.
	stopDelay = 2 * time.Second
	// firstFrameWait is the longest time for which a new host waits for a
	// peer's frame before it becomes ready.
	firstFrameWait = 2 * time.Second
)

// Errors that a node returns as verdicts (Actions.Verdicts) or as faults
// (Actions.Faults).
var (
	// ErrUnknownVerdict reports an entry that is in the log but whose verdict this
	// host didn't compute, because it restored a snapshot that covers the entry.
	ErrUnknownVerdict = errors.New("node: verdict unknown")
	// ErrHalted reports that the log holds a batch that this version of the
	// program can't decode.
	ErrHalted = errors.New("node: halted: the log is newer than this program")
	// ErrConfigReverted reports that the configuration in force would have been
	// replaced by an earlier one.
	ErrConfigReverted = errors.New("node: configuration reverted to an earlier offset")
	// ErrDiverged reports a peer that computed a different state from the same
	// records.
	ErrDiverged = errors.New("node: state differs from a peer's")
	// ErrNoWitness reports that the replayed state has no place for a block
	// that is guaranteed to a customer, even if all preemptible tasks were
	// stopped. The customer then can't reclaim the guarantee; see package
	// witness.
	ErrNoWitness = errors.New("node: a guarantee can't be reclaimed")
)

// origin is an entry of this host and the purpose for which it was written.
type origin struct {
	entry record.Entry
	// ticket is set for a Propose event, request for the claim of a request's
	// idempotency key; neither is set for other entries.
	ticket  Ticket
	request id.Request
}

// Node is the decision core of one host. It is not safe for concurrent use.
type Node struct {
	self        id.Host
	incarnation id.Incarnation
	hostState   State
	state       *state.State
	loader      *recovery.Loader
	journal     *journal.Journal
	origins     map[journal.Ticket]origin
	peers       *peer.Table
	election    *owner.Election
	router      *route.Router
	policy      place.Policy
	// sched is set while this host is the owner. ownEpoch is the last epoch that
	// this incarnation of the host claimed successfully.
	sched    *sched.Scheduler
	ownEpoch id.Epoch

	// head is the last known offset of the log, readAt the time of the last
	// successful read of the log.
	head   id.Offset
	readAt unit.Instant
	// createdAt is when this Node was created. peerFrameSeen is set once a peer's
	// frame arrived after the first host list.
	createdAt     unit.Instant
	peerFrameSeen bool
	// readFailed is set if the last read of the log failed.
	readFailed bool
	// recent holds the newest records, for peers that can't read the log.
	recent recent
	// halted is set permanently once the log holds a batch that this version of
	// the program can't decode.
	halted error
	// digest is the digest of the state at offset digestAt.
	digest   uint64
	digestAt id.Offset
	// snapshotOffset is the last offset that the newest snapshot seen or written
	// covers, snapshotAt the time at which it was seen or written.
	snapshotOffset id.Offset
	snapshotAt     unit.Instant
	heartbeatAt    unit.Instant
	// heartbeats counts the heartbeats sent.
	heartbeats int
	// stopAt is when a draining host stops accepting requests.
	stopAt unit.Instant
	// routerConfigAt is the offset of the configuration that the router has.
	routerConfigAt id.Offset
	// hostCount is the number of entry hosts in the host list, at least 1.
	hostCount int
	backends  map[id.Service]map[id.Backend]bool
	counts    Counts
	out       Actions
}

// New returns the core of a host that has just started. The incarnation differs for
// each start of a process; rng is the only source of randomness.
func New(self id.Host, incarnation id.Incarnation, now unit.Instant, p place.Policy, rng *rand.Rand) *Node {
	return &Node{
		self: self, incarnation: incarnation, hostState: hostChart.Start(),
		state: state.New(), loader: recovery.New(),
		journal: journal.New(self, incarnation), origins: map[journal.Ticket]origin{},
		peers: peer.New(self), election: owner.New(self, now),
		router: route.New(rng), policy: p, snapshotAt: now, createdAt: now,
	}
}

// Step handles an event and returns the actions to carry out. The time now must not
// decrease from call to call.
func (n *Node) Step(now unit.Instant, ev Event) Actions {
	n.out = Actions{}
	switch ev := ev.(type) {
	case Tick:
		n.tick(now)
	case Records:
		n.records(now, ev)
	case LogDown:
		n.readFailed = true
	case AppendFailed:
		n.journal.AppendFailed(now)
	case FrameReceived:
		n.receiveFrame(now, ev.Frame)
	case HostList:
		n.setHosts(now, ev)
	case Report:
		if n.sched != nil {
			n.sched.Report(now, ev.Report)
			n.schedule(now)
		}
	case RequestArrived:
		n.arrived(now, ev.Request)
	case AttemptEnded:
		n.router.AttemptEnded(now, ev.Result)
	case ProbeEnded:
		n.router.Probed(now, ev.Probe, ev.Outcome)
	case CallerGone:
		n.router.CallerGone(ev.Request)
	case Propose:
		n.propose(ev)
	case PlanRequest:
		p, err := plan.New(n.state, ev.Changes)
		n.out.Plans = append(n.out.Plans, PlanResult{ev.Ticket, p, err})
	case ViewRequest:
		n.out.Views = append(n.out.Views, ViewResult{ev.Ticket, n.view(now, ev.Jobs)})
	case Stop:
		n.stop(now)
	}
	n.finish(now)
	return n.out
}

// finish collects the actions and faults of the router, and the next record of
// the journal that is due to be appended to the log.
func (n *Node) finish(now unit.Instant) {
	acts, faults := n.router.Take()
	n.out.Sends = append(n.out.Sends, acts.Sends...)
	n.out.Probes = append(n.out.Probes, acts.Probes...)
	n.out.Replies = append(n.out.Replies, acts.Replies...)
	for _, c := range acts.Claims {
		n.claimKey(now, c)
	}
	for _, f := range faults {
		n.fault(f)
	}
	if n.halted != nil {
		return
	}
	raw, err := n.journal.Flush(now, n.state.Applied)
	if err != nil {
		n.fault(err)
		return
	}
	if raw != nil {
		n.counts.Batches++
		n.out.Append = raw
	}
}

// fault counts a violated invariant and adds it to the actions.
func (n *Node) fault(err error) {
	n.counts.Faults++
	n.out.Faults = append(n.out.Faults, err)
}

// tick performs the periodic work.
func (n *Node) tick(now unit.Instant) {
	n.advanceHostState(now)
	n.router.Tick(now)
	n.router.Probe(now, n.self, n.peers.Near(now))
	if now.Sub(n.heartbeatAt) >= peer.FrameInterval {
		n.heartbeatAt = now
		n.sendHeartbeats(now)
	}
	n.claimOwnership(now)
	n.schedule(now)
	n.snapshot(now)
}

// advanceHostState applies the due transitions of the host's state chart.
func (n *Node) advanceHostState(now unit.Instant) {
	switch n.hostState {
	case Joining:
		// The end of the log is known only after the first read.
		if n.readAt != 0 && n.state.Applied >= n.head && n.halted == nil && n.leavingKnown(now) {
			n.transition(caughtUp)
		}
	case Ready:
		if n.isolated(now) || n.halted != nil {
			n.transition(cutOff)
		}
	case Isolated:
		if !n.isolated(now) && n.halted == nil {
			n.transition(caughtUp)
		}
	case Draining:
		if now >= n.stopAt && n.router.InFlight() == 0 && (n.journal.Idle() || !n.logUp(now)) {
			n.transition(drained)
			n.out.Stopped = true
		}
	}
}

// leavingKnown reports whether a peer has reported the backend servers that are
// shutting down, or firstFrameWait has passed. The platform's list alone may be out
// of date.
func (n *Node) leavingKnown(now unit.Instant) bool {
	return n.peerFrameSeen || n.hostCount == 1 || now.Sub(n.createdAt) >= firstFrameWait
}

// transition advances the host's state chart by an event, if the chart allows it.
func (n *Node) transition(ev event) {
	if to, err := hostChart.Next(n.hostState, ev); err == nil {
		n.hostState = to
	}
}

// logUp reports whether the last read of the log succeeded and is at most maxLogAge
// old.
func (n *Node) logUp(now unit.Instant) bool {
	return n.readAt != 0 && !n.readFailed && now.Sub(n.readAt) < maxLogAge
}

// isolated reports whether for isolatedAfter the log could not be read and no peer's
// frame arrived.
func (n *Node) isolated(now unit.Instant) bool {
	return now.Sub(n.readAt) > isolatedAfter && !n.peers.AnyFrameWithin(now, isolatedAfter)
}

// stop starts a planned stop.
func (n *Node) stop(now unit.Instant) {
	if n.hostState == Joining {
		n.transition(stop)
		n.out.Stopped = true
		return
	}
	n.transition(stop)
	n.stopAt = now.Add(stopDelay)
	n.sched = nil
	n.sendHeartbeats(now)
}

// arrived passes a request to the router, or rejects it if the host isn't ready.
func (n *Node) arrived(now unit.Instant, q route.Request) {
	var code route.Code
	switch {
	case n.hostState == Joining || n.hostState == Isolated || n.halted != nil:
		code = route.CodeNotReady
	case n.hostState == Draining && now >= n.stopAt:
		code = route.CodeStopping
	}
	if code != "" {
		n.out.Replies = append(n.out.Replies, route.Reply{
			Request: q.ID, Code: code, Ran: route.RanNo, RetryAfter: time.Second,
		})
		return
	}
	n.router.Arrive(now, q, n.state.Config.Customers[q.Customer].Weight, n.logUp(now))
}

// schedule runs the scheduler if this host is the owner and isn't isolated.
func (n *Node) schedule(now unit.Instant) {
	if n.sched == nil || n.isolated(now) || n.halted != nil {
		return
	}
	d := n.sched.Step(now)
	n.out.Syncs = append(n.out.Syncs, d.Syncs...)
	for _, e := range d.Entries {
		if err := n.write(origin{entry: e}); err != nil {
			n.sched.EntrySettled(now, e, err)
		}
	}
}

// setHosts applies the platform's host list.
func (n *Node) setHosts(now unit.Instant, ev HostList) {
	n.peers.SetHosts(now, ev.EntryHosts)
	n.hostCount = max(len(ev.EntryHosts), 1)
	n.backends = ev.Backends
	n.configureRouter(now)
}

// configureRouter passes the configuration and the host list to the router.
func (n *Node) configureRouter(now unit.Instant) {
	n.routerConfigAt = n.state.ConfigAt
	n.router.Configure(n.state.Config, n.hostCount)
	for _, k := range config.SortedKeys(n.backends) {
		n.router.Backends(now, k, n.backends[k])
	}
	n.router.Configure(n.state.Config, n.hostCount)
}
