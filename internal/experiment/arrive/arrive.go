// Package arrive says which jobs come when in an experiment. What comes depends on the seed alone,
// so that all policies meet the same jobs.
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

// mostSteps bounds the steps of a job.
const mostSteps = 8

// Event is something that comes from outside at a time. One of the other fields is set.
type Event struct {
	At     time.Duration
	Job    *world.Job
	Cancel id.Job
	// Down and Up are workers that die and come back.
	Down, Up id.Worker
	Fault    *world.Fault
}

// Draw returns all events of an experiment with a seed, the earliest first.
func Draw(s *setup.Setup, seed uint64) []Event {
	var out []Event
	racks := racksOf(s)
	for i := range s.Kinds {
		name := s.Kinds[i].Name
		d := drawer{
			kind: &s.Kinds[i], random: rand.New(rand.NewPCG(seed, hash(name))), crashing: rand.New(rand.NewPCG(seed, hash(name+"/crashes"))),
			racks: racks,
		}
		out = append(out, d.all(s)...)
	}
	for i := range s.Faults {
		out = append(out, Event{At: s.Faults[i].At, Fault: &s.Faults[i].Fault})
	}
	Sort(out)
	return out
}

// Sort orders events by time; those of the same time stay in their order.
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

// hash returns a number that depends on a name.
func hash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}

// drawer draws the jobs of one kind.
type drawer struct {
	kind   *setup.Kind
	random *rand.Rand
	// crashing draws which jobs crash workers, so that all else is the same whatever their share.
	crashing *rand.Rand
	racks    []string
}

// all draws the jobs of the whole length: the times at the highest rate, of which those are left
// out that the rate of their time doesn't have.
func (d *drawer) all(s *setup.Setup) []Event {
	peak := d.kind.PerSecond
	for _, b := range s.Bursts {
		if b.Kind == d.kind.Name {
			peak *= max(1, b.Factor)
		}
	}
	if peak == 0 {
		return nil
	}
	var out []Event
	for at := 0.0; ; {
		at += d.random.ExpFloat64() / peak
		when := time.Duration(at * float64(time.Second))
		if when >= s.Length {
			return out
		}
		j := d.job(len(out))
		if d.random.Float64() < d.rate(s, when)/peak {
			out = append(out, Event{At: when, Job: &j})
		}
	}
}

// rate returns how many jobs come in a second at a time.
func (d *drawer) rate(s *setup.Setup, at time.Duration) float64 {
	r := d.kind.PerSecond
	for _, b := range s.Bursts {
		if b.Kind == d.kind.Name && at >= b.At && at < b.At+b.Lasts {
			r *= b.Factor
		}
	}
	return r
}

// chance reports true in a share of the cases.
func (d *drawer) chance(share float64) bool { return d.random.Float64() < share }

// draw draws a number.
func (d *drawer) draw(x setup.Draw) float64 {
	sigma := math.Sqrt(math.Log(1 + x.Spread*x.Spread))
	v := x.Mean * math.Exp(sigma*d.random.NormFloat64()-sigma*sigma/2)
	return min(v, x.Most)
}

// job draws the Nth job.
func (d *drawer) job(n int) world.Job {
	k := d.kind
	j := world.Job{
		Name: id.Job(fmt.Sprintf("%s-%06d", k.Name, n)), Kind: k.Name, FailShare: k.Fails,
		Spec: job.Spec{
			Customer: k.Customers[d.random.IntN(len(k.Customers))], Queue: id.Queue(k.Name), Service: setup.Service, Priority: k.Priority,
			MaxAttempts: k.Attempts, Stretch: k.Stretch, Target: k.Target,
		},
	}
	if d.chance(k.Hopeless) {
		j.FailShare = 1
	}
	if d.crashing.Float64() < k.Crashes {
		j.CrashAfter = k.CrashAfter
	}
	steps := 1
	for steps < mostSteps && d.chance(1-1/k.Steps) {
		steps++
	}
	step := d.step()
	for i := range steps {
		if i > 0 {
			step.DependsOn = []int{i - 1}
		}
		d.addStep(&j, step)
	}
	if d.chance(k.Cancelled) {
		j.CancelAfter = time.Duration(d.random.Float64() * float64(j.Takes[0]+k.Target))
	}
	return j
}

// step draws what the steps of a job have in common.
func (d *drawer) step() job.Step {
	k := d.kind
	s := job.Step{
		Need: job.Resources{CPU: k.Cores, Memory: k.Memory, Accelerators: k.Accelerators[d.random.IntN(len(k.Accelerators))]},
		Gang: d.chance(k.Gang), Checkpointing: d.chance(k.Saves),
	}
	s.SameRack = d.chance(k.SameRack) && s.Gang
	rack := d.racks[d.random.IntN(len(d.racks))]
	if d.chance(k.Near) {
		s.DataRack = rack
	}
	return s
}

// addStep adds a step with tasks of its own.
func (d *drawer) addStep(j *world.Job, s job.Step) {
	k := d.kind
	s.Count = max(1, int(math.Round(d.draw(k.Tasks))))
	run := d.draw(k.Run)
	guess := run * k.EstimateFactor * d.draw(setup.Draw{Mean: 1, Spread: k.EstimateSpread, Most: math.Inf(1)})
	s.Estimate = max(time.Millisecond, seconds(guess))
	for range s.Count {
		j.Takes = append(j.Takes, max(time.Millisecond, seconds(run*(1+k.Uneven*(2*d.random.Float64()-1)))))
	}
	j.Spec.Steps = append(j.Spec.Steps, s)
}

// seconds returns a time.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
