package replay

import (
	"errors"
	"fmt"
	"math/bits"
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/config"
	fake "curlewsill.org/curlewsill/core/fake/worker"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/place"
	"curlewsill.org/curlewsill/core/record"
	"curlewsill.org/curlewsill/core/sched"
	"curlewsill.org/curlewsill/core/state"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/core/worker"
)

const (
	// step is how far the clock moves at a time.
	step = time.Second
	// sampleEvery is how often fragmentation and utilisation are looked at.
	sampleEvery = 30 * time.Second
	// large is the size from which a gang counts as large.
	large = 16
	// maxAfter bounds the time after the last event in which jobs may end.
	maxAfter = 48 * time.Hour
	// batch is how many entries go into one record.
	batch = 200
	begin = unit.Instant(time.Hour)
)

// ErrSite reports a configuration that the state does not accept.
var ErrSite = errors.New("replay: the site is not accepted")

// Result is what one policy came to on a trace.
type Result struct {
	Policy    string `json:"policy"`
	Submitted int    `json:"submitted"`
	Finished  int    `json:"finished"`
	Refused   int    `json:"refused"`
	// Completion is from submission to the end of jobs that finished; Large those
	// of 16 accelerators and more.
	CompletionP50      float64 `json:"completion_p50_s"`
	CompletionP99      float64 `json:"completion_p99_s"`
	LargeCompletionP99 float64 `json:"large_completion_p99_s"`
	// UrgentStart is from submission until the gates of an urgent job are open.
	UrgentStartP99 float64 `json:"urgent_start_p99_s"`
	// Fragmentation is the share of free accelerators that can't serve the gang
	// sizes that wait or are guaranteed, its mean over time.
	Fragmentation float64 `json:"fragmentation"`
	// Utilisation is the share of live accelerators that tasks hold, its mean
	// until the last submission, less the work that was thrown away.
	Utilisation float64 `json:"utilisation"`
	Preempted   int     `json:"preempted"`
	// LostAccelerator is the work that was thrown away by stopping gangs, in
	// accelerator-seconds.
	LostAccelerator float64 `json:"lost_accelerator_s"`
	// GuaranteeReclaimMax is the longest time until a guarantee_used job started
	// whose customer had no other one under way.
	GuaranteeReclaimMax float64 `json:"guarantee_reclaim_max_s"`
	Violations          int     `json:"violations"`

	// Samples are for plots.
	Samples []Sample `json:"-"`
}

// Sample is the system at one moment.
type Sample struct {
	At            time.Duration
	Fragmentation float64
	Utilisation   float64
	Waiting       int
}

// job is what a replay knows of one job.
type job struct {
	event   Event
	started unit.Instant
	// opened is when the gates of the current attempt opened; 0 if none is.
	opened  unit.Instant
	ended   unit.Instant
	leases  map[id.Lease]bool
	running map[id.Worker]bool
	// owed is set if the customer had no other owed job under way, so that its
	// guarantee had to serve this one at once.
	owed bool
}

// bench is one run.
type bench struct {
	state   *state.State
	sched   *sched.Scheduler
	workers map[id.Worker]*fake.Worker
	down    map[id.Worker]bool
	lives   map[id.Worker]uint64
	jobs    map[id.Job]*job
	now     unit.Instant
	seq     id.Seq
	result  Result
	// due lists workers whose tasks may have ended.
	lastSubmit unit.Instant
	queue      []record.Entry
}

// Run replays a trace on a site with a policy. The trace is not changed.
func Run(site []config.Change, trace []Event, p place.Policy) (Result, error) {
	b := &bench{
		state: state.New(), workers: map[id.Worker]*fake.Worker{}, down: map[id.Worker]bool{},
		lives: map[id.Worker]uint64{}, jobs: map[id.Job]*job{}, now: begin,
	}
	b.result.Policy = p.Name()
	if err := b.setUp(site, p); err != nil {
		return Result{}, err
	}
	for i := 0; ; {
		for i < len(trace) && begin.Add(trace[i].At) <= b.now {
			b.take(trace[i])
			i++
		}
		b.step()
		if i == len(trace) && (b.idle() || b.now.Sub(b.lastSubmit) > maxAfter) {
			break
		}
		b.now = b.now.Add(step)
	}
	return b.sum(), nil
}

// setUp puts the site in force and lets the scheduler hear of its workers.
func (b *bench) setUp(site []config.Change, p place.Policy) error {
	v := b.write(record.Entry{Configure: &record.Configure{Changes: site}}, record.Entry{Claim: &record.Claim{Host: "replay"}})
	if v[0] != nil {
		return fmt.Errorf("%w: %w", ErrSite, v[0])
	}
	for _, k := range config.Sorted(b.state.Config.Racks) {
		for _, w := range b.state.Config.Racks[k].Workers {
			b.start(w.ID, w.Accelerators)
		}
	}
	b.sched = sched.New(b.state.Owner.Epoch, b.state, p)
	for range 3 {
		b.step()
		b.now = b.now.Add(step)
	}
	return nil
}

// start starts a worker, or starts it again with a new life.
func (b *bench) start(w id.Worker, accelerators int) {
	b.lives[w]++
	b.workers[w] = fake.New(w, accelerators, b.lives[w], fake.Hooks{
		Plan: func(t worker.Want) fake.Run {
			e := b.jobs[t.Job].event
			return fake.Run{For: e.Run, Crash: e.Bad}
		},
		Started: func(j id.Job, l id.Lease) { b.opened(b.jobs[j], w, l) },
		Ended:   func(j id.Job, _ id.Lease, st worker.TaskState) { b.closed(b.jobs[j], w, st) },
	})
}

// opened notes that a gate was opened.
func (b *bench) opened(j *job, w id.Worker, l id.Lease) {
	if !j.leases[l] && j.event.Once && len(j.leases) > 0 {
		b.result.Violations++
	}
	if j.started == 0 {
		j.started = b.now
	}
	if len(j.running) == 0 {
		j.opened = b.now
	}
	j.leases[l] = true
	j.running[w] = true
}

// closed notes that a task ended.
func (b *bench) closed(j *job, w id.Worker, st worker.TaskState) {
	if !j.running[w] {
		return
	}
	delete(j.running, w)
	if st != worker.Exited {
		share := float64(j.event.Accelerators) / float64(max(len(j.running)+1, 1))
		if len(j.running) == 0 {
			b.result.LostAccelerator += b.now.Sub(j.opened).Seconds() * share
		}
	}
}

// write puts entries on the log.
func (b *bench) write(entries ...record.Entry) []error {
	b.seq++
	raw, err := record.Encode(record.Batch{
		Version: record.Version, Host: "replay", Incarnation: 1, Seq: b.seq, Basis: b.state.Applied, Entries: entries,
	})
	if err != nil {
		panic(fmt.Sprintf("replay: entries of the program itself: %v", err))
	}
	a, err := b.state.Apply(b.state.Applied+1, raw)
	if err != nil || a.Damaged != nil {
		panic(fmt.Sprintf("replay: record of the program itself: %v %v", err, a.Damaged))
	}
	return a.Verdicts
}

// take carries out one line of the trace.
func (b *bench) take(e Event) {
	switch e.Kind {
	case Submit, GuaranteeUsed:
		b.result.Submitted++
		b.lastSubmit = b.now
		b.jobs[e.Job] = &job{event: e, owed: b.owed(e), leases: map[id.Lease]bool{}, running: map[id.Worker]bool{}}
		b.queue = append(b.queue, record.Entry{Submit: &record.Submit{Job: record.Job{
			ID: e.Job, Customer: e.Customer, Accelerators: e.Accelerators, Declared: e.Declared,
			Once: e.Once, Urgent: e.Urgent, Submitted: b.now,
		}}})
	case Cancel:
		b.queue = append(b.queue, record.Entry{Cancel: &record.Cancel{Job: e.Job}})
	case WorkerDown:
		if w := b.workers[id.Worker(e.Job)]; w != nil {
			b.down[id.Worker(e.Job)] = true
			for _, j := range w.Running() {
				b.closed(b.jobs[j], id.Worker(e.Job), worker.Stopped)
			}
		}
	case WorkerUp:
		if b.down[id.Worker(e.Job)] {
			delete(b.down, id.Worker(e.Job))
			b.start(id.Worker(e.Job), b.accelerators(id.Worker(e.Job)))
		}
	}
}

// owed reports whether the guarantee of the job's customer is unused.
func (b *bench) owed(e Event) bool {
	if e.Kind != GuaranteeUsed {
		return false
	}
	for name, j := range b.jobs {
		s := b.state.Jobs[name]
		under := s == nil || s.State == state.Pending || s.State == state.Running
		if under && j.event.Customer == e.Customer && j.event.Kind == GuaranteeUsed {
			return false
		}
	}
	return true
}

func (b *bench) accelerators(name id.Worker) int {
	for _, r := range b.state.Config.Racks {
		for _, w := range r.Workers {
			if w.ID == name {
				return w.Accelerators
			}
		}
	}
	return 0
}

// step lets everything happen that is due.
func (b *bench) step() {
	for part := range slices.Chunk(b.queue, batch) {
		for i, err := range b.write(part...) {
			if err == nil {
				b.sched.Accepted(b.now, part[i])
			}
		}
	}
	b.queue = b.queue[:0]
	// Messages take no time: go on until nothing more follows.
	for range 8 {
		d := b.sched.Step(b.now)
		if len(d.Entries)+len(d.Syncs) == 0 {
			break
		}
		b.carryOut(d)
	}
	for name, w := range b.workers {
		if !b.down[name] {
			w.Advance(time.Duration(b.now))
		}
	}
	if b.now.Sub(begin)%sampleEvery == 0 {
		b.sample()
	}
}

func (b *bench) carryOut(d sched.Decisions) {
	for part := range slices.Chunk(d.Entries, batch) {
		for i, err := range b.write(part...) {
			b.noteEnd(part[i], err)
			b.sched.Settled(b.now, part[i], err)
		}
	}
	if len(d.Entries) > 0 && b.state.CheckWitness() != nil {
		b.result.Violations++
	}
	for _, q := range d.Syncs {
		if !b.down[q.Worker] {
			b.sched.Report(b.now, b.workers[q.Worker].Sync(time.Duration(b.now), q))
		}
	}
}

func (b *bench) noteEnd(e record.Entry, err error) {
	if e.End == nil || err != nil {
		return
	}
	j := b.jobs[e.End.Job]
	switch e.End.Outcome {
	case record.Finished:
		j.ended = b.now
		b.result.Finished++
	case record.Refused:
		b.result.Refused++
	}
}

// idle reports whether every job has ended.
func (b *bench) idle() bool {
	for _, j := range b.state.Jobs {
		if j.State == state.Pending || j.State == state.Running {
			return false
		}
	}
	return len(b.queue) == 0
}

// all returns the number of accelerators of the site.
func (b *bench) all() int {
	n := 0
	for k := range b.state.Config.Racks {
		n += bits.OnesCount64(state.Usable(b.state.Config, k))
	}
	return n
}

// sample notes the state of all racks.
func (b *bench) sample() {
	st := b.sched.Stats()
	used, all := 0, b.all()
	for _, j := range b.jobs {
		if len(j.running) > 0 {
			used += j.event.Accelerators
		}
	}
	for w := range b.down {
		all -= b.accelerators(w)
	}
	b.result.Samples = append(b.result.Samples, Sample{
		At: b.now.Sub(begin), Fragmentation: st.Fragmentation,
		Utilisation: float64(used) / float64(max(all, 1)), Waiting: st.Pending,
	})
}
