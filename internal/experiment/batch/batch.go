// Package batch plays all policies of an experiment with all seeds.
package batch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"

	"golang.org/x/sync/errgroup"

	"curlewsill.org/curlewsill/internal/experiment/arrive"
	"curlewsill.org/curlewsill/internal/experiment/play"
	"curlewsill.org/curlewsill/internal/experiment/result"
	"curlewsill.org/curlewsill/internal/experiment/setup"
	"curlewsill.org/curlewsill/internal/replay"
)

// Batch plays an experiment: each policy with each seed. The zero value isn't
// usable; call New.
type Batch struct {
	setup *setup.Setup
	trace []arrive.Event
	// progress gets a line for each run that completes. mu protects progress,
	// ended and runs.
	progress io.Writer
	mu       sync.Mutex
	ended    int
	// runs has an entry for each combination of a policy and a seed. The entry
	// is nil until the run has completed.
	runs []*result.Run
}

// New returns the batch of an experiment. It reads the trace file if the setup
// names one.
func New(s *setup.Setup, progress io.Writer) (*Batch, error) {
	b := &Batch{setup: s, progress: progress, runs: make([]*result.Run, len(s.Policies)*len(s.Seeds))}
	if s.Trace == "" {
		return b, nil
	}
	f, err := os.Open(s.Trace)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	trace, err := replay.Read(f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", s.Trace, err)
	}
	b.trace = arrive.FromTrace(s, trace)
	return b, nil
}

// Run plays the experiment with at most the given number of runs in parallel.
// It plays all policies of one seed before the next seed, so that policies can
// be compared early. Once ctx is cancelled, it returns a report of the
// completed runs.
func (b *Batch) Run(ctx context.Context, processors int) (*result.Report, error) {
	var g errgroup.Group
	g.SetLimit(max(1, processors))
	for seedIndex, seed := range b.setup.Seeds {
		events := arrive.Generate(b.setup, seed)
		events = append(events, b.trace...)
		arrive.Sort(events)
		for policyIndex := range b.setup.Policies {
			if ctx.Err() != nil {
				break
			}
			g.Go(func() error { return b.play(ctx, policyIndex, seedIndex, events) })
		}
	}
	err := g.Wait()
	return b.report(), err
}

// play plays one policy with one seed, given by their indexes.
func (b *Batch) play(ctx context.Context, policy, seed int, events []arrive.Event) error {
	s := b.setup
	run, err := play.Play(ctx, s, &s.Policies[policy], s.Seeds[seed], events)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[policy*len(s.Seeds)+seed] = &run
	b.ended++
	fmt.Fprintf(b.progress, "%d/%d policy %s seed %d: worth %.4f\n", b.ended, len(b.runs), run.Policy, run.Seed, run.Worth)
	return nil
}

// report returns the report of the runs that have completed.
func (b *Batch) report() *result.Report {
	r := &result.Report{LengthS: b.setup.Length.Seconds(), Seeds: b.setup.Seeds, Runs: []result.Run{}}
	for i := range b.setup.Policies {
		r.Policies = append(r.Policies, b.setup.Policies[i].Name)
	}
	for _, run := range b.runs {
		if run == nil {
			r.Partial = true
			continue
		}
		r.Runs = append(r.Runs, *run)
	}
	r.Summarize()
	return r
}
