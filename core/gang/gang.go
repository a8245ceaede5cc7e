// Package gang manages the leases of one placement of one job.
//
// A gang is the set of tasks of a job, one on each worker of its block. Its
// states are those of lease.chart. First, the owner asks every worker to create
// a gated task, which holds its accelerators but doesn't run yet. A worker that
// creates the task grants a lease. Once all workers have done so, the owner
// commits the placement to the log. It opens the gates only when it has read the
// commit back.
//
// Leases are renewed for all members or for none: as soon as one member has not
// answered for a grace period, no lease of the gang is renewed. All tasks then
// stop within one term, even if the owner can't reach their workers.
package gang

import (
	"time"

	"curlewsill.org/curlewsill/core/block"
	"curlewsill.org/curlewsill/core/chart"
	"curlewsill.org/curlewsill/core/charts"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/record"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/core/worker"
)

// Durations of a lease.
const (
	// Term is how long a task keeps running without renewal.
	Term = 10 * time.Second
	// Renewal is the interval at which the owner syncs with a worker that holds
	// a task.
	Renewal = 3 * time.Second
	// Grace is the maximum age of a member's last answer. If the last answer of
	// any member is older, no lease of the gang is renewed.
	Grace = 8 * time.Second
	// AskTimeout bounds the time until all members have granted their leases.
	AskTimeout = 6 * time.Second
	// Margin is added to Term before a silent member counts as stopped. It
	// covers the drift between two clocks over one term.
	Margin = time.Second
	// Takeover bounds how long an earlier owner may continue to renew leases
	// after a new owner was accepted. The bound holds because an owner stops
	// renewing when it has received nothing for this long, neither from the log
	// nor from a peer.
	Takeover = 30 * time.Second
)

// State is a state of lease.chart.
type State string

// Event is an event of lease.chart.
type Event string

// The states of the chart.
const (
	Asking     State = "asking"
	Committing State = "committing"
	Open       State = "open"
	Stopping   State = "stopping"
	Released   State = "released"
)

// The events that come from outside the gang.
const (
	Accepted   Event = "accepted"
	Void       Event = "void"
	Cancel     Event = "cancel"
	Superseded Event = "superseded"
)

// The events that the gang derives from its members' states and from the time.
const (
	granted Event = "granted"
	denied  Event = "denied"
	timeout Event = "timeout"
	done    Event = "done"
	broken  Event = "broken"
	stopped Event = "stopped"
	lapsed  Event = "lapsed"
)

var leaseChart = chart.MustParse[State, Event]("lease.chart", charts.Read("lease"))

// Member is the part of a gang on one worker.
type Member struct {
	Worker id.Worker
	// Mask has a bit for each of the worker's accelerators that the task uses.
	Mask uint64
	// State is the last reported state; empty until the first report.
	State worker.TaskState
	// lastAnswer is when the worker last answered, and workerClock the time on
	// its own clock in that answer.
	lastAnswer  unit.Instant
	workerClock time.Duration
	// leaseEnd is the time after which a silent worker has stopped the task for
	// certain, because its lease has expired.
	leaseEnd unit.Instant
}

// Gang is one placement of one job.
type Gang struct {
	Job     record.Job
	Attempt int
	Lease   id.Lease
	Block   block.Block
	Cell    record.Cell
	Home    block.Block
	// Members is in the order of the accelerators in the block and never empty.
	Members []Member
	// State is the current state in lease.chart.
	State State
	// Outcome and Reason describe how the placement ended. They are set on the
	// transition to Stopping.
	Outcome record.Outcome
	Reason  string
	// stateSince is when the current state was entered.
	stateSince unit.Instant
	// committed is set once the log has accepted the placement.
	committed bool
}

// New returns a gang in the state Asking. In this state, the owner asks each
// worker to create a gated task. A worker that creates the task grants a lease.
func New(now unit.Instant, p record.Place, j record.Job, members []Member) *Gang {
	g := &Gang{
		Job: j, Attempt: p.Attempt, Lease: p.Lease, Block: p.Block, Cell: p.Cell, Home: p.Home,
		Members: members, State: leaseChart.Start(), stateSince: now,
	}
	for i := range g.Members {
		g.Members[i].lastAnswer = now
		g.Members[i].leaseEnd = now.Add(worker.GatedLeaseDuration + Margin)
	}
	return g
}

// Adopt returns an open gang for a placement that an earlier owner committed.
// That owner may have renewed the leases until recently, so Adopt assumes the
// latest time until which they can last.
func Adopt(now unit.Instant, p record.Place, j record.Job, members []Member) *Gang {
	g := New(now, p, j, members)
	g.State, g.committed = Open, true
	for i := range g.Members {
		g.Members[i].leaseEnd = now.Add(Takeover + Grace + Term + Margin)
	}
	return g
}

// Committed reports whether the log has accepted the placement.
func (g *Gang) Committed() bool { return g.committed }

// MarkCommitted notes that the log accepted the placement although the gang is
// already stopping. The end of the placement must then be recorded in the log.
func (g *Gang) MarkCommitted() { g.committed = true }

// Apply makes the transition of lease.chart for the event. An event that the
// current state doesn't allow is ignored: it arrived after the gang had left
// the state that it concerns.
func (g *Gang) Apply(now unit.Instant, ev Event) {
	to, err := leaseChart.Next(g.State, ev)
	if err != nil {
		return
	}
	g.State, g.stateSince = to, now
	if ev == Accepted {
		g.committed = true
	}
}

// End applies an event that stops the gang. It also sets the outcome and the
// reason, unless an outcome is set already.
func (g *Gang) End(now unit.Instant, ev Event, outcome record.Outcome, reason string) {
	if g.Outcome == "" {
		g.Outcome, g.Reason = outcome, reason
	}
	g.Apply(now, ev)
}

// RecordState records the state that a worker reported for the gang's task on
// it. A final state is never overwritten.
func (g *Gang) RecordState(now unit.Instant, w id.Worker, clock time.Duration, st worker.TaskState) {
	for i := range g.Members {
		m := &g.Members[i]
		if m.Worker != w {
			continue
		}
		m.lastAnswer, m.workerClock = now, clock
		if !m.State.Ended() || m.State == "" {
			m.State = st
		}
	}
}

// RecordAnswer notes that a worker answered and that the state of its task
// hasn't changed since its last report.
func (g *Gang) RecordAnswer(now unit.Instant, w id.Worker, clock time.Duration) {
	for i := range g.Members {
		if m := &g.Members[i]; m.Worker == w {
			m.lastAnswer, m.workerClock = now, clock
		}
	}
}

// Step applies the events that follow from the members' states and the current
// time.
func (g *Gang) Step(now unit.Instant) {
	switch g.State {
	case Asking:
		g.stepAsking(now)
	case Open:
		g.stepOpen(now)
	case Stopping:
		g.stepStopping(now)
	}
}

func (g *Gang) stepAsking(now unit.Instant) {
	allGranted := true
	for _, m := range g.Members {
		if m.State.Ended() && m.State != "" {
			g.End(now, denied, record.Requeued, "worker "+string(m.Worker)+" answered "+string(m.State))
			return
		}
		allGranted = allGranted && m.State == worker.Gated
	}
	switch {
	case allGranted:
		g.Apply(now, granted)
	case now.Sub(g.stateSince) > AskTimeout:
		g.End(now, timeout, record.Requeued, "not every worker granted a lease in time")
	}
}

func (g *Gang) stepOpen(now unit.Instant) {
	exited := 0
	for _, m := range g.Members {
		switch m.State {
		case worker.Exited:
			exited++
		case worker.Crashed:
			g.End(now, broken, record.Failed, "the task on worker "+string(m.Worker)+" failed")
			return
		case worker.Stopped, worker.Missing, worker.Denied:
			g.endPartlyRun(now, "worker "+string(m.Worker)+" reports the task as "+string(m.State))
			return
		}
		if m.State != worker.Exited && now.Sub(m.lastAnswer) > Grace {
			g.endPartlyRun(now, "worker "+string(m.Worker)+" is silent")
			return
		}
	}
	if exited == len(g.Members) {
		g.End(now, done, record.Finished, "")
	}
}

// endPartlyRun ends a gang whose tasks may have run in part. Its job is
// requeued, or counts as lost if it must run at most once.
func (g *Gang) endPartlyRun(now unit.Instant, reason string) {
	outcome := record.Requeued
	if g.Job.AtMostOnce {
		outcome = record.Lost
	}
	g.End(now, broken, outcome, reason)
}

// stepStopping waits until each member has confirmed that it stopped or its
// lease has lapsed for certain. Only then may the accelerators be used again.
func (g *Gang) stepStopping(now unit.Instant) {
	ev := stopped
	for _, m := range g.Members {
		switch {
		case m.State.Ended() && m.State != "":
		case now > m.leaseEnd:
			ev = lapsed
		default:
			return
		}
	}
	g.Apply(now, ev)
}

// Want returns the task that the worker should hold for this gang, and false if
// it should hold none. A renewal extends the lease until Term after the
// worker's last answer, by the worker's own clock. A delay of the message that
// carries the renewal therefore doesn't extend the lease.
func (g *Gang) Want(now unit.Instant, w id.Worker) (worker.WantedTask, bool) {
	if g.State == Stopping || g.State == Released {
		return worker.WantedTask{}, false
	}
	renew := g.renewable(now)
	for i := range g.Members {
		m := &g.Members[i]
		if m.Worker != w || m.State.Ended() && m.State != "" {
			continue
		}
		t := worker.WantedTask{
			Job: g.Job.ID, Lease: g.Lease, Mask: m.Mask,
			Create: g.State == Asking, Open: g.State == Open,
			Cores: g.Job.Cores, Memory: g.Job.Memory,
			Command: g.Job.Command, Trace: g.Job.Trace,
		}
		if renew {
			t.Until = m.workerClock + Term
			m.leaseEnd = max(m.leaseEnd, m.lastAnswer.Add(Term+Margin))
		}
		return t, true
	}
	return worker.WantedTask{}, false
}

// HasSilentMember reports whether an open gang has a member that still runs and
// has not answered for longer than Grace.
func (g *Gang) HasSilentMember(now unit.Instant) bool {
	if g.State != Open {
		return false
	}
	for _, m := range g.Members {
		if m.State != worker.Exited && now.Sub(m.lastAnswer) > Grace {
			return true
		}
	}
	return false
}

// renewable reports whether the gang's leases may be renewed. Each member that
// has not exited must have answered this owner, and the last answer must not be
// older than Grace.
func (g *Gang) renewable(now unit.Instant) bool {
	for _, m := range g.Members {
		if m.State != worker.Exited && (m.workerClock == 0 || now.Sub(m.lastAnswer) > Grace) {
			return false
		}
	}
	return true
}
