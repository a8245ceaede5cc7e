package world

import (
	"fmt"
	"time"

	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
)

// gangKey names one step of a round of a job.
type gangKey struct {
	job         id.Job
	round, step int
}

// gang is one run of a step whose tasks run all together or not at all.
type gang struct {
	number  job.Run
	members []*run
	// whole is set once all members are there; spoilt once one of them has gone.
	complete, broken bool
}

// join takes a run into its gang, and lets the gang work once it is whole.
func (w *World) joinGang(r *run) {
	key := gangKey{job: r.task.Job, round: r.task.Round, step: r.task.Step}
	g := w.gangs[key]
	if g == nil || g.number != r.number {
		if g != nil && g.liveMembers() > 0 {
			w.recordViolation(fmt.Sprintf("%s: run %d begins while members of run %d are there", r.task, r.number, g.number))
		}
		g = &gang{number: r.number}
		w.gangs[key] = g
	}
	r.gang = g
	g.members = append(g.members, r)
	if !g.broken && len(g.members) == r.step.Count {
		g.startWork(w)
		return
	}
	w.Plan(w.setup.Times.Whole, func() { // also of a gang that has broken: its other members are gone
		if !r.ended && r.workStart == 0 {
			r.finish(fleet.EndAlone)
		}
	})
}

// live returns how many members are there.
func (g *gang) liveMembers() int {
	n := 0
	for _, r := range g.members {
		if !r.ended {
			n++
		}
	}
	return n
}

// spread reports whether the members are in several racks.
func (g *gang) spansRacks() bool {
	for _, r := range g.members {
		if r.machine.Rack != g.members[0].machine.Rack {
			return true
		}
	}
	return false
}

// open lets all members work. The slowest decides when they end.
func (g *gang) startWork(w *World) {
	g.complete = true
	var longest time.Duration
	for _, r := range g.members {
		r.startWork(w.now)
		longest = max(longest, r.remaining())
	}
	for _, r := range g.members {
		if !r.step.LongRunning {
			r.scheduleEnd(longest)
		}
	}
}

// done ends all members with success. The first of them that comes to its end stands for all,
// because they end at the same time unless one has failed before.
func (g *gang) finishAll() {
	for _, r := range g.members {
		if !r.ended {
			r.finish(fleet.EndDone)
		}
	}
}

// breaks ends the other members of a gang of which one has gone. Before it was whole, they go
// on to wait.
func (g *gang) breakUp() {
	if g.broken {
		return
	}
	g.broken = true
	if !g.complete {
		return
	}
	for _, r := range g.members {
		if !r.ended {
			r.finish(fleet.EndBroken)
		}
	}
}
