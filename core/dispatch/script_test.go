package dispatch_test

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/core/upkeep"
)

// TestScripts drives a dispatcher by the scripts in testdata. A line is a command; the
// lines that begin with > after it are the orders that it must lead to, in order.
//
//	worker NAME rack=R [gpus=8] [service=S] [draining=DURATION] [machine=M]   an entry of the list
//	unlist NAME
//	job NAME [priority=N] [count=N] [gpus=N] [gang] [samerack] [saves] [lasts] [attempts=N]
//	    [label=L] [data=RACK] [apart=N] [maymiss=N] [estimate=D] [twosteps] [ahead=D, of the clock that accepted it]
//	    [rounds=N first=D interval=D] [advice] [target=D, of a serving task] [fills]
//	clock DURATION           how far the time of day is ahead of the steady clock from now on
//	cancel NAME
//	pass [DURATION]          time passes, then what is due is done
//	write                    what was flushed gets into the store
//	start NAME VERDICT       the last order to start that task is answered
//	stop NAME VERDICT
//	pace NAME VERDICT        the last order on that task's speed is answered
//	renew WORKER VERDICT [run TASK RUN PERCENT[:LOAD]]... [end N TASK RUN HOW]...
//	advised VERDICT [valid=D] [WORKER=TICKET]...    the oldest open question to the advice service
//	advisers N               so many hosts can ask the advice service
//	wave N WITHIN MOST MACHINE...     the operator asks for maintenance
//	upkeep MACHINE VERDICT   the last order to take that machine down is answered
//	takeover                 another owner starts from the store's records
//	state NAME OUTCOME       checks a job's outcome: open completed failed cancelled
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal("no scripts", err)
	}
	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) {
			data, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			newScript(t).run(string(data))
		})
	}
}

type script struct {
	t       *testing.T
	d       *dispatch.Dispatcher
	table   *jobtable.Table
	now     unit.Instant
	ahead   time.Duration
	epoch   id.Epoch
	workers map[string]fleet.Listing
	starts  map[string]dispatch.Start
	stops   map[string]dispatch.Stop
	renews  map[string]dispatch.Renew
	paces   map[string]dispatch.Pace
	asks    []dispatch.Ask
	upkeeps map[string]dispatch.Upkeep
	waves   []upkeep.Wave
	asked   unit.Instant
	sent    map[string]unit.Instant
	lines   []string
}

var config = dispatch.Config{
	MaxLease: 10 * time.Second, StopTime: 900 * time.Millisecond, SaveEvery: time.Second, KeepEnded: 2 * time.Minute,
	Handover: 3 * time.Second, Away: 2 * time.Second,
}

func newScript(t *testing.T) *script {
	s := &script{
		t: t, table: jobtable.New(), now: unit.At(time.Unix(1000, 0)), workers: map[string]fleet.Listing{},
		starts: map[string]dispatch.Start{}, stops: map[string]dispatch.Stop{}, renews: map[string]dispatch.Renew{}, paces: map[string]dispatch.Pace{},
		upkeeps: map[string]dispatch.Upkeep{}, sent: map[string]unit.Instant{},
	}
	s.takeOver()
	return s
}

func (s *script) takeOver() {
	s.epoch++
	s.d = dispatch.New(config, s.epoch, s.table)
	s.d.SetAdvisers(1)
	for _, j := range s.table.Jobs() {
		e := s.table.Get(j)
		s.d.AddJob(s.now, j, e.Spec, e.Progress, e.Cancelled)
	}
	for _, name := range sorted(s.workers) {
		s.d.List(s.now, s.workers[name])
	}
	for _, w := range s.waves {
		s.d.SetWave(s.now, s.now.Add(s.ahead), w)
	}
}

func sorted[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

func (s *script) run(text string) {
	var want []string
	line, command := 0, ""
	check := func() {
		if command != "" && !slices.Equal(want, s.lines) {
			s.t.Errorf("line %d: %s\ngot  %s\nwant %s", line, command, strings.Join(s.lines, "; "), strings.Join(want, "; "))
		}
		want = nil
	}
	for i, l := range strings.Split(text, "\n") {
		l = strings.TrimSpace(l)
		if rest, ok := strings.CutPrefix(l, ">"); ok {
			want = append(want, strings.TrimSpace(rest))
			continue
		}
		if l == "" || strings.HasPrefix(l, "#") {
			continue
		}
		check()
		line, command, s.lines = i+1, l, nil
		s.do(strings.Fields(l))
		s.collect()
	}
	check()
}

// collect turns orders into lines.
func (s *script) collect() {
	o := s.d.Take()
	for _, x := range o.Starts {
		s.starts[x.Task.String()] = x
		line := fmt.Sprintf("start %s run %d on %s", x.Task, x.Run, x.Worker)
		if x.Checkpoint != "" {
			line += " from " + x.Checkpoint
		}
		if x.Ticket != "" {
			line += " with " + x.Ticket
		}
		s.lines = append(s.lines, line)
	}
	for _, x := range o.Stops {
		s.stops[x.Task.String()] = x
		s.lines = append(s.lines, fmt.Sprintf("stop %s run %d on %s", x.Task, x.Run, x.Worker))
	}
	for _, x := range o.Renews {
		s.renews[string(x.Worker)] = x
		s.sent[string(x.Worker)] = s.now
		s.lines = append(s.lines, fmt.Sprintf("renew %s told %d", x.Worker, x.Told))
	}
	for _, x := range o.Paces {
		s.paces[x.Task.String()] = x
		s.lines = append(s.lines, fmt.Sprintf("pace %s run %d on %s to %d", x.Task, x.Run, x.Worker, x.Percent))
	}
	for _, x := range o.Upkeeps {
		s.upkeeps[string(x.Machine)] = x
		s.lines = append(s.lines, fmt.Sprintf("upkeep %s of wave %d", x.Machine, x.Wave))
	}
	for _, x := range o.Reports {
		s.lines = append(s.lines, fmt.Sprintf("report wave %d finished %t", x.Wave, x.Finished))
	}
	for _, x := range o.Asks {
		s.asks, s.asked = append(s.asks, x), s.now
		line := fmt.Sprintf("ask %s on %v", x.Step, x.Workers)
		if x.Adviser > 0 {
			line += fmt.Sprintf(" by %d", x.Adviser)
		}
		s.lines = append(s.lines, line)
	}
}

func (s *script) do(f []string) {
	o := options(f)
	switch f[0] {
	case "worker":
		l := fleet.Listing{
			ID: id.Worker(f[1]), Machine: id.Machine(o.text("machine", "")), Address: o.text("address", f[1]),
			Service: id.Service(o.text("service", "svc")), Rack: id.Rack(o.text("rack", "r1")),
			Labels:   []string{"a", o.text("rack", "r1")},
			Capacity: job.Resources{CPU: 64000, Memory: 256 * unit.GiB, Accelerators: o.number("gpus", 8)}, Clock: fleet.Clock(time.Hour),
		}
		if r := o.duration("draining"); r > 0 {
			l.Draining, l.Remaining = true, r
		}
		s.workers[f[1]] = l
		s.d.List(s.now, l)
	case "unlist":
		delete(s.workers, f[1])
		s.d.Unlist(s.now, id.Worker(f[1]))
	case "job":
		s.addJob(id.Job(f[1]), o)
	case "cancel":
		s.apply([]jobtable.Record{s.table.CancelRecord(id.Job(f[1]))})
		s.d.CancelJob(s.now, id.Job(f[1]))
	case "pass":
		if len(f) > 1 {
			d, err := time.ParseDuration(f[1])
			if err != nil {
				s.t.Fatal(err)
			}
			s.now = s.now.Add(d)
		}
		s.d.Pass(s.now, s.now.Add(s.ahead))
	case "clock":
		d, err := time.ParseDuration(f[1])
		if err != nil {
			s.t.Fatal(err)
		}
		s.ahead = d
	case "write":
		b, _, err := s.d.Flush()
		if err != nil {
			s.t.Fatal(err)
		}
		s.apply(b.Records)
		s.d.Committed(s.now, b)
	case "start":
		s.d.Started(s.now, dispatch.StartResult{Start: s.starts[f[1]], Verdict: verdict(s.t, f[2])})
	case "stop":
		s.d.Stopped(s.now, dispatch.StopResult{Stop: s.stops[f[1]], Verdict: verdict(s.t, f[2])})
	case "pace":
		s.d.Paced(s.now, dispatch.PaceResult{Pace: s.paces[f[1]], Verdict: verdict(s.t, f[2])})
	case "renew":
		s.renewed(f)
	case "advisers":
		s.d.SetAdvisers(number(s.t, f[1]))
	case "advised":
		s.advised(f, o)
	case "wave":
		s.wave(f)
	case "upkeep":
		s.d.Upkept(s.now, dispatch.UpkeepResult{Upkeep: s.upkeeps[f[1]], Verdict: verdict(s.t, f[2])})
	case "takeover":
		s.takeOver()
	case "state":
		got := [...]string{"open", "completed", "failed", "cancelled"}[s.table.Get(id.Job(f[1])).Progress.Outcome]
		if got != f[2] {
			s.t.Errorf("job %s is %s, want %s", f[1], got, f[2])
		}
	default:
		s.t.Fatalf("unknown command %q", f[0])
	}
}

func (s *script) wave(f []string) {
	within, err := time.ParseDuration(f[2])
	if err != nil {
		s.t.Fatal(err)
	}
	w := upkeep.Wave{Number: id.Wave(number(s.t, f[1])), Within: within, Most: number(s.t, f[3])}
	for _, m := range f[4:] {
		w.Machines = append(w.Machines, id.Machine(m))
	}
	s.waves = append(s.waves, w)
	s.d.SetWave(s.now, s.now.Add(s.ahead), w)
}

func (s *script) apply(recs []jobtable.Record) {
	for _, r := range recs {
		if _, err := s.table.Apply(r); err != nil {
			s.t.Fatal(err)
		}
	}
}

func (s *script) addJob(name id.Job, o opts) {
	step := job.Step{
		Count: o.number("count", 1), Need: job.Resources{CPU: 1000, Memory: unit.GiB, Accelerators: o.number("gpus", 1)},
		Estimate: max(time.Second, o.duration("estimate")), Gang: o.has("gang"), SameRack: o.has("samerack"), Checkpointing: o.has("saves"),
		LongRunning: o.has("lasts"), Label: o.text("label", ""), DataRack: o.text("data", ""), MaxPerWorker: o.number("apart", 0),
		TargetLatency: o.duration("target"), Fills: o.has("fills"), MayMiss: o.number("maymiss", 0),
	}
	spec := job.Spec{
		Customer: "c", Queue: "q", Service: id.Service(o.text("service", "svc")), Priority: o.number("priority", 1),
		Stretch: 3, Target: time.Second, Text: "x", Steps: []job.Step{step}, Accepted: s.now,
	}
	spec.MaxAttempts = o.number("attempts", 2)
	spec.Accepted = spec.Accepted.Add(o.duration("ahead"))
	if r := o.number("rounds", 0); r > 0 {
		spec.Rounds, spec.First, spec.Interval = r, s.now.Add(o.duration("first")), o.duration("interval")
	}
	spec.Advice = job.Advice{Needed: o.has("advice"), Decide: 100 * time.Millisecond, Each: time.Millisecond}
	if o.has("twosteps") {
		second := step
		second.DependsOn = []int{0}
		spec.Steps = append(spec.Steps, second)
	}
	r, err := s.table.SpecRecord(name, spec)
	if err != nil {
		s.t.Fatal(err)
	}
	s.apply([]jobtable.Record{r})
	s.d.AddJob(s.now, name, &spec, job.Progress{}, false)
}

func (s *script) advised(f []string, o opts) {
	ask := s.asks[0]
	s.asks = s.asks[1:]
	res := dispatch.AskResult{Ask: ask, Verdict: verdict(s.t, f[1]), Valid: o.duration("valid"), Sent: s.asked}
	for _, w := range ask.Workers {
		if ticket := o.text(string(w), ""); ticket != "" {
			res.Permits = append(res.Permits, dispatch.Permit{Worker: w, Ticket: ticket})
		}
	}
	s.d.Advised(s.now, res)
}

func (s *script) renewed(f []string) {
	res := dispatch.RenewResult{Renew: s.renews[f[1]], Sent: s.sent[f[1]], Verdict: verdict(s.t, f[2])}
	res.Report.Clock = fleet.Clock(time.Hour) + fleet.Clock(s.now-unit.At(time.Unix(1000, 0)))
	for i := 3; i < len(f); {
		switch f[i] {
		case "run":
			percent, load, _ := strings.Cut(f[i+3], ":")
			x := fleet.Running{Task: task(s.t, f[i+1]), Run: job.Run(number(s.t, f[i+2])), Percent: number(s.t, percent)}
			if load != "" {
				x.Load = int64(number(s.t, load))
			}
			res.Report.Running = append(res.Report.Running, x)
			i += 4
		case "end":
			e := fleet.End{Seq: uint64(number(s.t, f[i+1])), Task: task(s.t, f[i+2]), Run: job.Run(number(s.t, f[i+3]))}
			how, saved, _ := strings.Cut(f[i+4], ":")
			e.How = fleet.How(slices.Index([]string{"done", "failed", "stopped", "lapsed", "broken", "alone"}, how))
			e.Checkpoint = saved
			res.Report.Ended = append(res.Report.Ended, e)
			i += 5
		default:
			s.t.Fatalf("unknown row %q", f[i])
		}
	}
	s.d.Renewed(s.now, res)
}

func verdict(t *testing.T, name string) fleet.Verdict {
	for v := fleet.Unknown; v <= fleet.Unreachable; v++ {
		if v.String() == name {
			return v
		}
	}
	t.Fatalf("unknown verdict %q", name)
	return 0
}

func task(t *testing.T, name string) job.Task {
	p := strings.Split(name, ".")
	if len(p) != 4 {
		t.Fatalf("task %q", name)
	}
	return job.Task{Job: id.Job(p[0]), Round: number(t, p[1]), Step: number(t, p[2]), Index: number(t, p[3])}
}

func number(t *testing.T, s string) int {
	n, err := strconv.Atoi(s)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// opts are the words of a line, as NAME or NAME=VALUE.
type opts map[string]string

func options(f []string) opts {
	o := opts{}
	for _, w := range f[1:] {
		k, v, _ := strings.Cut(w, "=")
		o[k] = v
	}
	return o
}

func (o opts) has(k string) bool { _, ok := o[k]; return ok }

func (o opts) text(k, def string) string {
	if v, ok := o[k]; ok {
		return v
	}
	return def
}

func (o opts) number(k string, def int) int {
	if n, err := strconv.Atoi(o[k]); err == nil {
		return n
	}
	return def
}

func (o opts) duration(k string) time.Duration {
	d, err := time.ParseDuration(o[k])
	if err != nil {
		return 0
	}
	return d
}
