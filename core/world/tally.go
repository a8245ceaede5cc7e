package world

import (
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/unit"
)

// State is what has become of a job.
type State string

// The states of a job.
const (
	// Open jobs have no outcome yet.
	Open State = "open"
	// Refused jobs can never run on the site.
	Refused   State = "refused"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// submitted is a job that was handed in, and what became of it.
type submittedJob struct {
	Job
	submittedAt, endedAt unit.Instant
	// started is when its first run began; 0 before.
	startedAt unit.Instant
	state     State
	// doneTasks counts the tasks that a run has ended with success.
	doneTasks int
	histories map[job.Task]*taskHistory
}

// noteStart notes that a run of the job has begun.
func (s *submittedJob) noteStart(now unit.Instant) {
	if s.startedAt == 0 {
		s.startedAt = now
	}
}

// finish notes that a job is shown with its outcome.
func (w *World) recordOutcome(s *submittedJob, as State) {
	s.state, s.endedAt = as, w.now
	w.checkFinish(s, as)
}

// Outcome is what became of one job.
type Outcome struct {
	Name  id.Job
	Kind  string
	State State
	// At is when it was handed in, since the beginning. Started is how long its first run
	// took to begin, Took how long its outcome took; 0 while there is none.
	At, Started, Took time.Duration
	// Chain is the work of its longest chain of steps, on workers of speed 1.
	Chain time.Duration
	// Work is what its tasks take in all, in core-seconds.
	Work float64
	// Fails is the chance that a run fails.
	Fails float64
	// Crashes is set if the job's first task ends the life of each worker that starts it.
	Crashes bool
}

// Outcomes returns what became of the jobs, in the order in which they were handed in.
func (w *World) Outcomes() []Outcome {
	out := make([]Outcome, 0, len(w.submissions))
	for _, s := range w.submissions {
		o := Outcome{
			Name: s.Name, Kind: s.Kind, State: s.state, At: s.submittedAt.Sub(Begin), Work: s.totalWork(), Chain: s.longestChain(), Fails: s.FailShare,
			Crashes: s.CrashAfter > 0,
		}
		if s.startedAt != 0 {
			o.Started = s.startedAt.Sub(s.submittedAt)
		}
		if s.endedAt != 0 {
			o.Took = s.endedAt.Sub(s.submittedAt)
		}
		out = append(out, o)
	}
	return out
}

// work returns the core-seconds of a job's tasks.
func (s *submittedJob) totalWork() float64 {
	sum, at := 0.0, 0
	for range s.Spec.RoundCount() {
		for i := range s.Spec.Steps {
			step := &s.Spec.Steps[i]
			for range step.Count {
				sum += coreWeight(step.Need) * s.Takes[at].Seconds()
				at++
			}
		}
	}
	return sum
}

// chain returns the longest chain of work of the first round: of each step its longest task.
func (s *submittedJob) longestChain() time.Duration {
	ends := make([]time.Duration, len(s.Spec.Steps))
	at := 0
	for i := range s.Spec.Steps {
		step := &s.Spec.Steps[i]
		var before time.Duration
		for _, dep := range step.DependsOn {
			before = max(before, ends[dep])
		}
		ends[i] = before + slices.Max(s.Takes[at:at+step.Count])
		at += step.Count
	}
	return slices.Max(ends)
}

// Tally counts what has happened in a world.
type Tally struct {
	// Starts counts the runs that workers began; the others how they ended.
	Starts, Done, Failed, Stopped, Lapsed, Broken, Alone, Vanished int
	// Crashes counts the lives of workers that tasks have ended.
	Crashes int
	// Useful and Wasted are the core-seconds of runs that ended with success, and of work that
	// was neither done nor saved.
	Useful, Wasted float64
	// Passes counts the owners' passes, Claims the changes of owner.
	Passes, Claims int
	// Owned is the work of the owners' processors on whole cores, OwnedTime how long they were
	// busy, LongestWait how long something waited for them at most.
	Owned, OwnedTime, LongestWait time.Duration
	Violations                    int
}

// count notes how a run has ended.
func (t *Tally) count(how fleet.How) {
	switch how {
	case fleet.EndDone:
		t.Done++
	case fleet.EndFailed:
		t.Failed++
	case fleet.EndStopped:
		t.Stopped++
	case fleet.EndLapsed:
		t.Lapsed++
	case fleet.EndBroken:
		t.Broken++
	case fleet.EndAlone:
		t.Alone++
	}
}

// waited notes how long something waited for the owner's processor.
func (t *Tally) recordWait(d time.Duration) { t.LongestWait = max(t.LongestWait, d) }

// Tally returns what has happened up to now.
func (w *World) Tally() Tally { return w.tally }

// DoneOf returns how many tasks of a job have ended with success.
func (w *World) DoneOf(name id.Job) int {
	if s := w.jobs[name]; s != nil {
		return s.doneTasks
	}
	return 0
}

// Decided returns how often the owners noted an event.
func (w *World) Decided(e dispatch.Event) int { return w.events[e] }

// Sample is the site at one moment.
type Sample struct {
	// At is the time since the beginning.
	At time.Duration
	// Use is the part of the accelerators of workers that are up which runs hold.
	Use float64
	// Fragmentation is the part of the free accelerators that are on workers in use, where no
	// task finds them that needs a whole worker; 0 if none is free.
	Fragmentation float64
	// Waiting counts the tasks of open jobs that neither run nor are done.
	Waiting int
}

// Sample returns the site as it is now.
func (w *World) Sample() Sample {
	all, free, split := 0, 0, 0
	for _, m := range w.machines {
		if !m.up {
			continue
		}
		left := m.Capacity.Accelerators - m.used.Accelerators
		all += m.Capacity.Accelerators
		free += left
		if len(m.runs) > 0 {
			split += left
		}
	}
	s := Sample{At: w.now.Sub(Begin), Waiting: w.openTasks() - w.running()}
	if all > 0 {
		s.Use = 1 - float64(free)/float64(all)
	}
	if free > 0 {
		s.Fragmentation = float64(split) / float64(free)
	}
	return s
}

// openTasks counts the tasks of open jobs that are not done.
func (w *World) openTasks() int {
	n := 0
	open := w.openJobs[:0]
	for _, s := range w.openJobs {
		if s.state != Open {
			continue
		}
		open = append(open, s)
		n += len(s.Takes) - s.doneTasks
	}
	w.openJobs = open
	return n
}

// running counts the runs.
func (w *World) running() int {
	n := 0
	for _, m := range w.machines {
		n += len(m.runs)
	}
	return n
}

// stretch returns by times d.
func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }
