// Package play simulates one policy with one seed.
package play

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/world"
	"curlewsill.org/curlewsill/internal/experiment/arrive"
	"curlewsill.org/curlewsill/internal/experiment/result"
	"curlewsill.org/curlewsill/internal/experiment/setup"
)

// Play simulates the site with a policy and the given events. The simulation
// ends when the settle time has passed after the experiment's length or the
// last event, whichever is later. If ctx is done earlier, Play returns ctx's
// error.
func Play(ctx context.Context, s *setup.Setup, p *setup.Policy, seed uint64, events []arrive.Event) (result.Run, error) {
	w, err := world.New(worldSetup(s, p, seed))
	if err != nil {
		return result.Run{}, err
	}
	out := result.Run{Policy: p.Name, Seed: seed, Violations: []string{}}
	length := s.Length
	if n := len(events); n > 0 {
		length = max(length, events[n-1].At)
	}
	for _, e := range events {
		w.Schedule(e.At, func() {
			if err := apply(w, e); err != nil && !errors.Is(err, world.ErrNeverFits) {
				out.Violations = append(out.Violations, err.Error())
			}
		})
	}
	for at := time.Duration(0); at < length+s.Settle; at += s.SampleInterval {
		if err := ctx.Err(); err != nil {
			return out, err
		}
		w.Run(s.SampleInterval)
		out.Samples = append(out.Samples, w.Sample())
	}
	summarize(&out, w, s, length)
	return out, nil
}

// worldSetup returns the setup of the simulated site, with the policy's changes
// to cores and lease bound.
func worldSetup(s *setup.Setup, p *setup.Policy, seed uint64) world.Setup {
	dispatchConfig := s.DispatchConfig
	if p.MaxLease > 0 {
		dispatchConfig.MaxLease = p.MaxLease
	}
	out := s.World
	out.Seed = seed
	out.Hosts = slices.Clone(out.Hosts)
	for i := range out.Hosts {
		if p.Cores > 0 {
			out.Hosts[i].Cores = p.Cores
		}
	}
	out.NewDispatcher = func(e id.Epoch, t *jobtable.Table) *dispatch.Dispatcher {
		return dispatch.New(dispatchConfig, p.Switches, e, t)
	}
	return out
}

// apply applies one event to the simulated site. Events of an unknown worker
// have no effect.
func apply(w *world.World, e arrive.Event) error {
	switch {
	case e.Job != nil:
		return w.Submit(*e.Job)
	case e.Fault != nil:
		return w.Inject(*e.Fault)
	case e.Cancel != "":
		w.Cancel(e.Cancel)
	case e.Down != "":
		w.StopWorker(e.Down)
	case e.Up != "":
		w.StartWorker(e.Up)
	default:
		return fmt.Errorf("play: %w", errEmptyEvent)
	}
	return nil
}

// errEmptyEvent reports an event that has no job, cancellation, worker or
// fault.
var errEmptyEvent = errors.New("event has no job, cancellation, worker or fault")

// summarize fills in the figures of a run. Use and Fragmentation are means over
// the samples up to length.
func summarize(out *result.Run, w *world.World, s *setup.Setup, length time.Duration) {
	t := w.Tally()
	out.Starts, out.Stopped, out.Broken, out.Lapsed = t.Starts, t.Stopped, t.Broken, t.Lapsed
	out.Crashes, out.Preempted = t.Crashes, t.Preempted
	out.Passes, out.Claims, out.OwnerWait = t.Passes, t.Claims, t.LongestWait.Seconds()
	out.OwnerBusy = t.OwnerBusyTime.Seconds() / w.Now().Sub(world.Begin).Seconds()
	if all := t.Useful + t.Wasted; all > 0 {
		out.Wasted = t.Wasted / all
	}
	out.Violations = append(out.Violations, w.Violations()...)
	n := 0.0
	for _, sample := range out.Samples {
		if sample.At > length {
			break
		}
		out.Use += sample.Utilization
		out.Fragmentation += sample.Fragmentation
		n++
	}
	if n > 0 {
		out.Use, out.Fragmentation = out.Use/n, out.Fragmentation/n
	}
	scoreKinds(out, w.Outcomes(), s, t)
}
