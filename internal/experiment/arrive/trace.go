package arrive

import (
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/world"
	"curlewsill.org/curlewsill/internal/experiment/setup"
	"curlewsill.org/curlewsill/internal/replay"
)

// FromTrace converts a trace to events, in the same order. A job that needs
// more accelerators than the largest worker has becomes a gang in which each
// task takes all accelerators of such a worker.
func FromTrace(s *setup.Setup, trace []replay.Event) []Event {
	largest := 1
	for _, w := range s.World.Workers {
		largest = max(largest, w.Capacity.Accelerators)
	}
	var out []Event
	for _, e := range trace {
		x := Event{At: e.At}
		switch e.Kind {
		case replay.Submit, replay.SubmitGuaranteed:
			x.Job = traceJob(s, e, largest)
		case replay.Cancel:
			x.Cancel = e.Job
		case replay.WorkerDown:
			x.Down = id.Worker(e.Job)
		case replay.WorkerUp:
			x.Up = id.Worker(e.Job)
		}
		out = append(out, x)
	}
	return out
}

// traceJob converts a job of a trace. A task takes at most perTask
// accelerators.
func traceJob(s *setup.Setup, e replay.Event, perTask int) *world.Job {
	k := s.Kind(s.TraceKind)
	if e.Urgent {
		k = s.Kind(s.UrgentKind)
	}
	count := (e.Accelerators + perTask - 1) / perTask
	step := job.Step{
		Count: count, Gang: count > 1, SameRack: count > 1, Checkpointing: k.Checkpointing > 0, Estimate: max(time.Millisecond, e.Declared),
		Need: job.Resources{CPU: k.Cores, Memory: k.Memory, Accelerators: min(e.Accelerators, perTask)},
	}
	j := &world.Job{
		Name: e.Job, Kind: k.Name, FailProbability: k.FailProbability,
		Spec: job.Spec{
			Customer: e.Customer, Queue: id.Queue(k.Name), Service: setup.Service, Priority: k.Priority, MaxAttempts: k.MaxAttempts,
			DeadlineFactor: k.DeadlineFactor, DeadlineExtra: k.DeadlineExtra, Steps: []job.Step{step},
		},
	}
	if e.CrashesEverywhere {
		j.FailProbability = 1
	}
	for range count {
		j.RunTimes = append(j.RunTimes, max(time.Millisecond, e.Run))
	}
	return j
}
