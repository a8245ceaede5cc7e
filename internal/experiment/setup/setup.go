// Package setup reads an experiment: a site file, as `curlewsill plan` takes it, and an experiment
// file. Both are checked strictly; an error names file, section and key.
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

// Service is the one service of a model.
const Service = id.Service("model")

// Setup is one experiment.
type Setup struct {
	// Length is how long jobs come, Settle how long the model goes on after that.
	Length, Settle time.Duration
	// Sample is the time between two looks at use and fragmentation.
	Sample time.Duration
	// Seeds is never empty.
	Seeds []uint64
	// Trace names a file of jobs that come besides those drawn; empty for none. The jobs are of
	// TraceKind, the urgent ones of UrgentKind, but for what the trace says of them.
	Trace                 string
	TraceKind, UrgentKind string
	// World is what each play begins with, but for its seed and decisions.
	World world.Setup
	// Bounds are those of the decisions.
	Bounds dispatch.Config
	Prices Prices
	Kinds  []Kind
	Bursts []Burst
	Faults []Fault
	// Policies is never empty. The others are compared with the first.
	Policies []Policy
}

// Prices are taken off what jobs earn.
type Prices struct {
	// Waste is for one core-second of work that is thrown away, Start for one start.
	Waste, Start float64
}

// Policy is one way to decide.
type Policy struct {
	Name     string
	Switches policy.Policy
	// Cores replaces that of all hosts; 0 to leave it.
	Cores float64
	// MaxLease replaces that of Bounds; 0 to leave it.
	MaxLease time.Duration
}

// Kind is a kind of job that comes at random times.
type Kind struct {
	Name      string
	Customers []id.Customer
	Priority  int
	// PerSecond is the mean rate.
	PerSecond float64
	// Tasks is the number of tasks of a step, Run the run time of one on a worker of speed 1, in
	// seconds. Uneven is by how much tasks of a step differ at most, as a part.
	Tasks, Run Draw
	Uneven     float64
	// EstimateSpread is that of the customers' estimates around the truth, EstimateFactor their
	// mean by the truth.
	EstimateSpread, EstimateFactor float64
	// Accelerators are drawn evenly.
	Accelerators []int
	Cores        job.MilliCPU
	Memory       unit.Bytes
	// Steps is the mean number of steps of a job, each after the one before.
	Steps float64
	// The shares of jobs that are gangs; of gangs that ask for one rack; that save; that have data
	// in one rack; that are cancelled; that can't be done.
	Gang, SameRack, Saves, Near, Cancelled, Hopeless float64
	// Crashes is the share of jobs whose first task ends the life of each worker that starts it, CrashAfter how long after the start.
	Crashes    float64
	CrashAfter time.Duration
	// Fails is the chance that a run fails.
	Fails    float64
	Attempts int
	// A job should be done within Stretch times its longest chain of work, and Target. It earns
	// Worth then, LateWorth within three times that, times its size by the mean.
	Stretch          float64
	Target           time.Duration
	Worth, LateWorth float64
}

// Draw is a log-normal distribution, cut off at Most.
type Draw struct {
	// Mean is that of the distribution before the cut, Spread the standard deviation by it.
	Mean, Spread, Most float64
}

// Burst multiplies the rate of a kind for a while.
type Burst struct {
	Kind      string
	At, Lasts time.Duration
	Factor    float64
}

// Fault is a fault at a time.
type Fault struct {
	world.Fault
	At time.Duration
}

// Bounds of values.
const (
	maxTime    = 7 * 24 * time.Hour
	maxSeeds   = 1000
	maxTasks   = 100_000
	maxRate    = 10_000
	maxFactor  = 1000
	maxCores   = 4096
	maxSize    = 1_000_000
	maxHosts   = 1000
	leastCores = 0.001
)

// Load reads the two files.
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

// Parse is Load for the content of the files.
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
		Length: e.Duration("length", time.Minute, time.Second, maxTime),
		Settle: e.Duration("settle", time.Minute, 0, maxTime),
		Sample: e.Duration("sample", time.Second, time.Millisecond, time.Hour),
		Trace:  e.Text("trace", ""),
	}
	first := e.Int("first_seed", 1, 0, maxSize)
	for i := range e.Int("seeds", 1, 1, maxSeeds) {
		s.Seeds = append(s.Seeds, uint64(first+i))
	}
	s.Bounds = readBounds(f.Section("bounds"))
	p := f.Section("prices")
	s.Prices = Prices{Waste: p.Number("waste", 0, 0, maxFactor), Start: p.Number("start", 0, 0, maxFactor)}
	s.World = readWorld(f, c)
	s.World.SaveEvery = s.Bounds.SaveEvery
	s.World.Times.Stop = f.Section("workers").Duration("stop", s.Bounds.StopTime, 0, time.Minute)
	for _, k := range f.Sections("kind") {
		s.Kinds = append(s.Kinds, readKind(k, c))
	}
	for _, b := range f.Sections("burst") {
		s.Bursts = append(s.Bursts, readBurst(b, s.Kinds))
	}
	for _, x := range f.Sections("fault") {
		s.Faults = append(s.Faults, readFault(x))
	}
	has := func(kind world.FaultKind) bool {
		return slices.ContainsFunc(s.Faults, func(f Fault) bool { return f.Kind == kind })
	}
	if has(world.Evacuate) {
		s.World.Evacuation = s.Bounds.Evacuation
	} else {
		s.Bounds.Evacuation = 0 // there is no operator whose records are read
	}
	if has(world.Reborn) {
		s.World.TellStart, s.World.Times.MaxLease = true, s.Bounds.MaxLease
	}
	s.Policies = readPolicies(f)
	if len(s.Kinds) == 0 {
		e.Fault("", "a section [kind NAME] in the file")
	}
	s.TraceKind, s.UrgentKind = s.kindOf(e, "trace_kind"), s.kindOf(e, "urgent_kind")
	if len(s.World.Workers) == 0 {
		e.Fault("", "a section [rack NAME] in the site")
	}
	if err := f.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// kindOf reads the name of a kind of the trace's jobs: one that is there, the first by default.
func (s *Setup) kindOf(e *inifile.Section, key string) string {
	var names []string
	for i := range s.Kinds {
		names = append(names, s.Kinds[i].Name)
	}
	if names == nil {
		return ""
	}
	return e.OneOf(key, names...)
}

// Kind returns a kind by its name, or nil.
func (s *Setup) Kind(name string) *Kind {
	for i := range s.Kinds {
		if s.Kinds[i].Name == name {
			return &s.Kinds[i]
		}
	}
	return nil
}

// readBounds reads what the decisions keep to.
func readBounds(b *inifile.Section) dispatch.Config {
	return dispatch.Config{
		MaxLease:  b.Duration("max_lease", 10*time.Second, time.Second, maxTime),
		StopTime:  b.Duration("stop", time.Second, time.Millisecond, time.Minute),
		SaveEvery: b.Duration("save", time.Second, time.Millisecond, maxTime),
		KeepEnded: b.Duration("keep_ended", 2*time.Minute, time.Second, maxTime),
		Handover:  b.Duration("handover", 3*time.Second, time.Millisecond, time.Minute),
		Away:      b.Duration("away", 2*time.Second, time.Millisecond, time.Hour),

		Evacuation: b.Duration("evacuation", evacuation, evacuation/5, time.Minute),
	}
}

// readBurst reads one burst of a kind that is there.
func readBurst(b *inifile.Section, kinds []Kind) Burst {
	out := Burst{
		Kind: b.Need("kind"), At: b.Duration("at", 0, 0, maxTime), Lasts: b.Duration("lasts", time.Second, 0, maxTime),
		Factor: b.Number("factor", 1, 0, maxFactor),
	}
	if !slices.ContainsFunc(kinds, func(k Kind) bool { return k.Name == out.Kind }) {
		b.Fault("kind", "the name of a section [kind NAME]")
	}
	return out
}

// readFault reads one fault.
func readFault(x *inifile.Section) Fault {
	var kinds []string
	for _, k := range world.FaultKinds() {
		kinds = append(kinds, string(k))
	}
	x.Need("kind")
	return Fault{
		At: x.Duration("at", 0, 0, maxTime),
		Fault: world.Fault{
			Kind: world.FaultKind(x.OneOf("kind", kinds...)), Share: x.Number("share", 0.1, 0, 1),
			Lasts: x.Duration("lasts", time.Second, 0, maxTime), Factor: x.Number("factor", 1, 0, maxFactor),
		},
	}
}

// readPolicies reads the policies. Without a section there is one with all mechanisms on.
func readPolicies(f *inifile.File) []Policy {
	var out []Policy
	for _, s := range f.Sections("policy") {
		p := Policy{
			Name: s.Name, Switches: policy.New(), Cores: s.Number("cores", 0, leastCores, maxCores),
			MaxLease: s.Duration("max_lease", 0, time.Second, maxTime),
		}
		for _, name := range s.List("off") {
			with, ok := p.Switches.With(name, false)
			if !ok {
				s.Fault("off", fmt.Sprintf("names of %v", policy.Names()))
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
