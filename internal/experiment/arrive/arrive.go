// Package arrive generates the events of an experiment: when which jobs are
// submitted and which faults occur. The events depend on the setup and the
// seed, not on the policy, so that all policies get the same jobs.
package arrive

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/world"
	"curlewsill.org/curlewsill/internal/experiment/setup"
)

// maxSteps bounds the number of steps of a job.
const maxSteps = 8

// Event is an external event at a given time. Exactly one of the fields other
// than At is set.
type Event struct {
	// At is the time since the start of the experiment.
	At time.Duration
	// Job is a job that a customer submits.
	Job *world.Job
	// Cancel is a job that its customer cancels.
	Cancel id.Job
	// Down is a worker that goes down. Up is a worker that comes back.
	Down, Up id.Worker
	Fault    *world.Fault
}

// Generate generates the jobs of all kinds and the faults of an experiment for a
// seed. It returns the events in order of time.
func Generate(s *setup.Setup, seed uint64) []Event {
	var out []Event
	racks := racksOf(s)
	for i := range s.Kinds {
		name := s.Kinds[i].Name
		g := generator{
			kind: &s.Kinds[i], random: rand.New(rand.NewPCG(seed, hash(name))), crashRandom: rand.New(rand.NewPCG(seed, hash(name+"/crashes"))),
			tailRandom: rand.New(rand.NewPCG(seed, hash(name+"/tails"))), racks: racks,
		}
		out = append(out, g.jobs(s)...)
	}
	for i := range s.Faults {
		out = append(out, Event{At: s.Faults[i].At, Fault: &s.Faults[i].Fault})
	}
	Sort(out)
	return out
}

// Sort sorts events by time. Events of the same time keep their order.
func Sort(events []Event) {
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
}

// racksOf returns the site's racks in the order of their workers.
func racksOf(s *setup.Setup) []string {
	var out []string
	for _, w := range s.World.Workers {
		if r := string(w.Rack); !slices.Contains(out, r) {
			out = append(out, r)
		}
	}
	return out
}

// hash returns the FNV-1a hash of a name. It is part of the seed of a kind's
// random source, so that each kind has a separate one.
func hash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}

// generator generates the jobs of one kind.
type generator struct {
	kind   *setup.Kind
	random *rand.Rand
	// crashRandom decides which jobs crash workers. It is separate from random,
	// so that experiments that differ only in the share of such jobs have
	// otherwise the same jobs.
	crashRandom *rand.Rand
	// tailRandom decides which tasks are in the heavy tail. It is separate for
	// the same reason.
	tailRandom *rand.Rand
	racks      []string
}

// jobs generates the jobs of the whole experiment. They arrive as a Poisson
// process with a varying rate, which jobs generates by thinning: it draws
// arrivals at the peak rate, and keeps each with a probability that is the rate
// at its time divided by the peak rate.
func (g *generator) jobs(s *setup.Setup) []Event {
	peak := g.kind.PerSecond
	for _, b := range s.Bursts {
		if b.Kind == g.kind.Name {
			peak *= max(1, b.Factor)
		}
	}
	if peak == 0 {
		return nil
	}
	var out []Event
	for at := 0.0; ; {
		at += g.random.ExpFloat64() / peak
		when := time.Duration(at * float64(time.Second))
		if when >= s.Length {
			return out
		}
		j := g.job(len(out))
		if g.random.Float64() < g.rate(s, when)/peak {
			out = append(out, Event{At: when, Job: &j})
		}
	}
}

// rate returns the mean number of jobs per second at a time, bursts included.
func (g *generator) rate(s *setup.Setup, at time.Duration) float64 {
	r := g.kind.PerSecond
	for _, b := range s.Bursts {
		if b.Kind == g.kind.Name && at >= b.At && at < b.At+b.Duration {
			r *= b.Factor
		}
	}
	return r
}

// chance reports true with a probability of share.
func (g *generator) chance(share float64) bool { return g.random.Float64() < share }

// draw returns a random number from the log-normal distribution x, capped at
// x.Max.
func (g *generator) draw(x setup.LogNormal) float64 {
	sigma := math.Sqrt(math.Log(1 + x.Spread*x.Spread))
	v := x.Mean * math.Exp(sigma*g.random.NormFloat64()-sigma*sigma/2)
	return min(v, x.Max)
}

// job generates a job with the number n in its name.
func (g *generator) job(n int) world.Job {
	k := g.kind
	j := world.Job{
		Name: id.Job(fmt.Sprintf("%s-%06d", k.Name, n)), Kind: k.Name, FailProbability: k.FailProbability,
		Spec: job.Spec{
			Customer: k.Customers[g.random.IntN(len(k.Customers))], Queue: id.Queue(k.Name), Service: setup.Service, Priority: k.Priority,
			MaxAttempts: k.MaxAttempts, DeadlineFactor: k.DeadlineFactor, DeadlineExtra: k.DeadlineExtra,
		},
	}
	if g.chance(k.AlwaysFails) {
		j.FailProbability = 1
	}
	if g.crashRandom.Float64() < k.Crashes {
		j.CrashAfter = k.CrashAfter
	}
	steps := 1
	for steps < maxSteps && g.chance(1-1/k.Steps) {
		steps++
	}
	step := g.step()
	for i := range steps {
		if i > 0 {
			step.DependsOn = []int{i - 1}
		}
		g.addStep(&j, step)
	}
	if g.chance(k.Cancelled) {
		j.CancelAfter = time.Duration(g.random.Float64() * float64(j.RunTimes[0]+k.DeadlineExtra))
	}
	return j
}

// step generates the properties that all steps of a job share.
func (g *generator) step() job.Step {
	k := g.kind
	s := job.Step{
		Need: job.Resources{CPU: k.Cores, Memory: k.Memory, Accelerators: k.Accelerators[g.random.IntN(len(k.Accelerators))]},
		Gang: g.chance(k.Gang), Checkpointing: g.chance(k.Checkpointing),
	}
	s.SameRack = g.chance(k.SameRack) && s.Gang
	rack := g.racks[g.random.IntN(len(g.racks))]
	if g.chance(k.RackLocal) {
		s.DataRack = rack
	}
	return s
}

// addStep adds a step with a random number of tasks, run times and an estimate.
func (g *generator) addStep(j *world.Job, s job.Step) {
	k := g.kind
	s.Count = max(1, int(math.Round(g.draw(k.Tasks))))
	run := g.draw(k.Run)
	estimate := run * k.EstimateFactor * g.draw(setup.LogNormal{Mean: 1, Spread: k.EstimateSpread, Max: math.Inf(1)})
	s.Estimate = max(time.Millisecond, seconds(estimate))
	for range s.Count {
		j.RunTimes = append(j.RunTimes, max(time.Millisecond, seconds(run*(1+k.RunDeviation*(2*g.random.Float64()-1)))))
	}
	for i := len(j.RunTimes) - s.Count; i < len(j.RunTimes); i++ {
		if g.tailRandom.Float64() < k.Tail {
			j.Tails, j.TailFactor = append(j.Tails, i), k.TailFactor
		}
	}
	j.Spec.Steps = append(j.Spec.Steps, s)
}

// seconds converts seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
