package world

import (
	"fmt"
	"time"

	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
)

// gangKey identifies one step of a round of a job.
type gangKey struct {
	job         id.Job
	round, step int
}

// gang is one run of a step whose tasks run all together or not at all.
type gang struct {
	number  job.RunNumber
	members []*run
	// complete is set once all members have started. broken is set once one of
	// them has ended without success.
	complete, broken bool
}

// joinGang adds a run to its gang, and starts the work of the gang once it is
// complete.
func (w *World) joinGang(r *run) {
	key := gangKey{job: r.task.Job, round: r.task.Round, step: r.task.Step}
	g := w.gangs[key]
	if g == nil || g.number != r.number {
		if g != nil && g.liveMembers() > 0 {
			w.recordViolation(fmt.Sprintf("%s: run %d begins while members of run %d have not ended", r.task, r.number, g.number))
		}
		g = &gang{number: r.number}
		w.gangs[key] = g
	}
	r.gang = g
	g.members = append(g.members, r)
	if len(g.members) == r.step.Count {
		r.job.noteBegun(w.now)
	}
	if !g.broken && len(g.members) == r.step.Count {
		g.startWork(w)
		return
	}
	// The timeout also applies to a run that joins a broken gang. The other
	// members of that gang have ended, so it never starts its work.
	w.Schedule(w.setup.Times.GangTimeout, func() {
		if !r.ended && r.workStart == 0 {
			r.finish(fleet.EndGangTimeout)
		}
	})
}

// liveMembers returns how many members have not ended.
func (g *gang) liveMembers() int {
	n := 0
	for _, r := range g.members {
		if !r.ended {
			n++
		}
	}
	return n
}

// spansRacks reports whether the members are in more than one rack.
func (g *gang) spansRacks() bool {
	for _, r := range g.members {
		if r.machine.Rack != g.members[0].machine.Rack {
			return true
		}
	}
	return false
}

// startWork starts the work of all members. The slowest member determines when
// they end.
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
	for _, r := range g.members {
		r.rescheduleEnd()
	}
}

// finishAll ends all members with success when the end of the first one is due.
// Members end at the same time unless one has failed before, so all of them are
// due then.
func (g *gang) finishAll() {
	for _, r := range g.members {
		if !r.ended {
			r.finish(fleet.EndDone)
		}
	}
}

// breakUp ends the other members of a gang after one has ended without success.
// If the gang was not complete, the other members keep waiting until the gang
// timeout ends them.
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
			r.finish(fleet.EndGangBroken)
		}
	}
}
