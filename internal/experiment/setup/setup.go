// Package setup reads the definition of an experiment from two INI files: a
// site file, in the format of `curlewsill plan`, and an experiment file. Both
// are checked strictly; an error names file, section and key.
package setup

import (
	"fmt"
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/config"
	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/policy"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/core/world"
	"curlewsill.org/curlewsill/internal/inifile"
	"curlewsill.org/curlewsill/internal/intent"
)

// Service is the only service of a simulated site.
const Service = id.Service("model")

// Setup is one experiment.
type Setup struct {
	// Length is the time during which jobs arrive. Settle is how long the
	// simulation continues after that.
	Length, Settle time.Duration
	// SampleInterval is the time between two samples of use and fragmentation.
	SampleInterval time.Duration
	// Seeds is never empty.
	Seeds []uint64
	// Trace names a trace file of jobs that are submitted in addition to the
	// generated ones. It is empty if there is none. Properties that the trace
	// doesn't give are taken from the kind TraceKind, or from UrgentKind for
	// urgent jobs.
	Trace                 string
	TraceKind, UrgentKind string
	// World is the setup of the simulated site, without seed and dispatcher.
	World world.Setup
	// DispatchConfig configures the owners' dispatchers.
	DispatchConfig dispatch.Config
	Prices         Prices
	Kinds          []Kind
	Bursts         []Burst
	Faults         []Fault
	// Policies is never empty. Each policy is compared with the first one.
	Policies []Policy
}

// Prices are subtracted from the worth that jobs earn.
type Prices struct {
	// Waste is the price of a core-second of lost work, Start that of starting
	// a run.
	Waste, Start float64
}

// Policy is one scheduling policy that an experiment compares.
type Policy struct {
	Name string
	// Switches says which mechanisms of the dispatcher are on.
	Switches policy.Policy
	// Cores replaces the cores of each host, unless it is 0.
	Cores float64
	// MaxLease replaces MaxLease of DispatchConfig, unless it is 0.
	MaxLease time.Duration
}

// Kind describes the jobs of one kind, which arrive at random times.
type Kind struct {
	Name      string
	Customers []id.Customer
	Priority  int
	// PerSecond is the mean number of jobs per second, without bursts.
	PerSecond float64
	// Tasks is the number of tasks of a step. Run is the run time of a task in
	// seconds on a worker of speed 1. RunDeviation is the largest deviation of
	// a task's run time from that of its step, as a fraction.
	Tasks, Run   LogNormal
	RunDeviation float64
	// Tail is the share of tasks that take TailFactor times as long as their run
	// time. Neither the estimate nor the time that the job may take includes
	// this.
	Tail, TailFactor float64
	// EstimateSpread is the relative spread of the customers' run time
	// estimates. EstimateFactor is the mean estimate divided by the real run
	// time.
	EstimateSpread, EstimateFactor float64
	// Accelerators lists the possible numbers of accelerators of a task, all
	// equally likely.
	Accelerators []int
	// Cores and Memory are the needs of each task.
	Cores  job.MilliCPU
	Memory unit.Bytes
	// Steps is the mean number of steps of a job. Each step depends on the one
	// before it.
	Steps float64
	// Gang is the share of jobs that are gangs, and SameRack the share of gangs
	// that must be placed in one rack. The others are shares of all jobs:
	// Checkpointing of jobs that write checkpoints, RackLocal of jobs with data
	// in one rack, Cancelled of jobs that are cancelled, and AlwaysFails of jobs
	// whose runs always fail.
	Gang, SameRack, Checkpointing, RackLocal, Cancelled, AlwaysFails float64
	// Crashes is the share of jobs whose first task crashes each worker that
	// starts it. CrashAfter is the time from the task's start to the crash.
	Crashes    float64
	CrashAfter time.Duration
	// FailProbability is the probability that a run fails.
	FailProbability float64
	// MaxAttempts is how often a task may be attempted.
	MaxAttempts int
	// DeadlineFactor and DeadlineExtra give the time that a job may take:
	// DeadlineFactor times its longest chain of work, plus DeadlineExtra.
	DeadlineFactor float64
	DeadlineExtra  time.Duration
	// Worth is what a job earns if it completes in time. LateWorth is what it
	// earns if it takes longer, up to three times the time allowed. Both are
	// multiplied by a weight that grows with the job's work relative to the
	// mean of its kind.
	Worth, LateWorth float64
}

// LogNormal is a log-normal distribution whose values are capped at Max.
type LogNormal struct {
	// Mean is the mean before values are capped, Spread the standard deviation
	// divided by Mean.
	Mean, Spread, Max float64
}

// Burst multiplies the arrival rate of a kind by Factor. It begins at At and
// lasts for Duration.
type Burst struct {
	Kind         string
	At, Duration time.Duration
	Factor       float64
}

// Fault is a fault that is injected at a given time.
type Fault struct {
	world.Fault
	At time.Duration
}

// Bounds of the values in an experiment file.
const (
	maxTime   = 7 * 24 * time.Hour
	maxSeeds  = 1000
	maxTasks  = 100_000
	maxRate   = 10_000
	maxFactor = 1000
	maxCores  = 4096
	maxSize   = 1_000_000
	maxHosts  = 1000
	maxCopies = 100
	minCores  = 0.001
)

// Load reads the site file and the experiment file with the given names.
func Load(site, experiment string) (*Setup, error) {
	changes, err := intent.Load(site)
	if err != nil {
		return nil, err
	}
	f, err := inifile.Read(experiment)
	if err != nil {
		return nil, err
	}
	return read(changes, f)
}

// Parse is like Load, but takes the content of the files. The names are for
// errors.
func Parse(siteName string, site []byte, name string, experiment []byte) (*Setup, error) {
	changes, err := intent.Parse(siteName, site)
	if err != nil {
		return nil, err
	}
	f, err := inifile.Parse(name, experiment)
	if err != nil {
		return nil, err
	}
	return read(changes, f)
}

func read(changes []config.Change, f *inifile.File) (*Setup, error) {
	c, err := config.New().Apply(changes)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", inifile.ErrInvalid, err)
	}
	e := f.Section("experiment")
	s := &Setup{
		Length:         e.Duration("length", time.Minute, time.Second, maxTime),
		Settle:         e.Duration("settle", time.Minute, 0, maxTime),
		SampleInterval: e.Duration("sample", time.Second, time.Millisecond, time.Hour),
		Trace:          e.Text("trace", ""),
	}
	first := e.Int("first_seed", 1, 0, maxSize)
	for i := range e.Int("seeds", 1, 1, maxSeeds) {
		s.Seeds = append(s.Seeds, uint64(first+i))
	}
	s.DispatchConfig = readDispatchConfig(f.Section("bounds"))
	p := f.Section("prices")
	s.Prices = Prices{Waste: p.Number("waste", 0, 0, maxFactor), Start: p.Number("start", 0, 0, maxFactor)}
	s.World = readWorld(f, c)
	s.World.CheckpointInterval = s.DispatchConfig.CheckpointInterval
	s.World.Times.StopTime = f.Section("workers").Duration("stop", s.DispatchConfig.StopTime, 0, time.Minute)
	for _, k := range f.Sections("kind") {
		s.Kinds = append(s.Kinds, readKind(k, c))
	}
	for _, b := range f.Sections("burst") {
		s.Bursts = append(s.Bursts, readBurst(b, s.Kinds))
	}
	for _, x := range f.Sections("fault") {
		s.Faults = append(s.Faults, readFault(x))
	}
	hasFault := func(kind world.FaultKind) bool {
		return slices.ContainsFunc(s.Faults, func(f Fault) bool { return f.Kind == kind })
	}
	if hasFault(world.Evacuate) {
		s.World.EvacuationBound = s.DispatchConfig.EvacuationLimit
	} else {
		s.DispatchConfig.EvacuationLimit = 0 // without such faults, no operator evacuates failure domains
	}
	if hasFault(world.Reborn) {
		s.World.ReportStart, s.World.Times.MaxLease = true, s.DispatchConfig.MaxLease
	}
	s.Policies = readPolicies(f)
	if len(s.Kinds) == 0 {
		e.Reject("", "a section [kind NAME] in the file")
	}
	s.TraceKind, s.UrgentKind = s.readKindName(e, "trace_kind"), s.readKindName(e, "urgent_kind")
	if len(s.World.Workers) == 0 {
		e.Reject("", "a section [rack NAME] in the site")
	}
	if err := f.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// readKindName reads the name of a kind for the trace's jobs. It must be a kind
// of the experiment; the first one is the default.
func (s *Setup) readKindName(e *inifile.Section, key string) string {
	var names []string
	for i := range s.Kinds {
		names = append(names, s.Kinds[i].Name)
	}
	if names == nil {
		return ""
	}
	return e.OneOf(key, names...)
}

// Kind returns the kind with the given name, or nil.
func (s *Setup) Kind(name string) *Kind {
	for i := range s.Kinds {
		if s.Kinds[i].Name == name {
			return &s.Kinds[i]
		}
	}
	return nil
}

// readDispatchConfig reads the configuration of the dispatchers.
func readDispatchConfig(b *inifile.Section) dispatch.Config {
	return dispatch.Config{
		MaxLease:           b.Duration("max_lease", 10*time.Second, time.Second, maxTime),
		StopTime:           b.Duration("stop", time.Second, time.Millisecond, time.Minute),
		CheckpointInterval: b.Duration("save", time.Second, time.Millisecond, maxTime),
		EndedRetention:     b.Duration("keep_ended", 2*time.Minute, time.Second, maxTime),
		HandoverDelay:      b.Duration("handover", 3*time.Second, time.Millisecond, time.Minute),
		MaintenanceTime:    b.Duration("away", 2*time.Second, time.Millisecond, time.Hour),

		EvacuationLimit: b.Duration("evacuation", evacuationLimit, evacuationLimit/5, time.Minute),
	}
}

// readBurst reads one burst. Its kind must be one of kinds.
func readBurst(b *inifile.Section, kinds []Kind) Burst {
	out := Burst{
		Kind: b.Required("kind"), At: b.Duration("at", 0, 0, maxTime), Duration: b.Duration("lasts", time.Second, 0, maxTime),
		Factor: b.Number("factor", 1, 0, maxFactor),
	}
	if !slices.ContainsFunc(kinds, func(k Kind) bool { return k.Name == out.Kind }) {
		b.Reject("kind", "the name of a section [kind NAME]")
	}
	return out
}

// readFault reads one fault to inject.
func readFault(x *inifile.Section) Fault {
	var kinds []string
	for _, k := range world.FaultKinds() {
		kinds = append(kinds, string(k))
	}
	x.Required("kind")
	return Fault{
		At: x.Duration("at", 0, 0, maxTime),
		Fault: world.Fault{
			Kind: world.FaultKind(x.OneOf("kind", kinds...)), Share: x.Number("share", 0.1, 0, 1),
			Duration: x.Duration("lasts", time.Second, 0, maxTime), Factor: x.Number("factor", 1, 0, maxFactor),
		},
	}
}

// readPolicies reads the policies. Without a policy section, the only policy
// has all mechanisms on.
func readPolicies(f *inifile.File) []Policy {
	var out []Policy
	for _, s := range f.Sections("policy") {
		p := Policy{
			Name: s.Name, Switches: policy.New(), Cores: s.Number("cores", 0, minCores, maxCores),
			MaxLease: s.Duration("max_lease", 0, time.Second, maxTime),
		}
		for _, name := range s.List("off") {
			with, ok := p.Switches.With(name, false)
			if !ok {
				s.Reject("off", fmt.Sprintf("names of %v", policy.Names()))
			}
			p.Switches = with
		}
		out = append(out, p)
	}
	if out == nil {
		out = append(out, Policy{Name: "all-on", Switches: policy.New()})
	}
	return out
}
