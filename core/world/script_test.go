package world_test

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/policy"
	"curlewsill.org/curlewsill/core/scripttest"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/core/world"
)

// TestScripts runs the scripts in testdata/script. A line is a command:
//
//	site [workers=N] [speed=X,X] [hosts=N] [cores=X] [drift=X] [stop=D]
//	        [order=D] [pass=D]
//	    creates the World; the speeds are assigned to the workers in turn
//	job NAME [count=N] [gpus=N] [takes=D] [estimate=D] [priority=N]
//	        [attempts=N] [gang] [saves] [twosteps] [fails=X] [cancel=D]
//	        [crashes=D] [reborn] [lasts] [apart=N] [tails=N,N] [stored=D]
//	    submits a job; "lasts" makes its tasks long-running, "apart" bounds
//	    how many of a step run on one worker, and "twosteps" adds a second
//	    step that depends on the first; its record reaches the store only after the
//	    time "stored"; the job's first task crashes its
//	    worker after the time "crashes", and the worker restarts under its
//	    name with "reborn"; the tasks with the indexes "tails" take tailFactor
//	    times as long
//	strike KIND [share=X] [lasts=D] [factor=X]
//	    injects a fault
//	run D
//	    advances the virtual time
//	restart WORKER down=D
//	    ends the worker's incarnation; the next one starts under the same name
//	state NAME STATE [by=D]
//	    checks the job's outcome and, with "by", that the job reached it at
//	    most that long after its submission
//	progress NAME INDEX [least=N] [most=N]
//	    checks that the progress that is reported for a task, in percent, is
//	    within bounds; -1 if the task doesn't run
//	count FIELD [least=N] [most=N]
//	    checks that a field of the Tally is within bounds
//	outcome NAME FIELD [least=N] [most=N]
//	    checks that a field of the job's Outcome is within bounds
//	decided EVENT [least=N] [most=N]
//	    checks that the owners noted the event a number of times that is
//	    within bounds
//	violations N
//	    checks the number of violations
func TestScripts(t *testing.T) {
	scripttest.EachIn(t, "script", func(t *testing.T, text string) {
		(&scriptRunner{t: t}).run(text)
	})
}

// scriptRunner runs one script.
type scriptRunner struct {
	t    *testing.T
	line string
	w    *world.World
	// reportStart is set for scripts in which workers restart under their names.
	reportStart bool
	// changeSetup changes the setup before the World is created; nil for none.
	changeSetup func(*world.Setup)
}

// run runs a script.
func (p *scriptRunner) run(text string) {
	for i, l := range strings.Split(text, "\n") {
		if l = strings.TrimSpace(l); l != "" && !strings.HasPrefix(l, "#") {
			p.line = fmt.Sprintf("line %d: %s", i+1, l)
			p.execute(strings.Fields(l))
		}
	}
}

// execute runs one command.
func (p *scriptRunner) execute(f []string) {
	o := args(f)
	switch f[0] {
	case "site":
		p.newWorld(o)
	case "job":
		p.must(p.w.Submit(newJob(f[1], o)))
	case "strike":
		p.must(p.w.Inject(world.Fault{
			Kind: world.FaultKind(f[1]), Share: o.number("share", 1), Duration: o.duration("lasts", 0), Factor: o.number("factor", 1),
		}))
	case "run":
		d, err := time.ParseDuration(f[1])
		p.must(err)
		p.w.Run(d)
	case "restart":
		p.w.RestartWorker(id.Worker(f[1]), o.duration("down", 0))
	case "state":
		p.checkState(f[1], world.State(f[2]), o.duration("by", time.Hour))
	case "progress":
		index, err := strconv.Atoi(f[2])
		p.must(err)
		p.checkBounds(p.w.ReportedProgress(job.TaskID{Job: id.Job(f[1]), Index: index}), o)
	case "count":
		v := reflect.ValueOf(p.w.Tally()).FieldByName(f[1])
		if !v.IsValid() {
			p.t.Fatalf("%s: no such field", p.line)
		}
		p.checkBounds(int(v.Int()), o)
	case "outcome":
		p.checkOutcome(f[1], f[2], o)
	case "decided":
		p.checkBounds(p.w.EventCount(dispatch.Event(f[1])), o)
	case "violations":
		if got := p.w.Violations(); strconv.Itoa(len(got)) != f[1] {
			p.t.Errorf("%s: %q", p.line, got)
		}
	default:
		p.t.Fatalf("%s: unknown command", p.line)
	}
}

// must fails the test on an error.
func (p *scriptRunner) must(err error) {
	if err != nil {
		p.t.Fatalf("%s: %v", p.line, err)
	}
}

// checkBounds compares a count with its bounds.
func (p *scriptRunner) checkBounds(got int, o args) {
	if got < int(o.number("least", 0)) || got > int(o.number("most", 1e18)) {
		p.t.Errorf("%s: got %d", p.line, got)
	}
}

// checkState compares a job's outcome.
func (p *scriptRunner) checkState(name string, want world.State, by time.Duration) {
	for _, o := range p.w.Outcomes() {
		if o.Name == id.Job(name) && (o.State != want || o.CompletionTime > by) {
			p.t.Errorf("%s: %s after %s", p.line, o.State, o.CompletionTime)
		}
	}
}

// checkOutcome compares a field of a job's outcome with its bounds.
func (p *scriptRunner) checkOutcome(name, field string, o args) {
	for _, out := range p.w.Outcomes() {
		if out.Name != id.Job(name) {
			continue
		}
		switch v := reflect.ValueOf(out).FieldByName(field); {
		case v.IsValid() && v.CanInt():
			p.checkBounds(int(v.Int()), o)
		case v.IsValid() && v.CanFloat():
			p.checkBounds(int(v.Float()), o)
		default:
			p.t.Fatalf("%s: no such field", p.line)
		}
		return
	}
	p.t.Fatalf("%s: no such job", p.line)
}

// newWorld creates the World.
func (p *scriptRunner) newWorld(o args) {
	s := setup(int(o.number("workers", 8)), int(o.number("hosts", 1)), o.number("cores", 1))
	s.Times.MaxDrift, s.Times.StopTime = o.number("drift", 0), o.duration("stop", 0)
	s.ReportStart = p.reportStart
	s.Costs = world.Costs{Pass: o.duration("pass", 0), Order: o.duration("order", 0)}
	speeds := o.numbers("speed")
	for i := range s.Workers {
		if len(speeds) > 0 {
			s.Workers[i].Speed = speeds[i%len(speeds)]
		}
	}
	if p.changeSetup != nil {
		p.changeSetup(&s)
	}
	w, err := world.New(s)
	p.must(err)
	p.w = w
}

// config is the configuration of the dispatcher under test.
var config = dispatch.Config{
	MaxLease: 10 * time.Second, StopTime: 900 * time.Millisecond, CheckpointInterval: time.Second, EndedRetention: 2 * time.Minute,
	HandoverDelay: 3 * time.Second, MaintenanceTime: 2 * time.Second,
}

// setup returns a site of workers with 8 accelerators each, 4 to a rack.
func setup(workers, hosts int, cores float64) world.Setup {
	s := world.Setup{
		NewDispatcher: func(e id.Epoch, t *jobtable.Table) *dispatch.Dispatcher {
			return dispatch.New(config, policy.New(), e, t)
		},
		CheckpointInterval: config.CheckpointInterval, Seed: 7, Callers: world.Callers{Interval: 200 * time.Millisecond},
		Times: world.Times{
			RoundTrip: 4 * time.Millisecond, Append: 8 * time.Millisecond, AppendGap: time.Millisecond, ReadDelay: 5 * time.Millisecond,
			Timeout: 800 * time.Millisecond, MinPassInterval: 5 * time.Millisecond, MaxPassInterval: 200 * time.Millisecond, EventTimeFactor: 3,
			ListingDelay: 800 * time.Millisecond, GangTimeout: 3 * time.Second, GroupPoll: 500 * time.Millisecond, MemberTTL: time.Second,
			RestartDelay: 3 * time.Second, MaxLease: config.MaxLease,
		},
	}
	for i := range hosts {
		s.Hosts = append(s.Hosts, world.Host{ID: id.Host(fmt.Sprintf("host-%d", i)), Cores: cores})
	}
	for i := range workers {
		s.Workers = append(s.Workers, world.Worker{
			ID: id.Worker(fmt.Sprintf("w-%03d", i)), Service: "svc", Rack: id.Rack(fmt.Sprintf("r%02d", i/4)), Speed: 1,
			Capacity: job.Resources{CPU: 32000, Memory: 128 * unit.GiB, Accelerators: 8},
		})
	}
	return s
}

// newJob returns the job that the arguments of its line describe.
func newJob(name string, o args) world.Job {
	takes := o.duration("takes", time.Second)
	step := job.Step{
		Count: int(o.number("count", 1)), Estimate: o.duration("estimate", takes), Gang: o.has("gang"), Checkpointing: o.has("saves"),
		Need: job.Resources{CPU: 1000, Memory: unit.GiB, Accelerators: int(o.number("gpus", 1))}, LongRunning: o.has("lasts"),
		MaxPerWorker: int(o.number("apart", 0)),
	}
	j := world.Job{
		Name: id.Job(name), FailProbability: o.number("fails", 0), CancelAfter: o.duration("cancel", 0), Kind: "k",
		Spec: job.Spec{
			Customer: "c", Queue: "q", Service: "svc", Priority: int(o.number("priority", 1)), MaxAttempts: int(o.number("attempts", 3)),
			DeadlineFactor: 3, DeadlineExtra: time.Second, Steps: []job.Step{step},
		},
	}
	j.StoredAfter = o.duration("stored", 0)
	j.CrashAfter, j.SameName = o.duration("crashes", 0), o.has("reborn")
	if o.has("twosteps") {
		second := step
		second.DependsOn = []int{0}
		j.Spec.Steps = append(j.Spec.Steps, second)
	}
	for range j.Spec.TasksPerRound() {
		j.RunTimes = append(j.RunTimes, takes)
	}
	for _, i := range o.numbers("tails") {
		j.Tails, j.TailFactor = append(j.Tails, int(i)), tailFactor
	}
	return j
}

// tailFactor is how many times as long as others the tasks of a heavy tail
// take.
const tailFactor = 7

// args holds the arguments of a line: NAME or NAME=VALUE.
type args []string

func (o args) has(name string) bool { return slices.Contains(o, name) }

// text returns the value of a named argument.
func (o args) text(name string) (string, bool) {
	for _, w := range o {
		if v, ok := strings.CutPrefix(w, name+"="); ok {
			return v, true
		}
	}
	return "", false
}

func (o args) number(name string, def float64) float64 {
	v, ok := o.text(name)
	if !ok {
		return def
	}
	x, err := strconv.ParseFloat(v, 64)
	if err != nil {
		panic(err)
	}
	return x
}

// numbers returns the values of a named argument, which are separated by commas.
func (o args) numbers(name string) []float64 {
	v, ok := o.text(name)
	if !ok {
		return nil
	}
	var out []float64
	for _, part := range strings.Split(v, ",") {
		x, err := strconv.ParseFloat(part, 64)
		if err != nil {
			panic(err)
		}
		out = append(out, x)
	}
	return out
}

func (o args) duration(name string, def time.Duration) time.Duration {
	v, ok := o.text(name)
	if !ok {
		return def
	}
	d, err := time.ParseDuration(v)
	if err != nil {
		panic(err)
	}
	return d
}
