// Package gang carries one placement of one job through its leases.
//
// A gang is the set of tasks of a job, one on each worker of its block. Its life
// is the lease chart: the owner asks every worker for a gated task, commits the
// placement to the log once all were granted, and opens the gates only when it has
// read the commit back. Leases are renewed for all members or for none: as soon as
// one member has not answered for a grace period, the others aren't renewed
// either, so they stop within one term even if the owner can't reach them.
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

// The times of a lease.
const (
	// Term is how long a task goes on without renewal.
	Term = 10 * time.Second
	// Renewal is how often a worker is synced while it holds a task.
	Renewal = 3 * time.Second
	// Grace is how old the oldest answer of a member may be for the gang to be
	// renewed.
	Grace = 8 * time.Second
	// AskTimeout bounds the time until all members have granted.
	AskTimeout = 6 * time.Second
	// Margin is added to Term before a silent member counts as stopped. It
	// covers the drift of two clocks over one term.
	Margin = time.Second
	// Takeover bounds how long an earlier owner may go on renewing after a new
	// one was accepted: it stops when it has heard of neither the log nor a peer
	// for this long.
	Takeover = 30 * time.Second
)

// State is a state of the lease chart.
type State string

// Event is an event of the lease chart.
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

// The events that the gang finds by itself.
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
	// Mask has a bit for each accelerator of the worker that the task uses.
	Mask uint64
	// State is the last state reported; empty until the first report.
	State worker.TaskState
	// heard is when the worker last answered, and clock what its clock showed.
	heard unit.Instant
	clock time.Duration
	// lapse is when a silent worker has surely stopped the task.
	lapse unit.Instant
}

// Gang is one placement of one job.
type Gang struct {
	Job     record.Job
	Attempt int
	Lease   id.Lease
	Block   block.Block
	Cell    record.Cell
	Home    block.Block
	// Members is in the order of the block and never empty.
	Members []Member
	// State follows the lease chart.
	State State
	// Outcome and Reason say how the placement ended; set from Stopping on.
	Outcome record.Outcome
	Reason  string
	// started is when the current state was entered.
	started unit.Instant
	// committed is set when the log accepted the placement.
	committed bool
}

// New returns a gang that begins to ask for its leases.
func New(now unit.Instant, p record.Place, j record.Job, members []Member) *Gang {
	g := &Gang{
		Job: j, Attempt: p.Attempt, Lease: p.Lease, Block: p.Block, Cell: p.Cell, Home: p.Home,
		Members: members, State: leaseChart.Start(), started: now,
	}
	for i := range g.Members {
		g.Members[i].heard = now
		g.Members[i].lapse = now.Add(worker.GatedTerm + Margin)
	}
	return g
}

// Adopt returns a gang for a placement that an earlier owner committed.
func Adopt(now unit.Instant, p record.Place, j record.Job, members []Member) *Gang {
	g := New(now, p, j, members)
	g.State, g.committed = Open, true
	for i := range g.Members {
		g.Members[i].lapse = now.Add(Takeover + Grace + Term + Margin)
	}
	return g
}

// Committed reports whether the log holds the placement.
func (g *Gang) Committed() bool { return g.committed }

// Commit notes that the log accepted the placement although the gang is stopping
// already, so its end must be written down.
func (g *Gang) Commit() { g.committed = true }

// Apply moves the gang along the lease chart. An event that the state doesn't
// allow comes too late to matter and is dropped.
func (g *Gang) Apply(now unit.Instant, ev Event) {
	to, err := leaseChart.Next(g.State, ev)
	if err != nil {
		return
	}
	g.State, g.started = to, now
	if ev == Accepted {
		g.committed = true
	}
}

// End makes the gang stop with the given outcome, if it has none yet.
func (g *Gang) End(now unit.Instant, ev Event, o record.Outcome, reason string) {
	if g.Outcome == "" {
		g.Outcome, g.Reason = o, reason
	}
	g.Apply(now, ev)
}

// Report takes in what a worker says of the gang's task on it.
func (g *Gang) Report(now unit.Instant, w id.Worker, clock time.Duration, st worker.TaskState) {
	for i := range g.Members {
		m := &g.Members[i]
		if m.Worker != w {
			continue
		}
		m.heard, m.clock = now, clock
		if !m.State.Ended() || m.State == "" {
			m.State = st
		}
	}
}

// Heard notes that a worker answered and that its task is as it reported before.
func (g *Gang) Heard(now unit.Instant, w id.Worker, clock time.Duration) {
	for i := range g.Members {
		if m := &g.Members[i]; m.Worker == w {
			m.heard, m.clock = now, clock
		}
	}
}

// Step looks at the members and the time, and moves the gang on if they ask for
// it.
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
	all := true
	for _, m := range g.Members {
		if m.State.Ended() && m.State != "" {
			g.End(now, denied, record.Requeued, "worker "+string(m.Worker)+" answered "+string(m.State))
			return
		}
		all = all && m.State == worker.Gated
	}
	switch {
	case all:
		g.Apply(now, granted)
	case now.Sub(g.started) > AskTimeout:
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
			g.lose(now, "worker "+string(m.Worker)+" reports the task as "+string(m.State))
			return
		}
		if m.State != worker.Exited && now.Sub(m.heard) > Grace {
			g.lose(now, "worker "+string(m.Worker)+" is silent")
			return
		}
	}
	if exited == len(g.Members) {
		g.End(now, done, record.Finished, "")
	}
}

// lose ends a gang whose tasks may have run in part.
func (g *Gang) lose(now unit.Instant, reason string) {
	o := record.Requeued
	if g.Job.Once {
		o = record.Lost
	}
	g.End(now, broken, o, reason)
}

// stepStopping waits until each member confirmed that it stopped or its lease has
// surely lapsed. Only then may the accelerators be used again.
func (g *Gang) stepStopping(now unit.Instant) {
	last := stopped
	for _, m := range g.Members {
		switch {
		case m.State.Ended() && m.State != "":
		case now > m.lapse:
			last = lapsed
		default:
			return
		}
	}
	g.Apply(now, last)
}

// Want returns what the worker should hold for this gang, and whether it should
// hold anything. A renewal counts from the worker's last answer, by the worker's own
// clock, so it is worth the same however late it arrives.
func (g *Gang) Want(now unit.Instant, w id.Worker) (worker.Want, bool) {
	if g.State == Stopping || g.State == Released {
		return worker.Want{}, false
	}
	renew := g.renewable(now)
	for i := range g.Members {
		m := &g.Members[i]
		if m.Worker != w || m.State.Ended() && m.State != "" {
			continue
		}
		t := worker.Want{
			Job: g.Job.ID, Lease: g.Lease, Mask: m.Mask,
			Create: g.State == Asking, Open: g.State == Open,
			Cores: g.Job.Cores, Memory: g.Job.Memory,
			Command: g.Job.Command, Trace: g.Job.Trace,
		}
		if renew {
			t.Until = m.clock + Term
			m.lapse = max(m.lapse, m.heard.Add(Term+Margin))
		}
		return t, true
	}
	return worker.Want{}, false
}

// Silent reports whether an open gang has a member that was not heard of lately.
func (g *Gang) Silent(now unit.Instant) bool {
	if g.State != Open {
		return false
	}
	for _, m := range g.Members {
		if m.State != worker.Exited && now.Sub(m.heard) > Grace {
			return true
		}
	}
	return false
}

// renewable reports whether every member that still runs has answered this owner,
// and lately.
func (g *Gang) renewable(now unit.Instant) bool {
	for _, m := range g.Members {
		if m.State != worker.Exited && (m.clock == 0 || now.Sub(m.heard) > Grace) {
			return false
		}
	}
	return true
}
