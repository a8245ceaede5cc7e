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

// State is a state of the host's chart.
type State string

type event string

// The states of a host.
const (
	Joining  State = "joining"
	Ready    State = "ready"
	Isolated State = "isolated"
	Draining State = "draining"
	Done     State = "stopped"
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
	// logFresh is how old the last read of the log may be for it to count as up.
	logFresh = 3 * time.Second
	// isolatedAfter is how long a host may hear of neither the log nor a peer
	// before it is not ready and, as the owner, stops renewing leases.
	isolatedAfter = 30 * time.Second
	// snapshotEvery and snapshotAge make the owner write a snapshot: after so
	// many records, or after so long if there was any record.
	snapshotEvery = 2000
	snapshotAge   = 5 * time.Minute
	// checkEvery is the number of records between two digests that hosts compare.
	checkEvery = 512
	// stopDelay is how long a stopping host goes on taking requests after it has
	// told the balancer that it isn't ready.
	stopDelay = 2 * time.Second
	// informWait is how long a new host waits for a peer's frame at the most.
	informWait = 2 * time.Second
)

// Errors that a node reports as verdicts or faults.
var (
	// ErrUnknownVerdict reports an entry that the log holds but whose verdict was
	// not seen, because this host had to restore a snapshot.
	ErrUnknownVerdict = errors.New("node: verdict unknown")
	// ErrHalted reports that the log holds an entry this program doesn't know.
	ErrHalted = errors.New("node: halted: the log is newer than this program")
	// ErrConfigReverted reports that the configuration in force would have gone
	// back.
	ErrConfigReverted = errors.New("node: configuration went back")
	// ErrDiverged reports a peer that reached another state from the same records.
	ErrDiverged = errors.New("node: state differs from a peer's")
	// ErrNoWitness reports that a guarantee has no place in the agreed state.
	ErrNoWitness = errors.New("node: a guarantee can't be reclaimed")
)

// origin says what an own entry was written for.
type origin struct {
	entry record.Entry
	// ticket is set for a proposal, request for a claim of a key.
	ticket  Ticket
	request id.Request
}

// Node is the decision core of one host. It is not safe for concurrent use.
type Node struct {
	self    id.Host
	life    id.Incarnation
	st      State
	state   *state.State
	loader  *recovery.Loader
	journal *journal.Journal
	origins map[journal.Ticket]origin
	table   *peer.Table
	elect   *owner.Election
	router  *route.Router
	policy  place.Policy
	// sched is set while this host is the owner, and ownEpoch is the last epoch
	// that this life of the host claimed.
	sched    *sched.Scheduler
	ownEpoch id.Epoch

	// head is the last offset that the log is known to hold, readAt when the log
	// was last read.
	head   id.Offset
	readAt unit.Instant
	// born is when the core was made. Told is set once a peer was heard after the
	// host list was known.
	born unit.Instant
	told bool
	// readFailed is set while the last read of the log failed.
	readFailed bool
	// recent holds the last records, for peers that can't read the log.
	recent recent
	// halted is set for good when the log is newer than the program.
	halted error
	// check is the digest at checkAt.
	check   uint64
	checkAt id.Offset
	// snapCovers and snapAt describe the newest snapshot seen or written.
	snapCovers id.Offset
	snapAt     unit.Instant
	beatAt     unit.Instant
	// turn counts heartbeats.
	turn       int
	stopAt     unit.Instant
	configured id.Offset
	hosts      int
	backends   map[id.Service]map[id.Backend]bool
	counts     Counts
	out        Actions
}

// New returns the core of a host that has just started. Life differs for each start
// of a process; rng is the only source of chance.
func New(self id.Host, life id.Incarnation, now unit.Instant, p place.Policy, rng *rand.Rand) *Node {
	return &Node{
		self: self, life: life, st: hostChart.Start(),
		state: state.New(), loader: recovery.New(),
		journal: journal.New(self, life), origins: map[journal.Ticket]origin{},
		table: peer.New(self), elect: owner.New(self, now),
		router: route.New(rng), policy: p, snapAt: now, born: now,
	}
}

// Step takes in an event and returns what to do. Now must not go back.
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
		n.journal.Retry(now)
	case Heard:
		n.heard(now, ev.Frame)
	case Hosts:
		n.listed(now, ev)
	case Report:
		if n.sched != nil {
			n.sched.Report(now, ev.Report)
			n.schedule(now)
		}
	case Arrived:
		n.arrived(now, ev.Request)
	case Ended:
		n.router.Ended(now, ev.Result)
	case Probed:
		n.router.Probed(now, ev.Probe, ev.Outcome)
	case Gone:
		n.router.Gone(ev.Request)
	case Propose:
		n.propose(ev)
	case Draw:
		p, err := plan.Draw(n.state, ev.Changes)
		n.out.Drawn = append(n.out.Drawn, Drawn{ev.Ticket, p, err})
	case Inspect:
		n.out.Inspected = append(n.out.Inspected, Inspected{ev.Ticket, n.view(now, ev.Jobs)})
	case Stop:
		n.stop(now)
	}
	n.finish(now)
	return n.out
}

// finish collects what the parts want to have done.
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

func (n *Node) fault(err error) {
	n.counts.Faults++
	n.out.Faults = append(n.out.Faults, err)
}

// tick does what is due with time.
func (n *Node) tick(now unit.Instant) {
	n.moveState(now)
	n.router.Tick(now)
	n.router.Probe(now, n.self, n.table.Near(now))
	if now.Sub(n.beatAt) >= peer.Every {
		n.beatAt = now
		n.beat(now)
	}
	n.claimOwnership(now)
	n.schedule(now)
	n.snapshot(now)
}

// moveState follows the host's chart.
func (n *Node) moveState(now unit.Instant) {
	switch n.st {
	case Joining:
		// The first read says where the log ends.
		if n.readAt != 0 && n.state.Applied >= n.head && n.halted == nil && n.informed(now) {
			n.apply(caughtUp)
		}
	case Ready:
		if n.isolated(now) || n.halted != nil {
			n.apply(cutOff)
		}
	case Isolated:
		if !n.isolated(now) && n.halted == nil {
			n.apply(caughtUp)
		}
	case Draining:
		if now >= n.stopAt && n.router.Flying() == 0 && (n.journal.Idle() || !n.logUp(now)) {
			n.apply(drained)
			n.out.Stopped = true
		}
	}
}

// informed reports whether the host knows what its peers know of leaving backend
// servers, or has waited for it long enough. The platform's list alone may be old.
func (n *Node) informed(now unit.Instant) bool {
	return n.told || n.hosts == 1 || now.Sub(n.born) >= informWait
}

func (n *Node) apply(ev event) {
	if to, err := hostChart.Next(n.st, ev); err == nil {
		n.st = to
	}
}

// logUp reports whether the log was read lately.
func (n *Node) logUp(now unit.Instant) bool {
	return n.readAt != 0 && !n.readFailed && now.Sub(n.readAt) < logFresh
}

// isolated reports whether neither the log nor a peer was heard of for long.
func (n *Node) isolated(now unit.Instant) bool {
	return now.Sub(n.readAt) > isolatedAfter && !n.table.Heard(now, isolatedAfter)
}

// stop begins a planned stop.
func (n *Node) stop(now unit.Instant) {
	if n.st == Joining {
		n.apply(stop)
		n.out.Stopped = true
		return
	}
	n.apply(stop)
	n.stopAt = now.Add(stopDelay)
	n.sched = nil
	n.beat(now)
}

func (n *Node) arrived(now unit.Instant, q route.Request) {
	var code route.Code
	switch {
	case n.st == Joining || n.st == Isolated || n.halted != nil:
		code = route.CodeNotReady
	case n.st == Draining && now >= n.stopAt:
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

// schedule lets the scheduler decide, if this host is the owner and not cut off.
func (n *Node) schedule(now unit.Instant) {
	if n.sched == nil || n.isolated(now) || n.halted != nil {
		return
	}
	d := n.sched.Step(now)
	n.out.Syncs = append(n.out.Syncs, d.Syncs...)
	for _, e := range d.Entries {
		if err := n.write(origin{entry: e}); err != nil {
			n.sched.Settled(now, e, err)
		}
	}
}

// listed takes over the platform's host list.
func (n *Node) listed(now unit.Instant, ev Hosts) {
	n.table.List(now, ev.Entry)
	n.hosts = max(len(ev.Entry), 1)
	n.backends = ev.Backends
	n.configure(now)
}

// configure hands configuration and host list to the router.
func (n *Node) configure(now unit.Instant) {
	n.configured = n.state.ConfigAt
	n.router.Configure(n.state.Config, n.hosts)
	for _, k := range config.Sorted(n.backends) {
		n.router.Backends(now, k, n.backends[k])
	}
	n.router.Configure(n.state.Config, n.hosts)
}
