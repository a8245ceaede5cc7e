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
	// tick is the step of the virtual clock.
	tick = time.Second
	// sampleInterval is the interval at which fragmentation and utilisation are
	// sampled.
	sampleInterval = 30 * time.Second
	// largeGang is the smallest number of accelerators of a large gang.
	largeGang = 16
	// maxDrain bounds how long after the last submission the replay waits for jobs
	// to end.
	maxDrain = 48 * time.Hour
	// batchSize is the maximum number of entries in one record.
	batchSize = 200
	// startTime is the reading of the virtual clock at time 0 of the trace.
	startTime = unit.Instant(time.Hour)
)

// ErrSite reports a site whose configuration the state does not accept.
var ErrSite = errors.New("replay: site configuration was rejected")

// Result has the measurements of one policy on a trace.
type Result struct {
	Policy    string `json:"policy"`
	Submitted int    `json:"submitted"`
	Finished  int    `json:"finished"`
	Refused   int    `json:"refused"`
	// CompletionP50 and CompletionP99 are quantiles of the time from the submission
	// of a job to its end, over finished jobs. LargeCompletionP99 is the 99 %
	// quantile over jobs of 16 accelerators or more.
	CompletionP50      float64 `json:"completion_p50_s"`
	CompletionP99      float64 `json:"completion_p99_s"`
	LargeCompletionP99 float64 `json:"large_completion_p99_s"`
	// UrgentStartP99 is a quantile of the time from the submission of an urgent
	// job until its first gate opens.
	UrgentStartP99 float64 `json:"urgent_start_p99_s"`
	// Fragmentation is the mean share of free accelerators that can't serve the
	// gang sizes of waiting jobs and guarantees, until the last submission.
	Fragmentation float64 `json:"fragmentation"`
	// Utilisation is the mean share of live accelerators on which tasks run, until
	// the last submission, less the share of the work that was lost.
	Utilisation float64 `json:"utilisation"`
	Preempted   int     `json:"preempted"`
	// LostAcceleratorSeconds is the work of gangs that ended without finishing, in
	// accelerator-seconds.
	LostAcceleratorSeconds float64 `json:"lost_accelerator_s"`
	// GuaranteeReclaimMax is the longest time from the submission to the start of a
	// job. Only jobs of guarantee_used events count whose customer had no other such
	// job in flight, as mustReclaim determines.
	GuaranteeReclaimMax float64 `json:"guarantee_reclaim_max_s"`
	// Violations counts two kinds of violated invariants: leases under which a job
	// that must not be repeated started again, and steps after which the planned
	// places of unused guarantees were invalid.
	Violations int `json:"violations"`

	// Samples are the samples taken during the replay. They are used for plots.
	Samples []Sample `json:"-"`
}

// Sample has the measurements at one point of time.
type Sample struct {
	At            time.Duration
	Fragmentation float64
	Utilisation   float64
	Waiting       int
}

// job is the simulation's state of one job.
type job struct {
	event Event
	// started is when a gate of the job first opened; 0 before.
	started unit.Instant
	// opened is when the first task of the job's latest run started, that is, when
	// a gate last opened while no other task of the job was running.
	opened unit.Instant
	// ended is when the job finished; 0 if it has not.
	ended unit.Instant
	// leases has the leases under which a gate of the job opened. running has the
	// workers on which the job's tasks run at present.
	leases  map[id.Lease]bool
	running map[id.Worker]bool
	// reclaims is set by mustReclaim at the job's submission.
	reclaims bool
}

// simulation is one replay of a trace.
type simulation struct {
	state        *state.State
	sched        *sched.Scheduler
	workers      map[id.Worker]*fake.Worker
	down         map[id.Worker]bool
	incarnations map[id.Worker]uint64
	jobs         map[id.Job]*job
	now          unit.Instant
	seq          id.Seq
	result       Result
	// lastSubmit is the time of the latest submission.
	lastSubmit unit.Instant
	// pending has the entries that the next step writes.
	pending []record.Entry
}

// Run replays a trace on a site with a placement policy. It does not change the
// trace.
func Run(site []config.Change, trace []Event, p place.Policy) (Result, error) {
	sim := &simulation{
		state: state.New(), workers: map[id.Worker]*fake.Worker{}, down: map[id.Worker]bool{},
		incarnations: map[id.Worker]uint64{}, jobs: map[id.Job]*job{}, now: startTime,
	}
	sim.result.Policy = p.Name()
	if err := sim.setUp(site, p); err != nil {
		return Result{}, err
	}
	for i := 0; ; {
		for i < len(trace) && startTime.Add(trace[i].At) <= sim.now {
			sim.apply(trace[i])
			i++
		}
		sim.step()
		if i == len(trace) && (sim.idle() || sim.now.Sub(sim.lastSubmit) > maxDrain) {
			break
		}
		sim.now = sim.now.Add(tick)
	}
	return sim.summarize(), nil
}

// setUp applies the configuration of the site, starts its workers, and runs steps
// in which they report to the scheduler.
func (sim *simulation) setUp(site []config.Change, p place.Policy) error {
	verdicts := sim.write(record.Entry{Configure: &record.Configure{Changes: site}}, record.Entry{Claim: &record.Claim{Host: "replay"}})
	if verdicts[0] != nil {
		return fmt.Errorf("%w: %w", ErrSite, verdicts[0])
	}
	for _, k := range config.SortedKeys(sim.state.Config.Racks) {
		for _, w := range sim.state.Config.Racks[k].Workers {
			sim.startWorker(w.ID, w.Accelerators)
		}
	}
	sim.sched = sched.New(sim.state.Owner.Epoch, sim.state, p)
	for range 3 {
		sim.step()
		sim.now = sim.now.Add(tick)
	}
	return nil
}

// startWorker starts a worker, or restarts it as a new incarnation.
func (sim *simulation) startWorker(w id.Worker, accelerators int) {
	sim.incarnations[w]++
	sim.workers[w] = fake.New(w, accelerators, sim.incarnations[w], fake.Hooks{
		RunOf: func(t worker.WantedTask) fake.Run {
			e := sim.jobs[t.Job].event
			return fake.Run{Duration: e.Run, Crash: e.CrashesEverywhere}
		},
		Started: func(j id.Job, l id.Lease) { sim.gateOpened(sim.jobs[j], w, l) },
		Ended:   func(j id.Job, _ id.Lease, st worker.TaskState) { sim.taskEnded(sim.jobs[j], w, st) },
	})
}

// gateOpened records that the gate of a task was opened, so that the task runs.
func (sim *simulation) gateOpened(j *job, w id.Worker, l id.Lease) {
	if !j.leases[l] && j.event.Once && len(j.leases) > 0 {
		sim.result.Violations++
	}
	if j.started == 0 {
		j.started = sim.now
	}
	if len(j.running) == 0 {
		j.opened = sim.now
	}
	j.leases[l] = true
	j.running[w] = true
}

// taskEnded records that a task ended. If it was the last running task of its job and
// did not exit by itself, the work of the whole gang since job.opened counts as lost.
func (sim *simulation) taskEnded(j *job, w id.Worker, st worker.TaskState) {
	if !j.running[w] {
		return
	}
	delete(j.running, w)
	if st != worker.Exited {
		share := float64(j.event.Accelerators) / float64(max(len(j.running)+1, 1))
		if len(j.running) == 0 {
			sim.result.LostAcceleratorSeconds += sim.now.Sub(j.opened).Seconds() * share
		}
	}
}

// write appends entries to the log and returns their verdicts.
func (sim *simulation) write(entries ...record.Entry) []error {
	sim.seq++
	raw, err := record.Encode(record.Batch{
		Version: record.Version, Host: "replay", Incarnation: 1, Seq: sim.seq, BasisOffset: sim.state.Applied, Entries: entries,
	})
	if err != nil {
		panic(fmt.Sprintf("replay: failed to encode the replay's own entries: %v", err))
	}
	a, err := sim.state.Apply(sim.state.Applied+1, raw)
	if err != nil || a.Damaged != nil {
		panic(fmt.Sprintf("replay: failed to apply the replay's own record: %v %v", err, a.Damaged))
	}
	return a.Verdicts
}

// apply processes one event of the trace.
func (sim *simulation) apply(e Event) {
	switch e.Kind {
	case Submit, SubmitGuaranteed:
		sim.result.Submitted++
		sim.lastSubmit = sim.now
		sim.jobs[e.Job] = &job{event: e, reclaims: sim.mustReclaim(e), leases: map[id.Lease]bool{}, running: map[id.Worker]bool{}}
		sim.pending = append(sim.pending, record.Entry{Submit: &record.Submit{Job: record.Job{
			ID: e.Job, Customer: e.Customer, Accelerators: e.Accelerators, Declared: e.Declared,
			AtMostOnce: e.Once, Urgent: e.Urgent, Submitted: sim.now,
		}}})
	case Cancel:
		sim.pending = append(sim.pending, record.Entry{Cancel: &record.Cancel{Job: e.Job}})
	case WorkerDown:
		if w := sim.workers[id.Worker(e.Job)]; w != nil {
			sim.down[id.Worker(e.Job)] = true
			for _, j := range w.Running() {
				sim.taskEnded(sim.jobs[j], id.Worker(e.Job), worker.Stopped)
			}
		}
	case WorkerUp:
		if sim.down[id.Worker(e.Job)] {
			delete(sim.down, id.Worker(e.Job))
			sim.startWorker(id.Worker(e.Job), sim.accelerators(id.Worker(e.Job)))
		}
	}
}

// mustReclaim reports whether the event submits a guarantee_used job whose customer
// has no other such job in flight. The customer's guarantee must then serve the job
// at once: gangs of other customers that borrow the guaranteed accelerators must make
// room.
func (sim *simulation) mustReclaim(e Event) bool {
	if e.Kind != SubmitGuaranteed {
		return false
	}
	for jobID, j := range sim.jobs {
		s := sim.state.Jobs[jobID]
		inFlight := s == nil || s.State == state.Pending || s.State == state.Running
		if inFlight && j.event.Customer == e.Customer && j.event.Kind == SubmitGuaranteed {
			return false
		}
	}
	return true
}

// accelerators returns the number of accelerators of a worker; 0 if it is unknown.
func (sim *simulation) accelerators(name id.Worker) int {
	for _, r := range sim.state.Config.Racks {
		for _, w := range r.Workers {
			if w.ID == name {
				return w.Accelerators
			}
		}
	}
	return 0
}

// step processes everything that is due at the current time.
func (sim *simulation) step() {
	for part := range slices.Chunk(sim.pending, batchSize) {
		for i, err := range sim.write(part...) {
			if err == nil {
				sim.sched.EntryAccepted(sim.now, part[i])
			}
		}
	}
	sim.pending = sim.pending[:0]
	// Messages take no time: repeat until the scheduler emits nothing more. The
	// number of repetitions is bounded.
	for range 8 {
		d := sim.sched.Step(sim.now)
		if len(d.Entries)+len(d.Syncs) == 0 {
			break
		}
		sim.execute(d)
	}
	for workerID, w := range sim.workers {
		if !sim.down[workerID] {
			w.Advance(time.Duration(sim.now))
		}
	}
	if sim.now.Sub(startTime)%sampleInterval == 0 {
		sim.sample()
	}
}

// execute writes the entries of the decisions to the log and sends their syncs to
// the workers, whose reports it passes to the scheduler.
func (sim *simulation) execute(d sched.Decisions) {
	for part := range slices.Chunk(d.Entries, batchSize) {
		for i, err := range sim.write(part...) {
			sim.noteEnd(part[i], err)
			sim.sched.EntrySettled(sim.now, part[i], err)
		}
	}
	if len(d.Entries) > 0 && sim.state.CheckWitness() != nil {
		sim.result.Violations++
	}
	for _, q := range d.Syncs {
		if !sim.down[q.Worker] {
			sim.sched.Report(sim.now, sim.workers[q.Worker].Sync(time.Duration(sim.now), q))
		}
	}
}

// noteEnd counts the end of a job if the log accepted its entry.
func (sim *simulation) noteEnd(e record.Entry, err error) {
	if e.End == nil || err != nil {
		return
	}
	j := sim.jobs[e.End.Job]
	switch e.End.Outcome {
	case record.Finished:
		j.ended = sim.now
		sim.result.Finished++
	case record.Refused:
		sim.result.Refused++
	}
}

// idle reports whether every job has ended.
func (sim *simulation) idle() bool {
	for _, j := range sim.state.Jobs {
		if j.State == state.Pending || j.State == state.Running {
			return false
		}
	}
	return len(sim.pending) == 0
}

// totalAccelerators returns the number of usable accelerators of the site.
func (sim *simulation) totalAccelerators() int {
	n := 0
	for k := range sim.state.Config.Racks {
		n += bits.OnesCount64(state.UsableAccelerators(sim.state.Config, k))
	}
	return n
}

// sample records the current fragmentation, utilisation and number of waiting jobs.
func (sim *simulation) sample() {
	st := sim.sched.Stats()
	used, live := 0, sim.totalAccelerators()
	for _, j := range sim.jobs {
		if len(j.running) > 0 {
			used += j.event.Accelerators
		}
	}
	for w := range sim.down {
		live -= sim.accelerators(w)
	}
	sim.result.Samples = append(sim.result.Samples, Sample{
		At: sim.now.Sub(startTime), Fragmentation: st.Fragmentation,
		Utilisation: float64(used) / float64(max(live, 1)), Waiting: st.Pending,
	})
}
