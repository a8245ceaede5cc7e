package dispatch_test

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/core/upkeep"
)

// do executes one command.
func (s *script) do(f []string) {
	o := options(f)
	switch f[0] {
	case "worker":
		s.list(f[1], o)
	case "unlist":
		delete(s.workers, f[1])
		s.d.Unlist(s.now, id.Worker(f[1]))
	case "job":
		s.addJob(id.Job(f[1]), o)
	case "replaced":
		// A host that starts reading now sees only the last spec.
		s.apply([]jobtable.Record{s.table.DeleteRecords(id.Job(f[1]))[0]})
		s.writeSpec(id.Job(f[1]), o)
	case "cancel":
		s.apply([]jobtable.Record{s.table.CancelRecord(id.Job(f[1]))})
		s.d.CancelJob(s.now, id.Job(f[1]))
	case "pass":
		if len(f) > 1 {
			s.now = s.now.Add(duration(s.t, f[1]))
		}
		s.d.InheritOutage(s.now, s.now.Add(s.ahead), s.table.Outage())
		s.d.Pass(s.now, s.now.Add(s.ahead))
	case "clock":
		s.ahead = duration(s.t, f[1])
	case "start":
		s.d.Started(s.now, dispatch.StartResult{Start: s.starts[f[1]], Verdict: verdict(s.t, f[2])})
	case "stop":
		s.d.Stopped(s.now, dispatch.StopResult{Stop: s.stops[f[1]], Verdict: verdict(s.t, f[2])})
	case "pace":
		s.d.Paced(s.now, dispatch.PaceResult{Pace: s.paces[f[1]], Verdict: verdict(s.t, f[2])})
	case "renew":
		s.renewed(f)
	case "waits":
		if got := s.waits[f[1]]; got != duration(s.t, f[2]) {
			s.t.Errorf("the renewal of %s waits %s", f[1], got)
		}
	case "advisers":
		s.d.SetAdvisers(number(s.t, f[1]))
	case "advised":
		s.advised(f, o)
	case "wave":
		s.wave(f)
	case "upkeep":
		s.d.UpkeepAnswered(s.now, dispatch.UpkeepResult{Upkeep: s.upkeeps[f[1]], Verdict: verdict(s.t, f[2])})
	case "mostwaits":
		s.mostWaits = number(s.t, f[1])
		s.takeOver()
	case "lease":
		s.lease = duration(s.t, f[1])
		s.takeOver()
	case "takeover":
		s.takeOver()
	case "guarantee":
		s.guarantees[id.Customer(f[1])] = number(s.t, f[2])
		s.setGuarantees()
	case "noted":
		s.checkStopNoted(f[2], strings.Join(f[3:], " "))
	case "state":
		s.checkState(id.Job(f[1]), f[2])
	case "crashes":
		s.checkCrashes(id.Job(f[1]), f[2:])
	default:
		if !s.doStore(f) && !s.doSpeed(f) && !s.doShown(f) && !s.doKnowledge(f) {
			s.t.Fatalf("unknown command %q", f[0])
		}
	}
}

// doKnowledge executes a command about evacuations, or about how old the owner's
// knowledge is. It returns false if there is no such command.
func (s *script) doKnowledge(f []string) bool {
	switch f[0] {
	case "evacuate":
		s.evacuate(f[1:])
	case "bound":
		s.evacuation = duration(s.t, f[1])
		s.takeOver()
	case "informed":
		s.informed = s.now.Add(-duration(s.t, f[1]))
		s.d.ConfirmEvacuations(s.informed)
	case "cancelbound":
		s.cancelLimit = duration(s.t, f[1])
		s.takeOver()
	case "jobsread":
		s.d.ConfirmJobs(s.now.Add(-duration(s.t, f[1])))
	default:
		return false
	}
	return true
}

// doStore executes a command of the store. It returns false if there is no such
// command.
func (s *script) doStore(f []string) bool {
	switch f[0] {
	case "write":
		s.write()
	case "flush":
		s.flush()
	case "commit":
		s.commit()
	case "outage":
		s.outageBegan, s.outageEnded = s.now.Add(-duration(s.t, f[1])), s.now
		s.d.NoteOutage(s.outageBegan, s.outageEnded)
		r, err := s.table.OutageRecord(jobtable.Outage{Ended: s.now.Add(s.ahead)})
		if err != nil {
			s.t.Fatal(err)
		}
		s.apply([]jobtable.Record{r})
	case "read":
		s.readList(f[1:])
	case "machines":
		s.readMachines(f[1], f[2:])
	case "tell":
		s.told, s.toldAt = s.d.UnstoredEnds(), s.now
		if f[1] == "all" {
			s.told = s.d.Handover(s.now)
		}
	case "inherit":
		if got, want := s.d.InheritHandover(s.now, s.toldAt, s.told, f[1] == "direct"), number(s.t, f[2]); got != want {
			s.t.Errorf("%d ends were new, want %d", got, want)
		}
	case "restart":
		s.outageBegan, s.outageEnded = 0, 0
		s.takeOver()
	default:
		return false
	}
	return true
}

// readList lets the owner read the whole list of workers, in which the named
// workers have unreadable entries.
func (s *script) readList(unreadable []string) {
	read := dispatch.ListRead{AsOf: s.now}
	for _, name := range unreadable {
		read.Unreadable = append(read.Unreadable, id.WorkerName(name))
	}
	s.d.ConfirmList(s.now, read)
}

// readMachines lets the owner read the list of machines, which has the named workers,
// by a call that was sent the given time ago.
func (s *script) readMachines(age string, names []string) {
	read := dispatch.MachinesRead{AsOf: s.now.Add(-duration(s.t, age))}
	for _, name := range names {
		read.Incarnations = append(read.Incarnations, dispatch.Incarnation{Machine: id.Machine("m-" + name), Worker: id.WorkerName(name)})
	}
	s.d.NoteMachines(s.now, read)
}

// list adds a worker to the platform's list.
func (s *script) list(name string, o opts) {
	l := fleet.Listing{
		ID: id.Worker(name), Machine: id.Machine(o.text("machine", "")), Address: o.text("address", name),
		Service: id.Service(o.text("service", "svc")), Domain: id.Domain(o.text("domain", "d1")), Rack: id.Rack(o.text("rack", "r1")),
		Labels:   []string{"a", o.text("rack", "r1")},
		Capacity: job.Resources{CPU: 64000, Memory: 256 * unit.GiB, Accelerators: o.number("gpus", 8)}, Clock: fleet.ClockReading(time.Hour),
	}
	if r := o.duration("draining"); r > 0 {
		l.Draining, l.Remaining = true, r
	}
	for _, other := range sorted(s.workers) {
		if other != name && fleet.NameOf(id.Worker(other)) == fleet.NameOf(l.ID) {
			delete(s.workers, other) // the list has one entry for each name
			s.d.Unlist(s.now, id.Worker(other))
		}
	}
	s.workers[name] = l
	s.d.List(s.now, l)
}

// write writes what has changed to the store at once.
func (s *script) write() {
	s.flush()
	s.commit()
}

// flush begins the write of what has changed.
func (s *script) flush() {
	b, _, err := s.d.Flush()
	if err != nil {
		s.t.Fatal(err)
	}
	s.batch = b
}

// commit applies the flushed batch to the store.
func (s *script) commit() {
	b := s.batch
	s.apply(b.Jobs)
	for _, r := range b.Progress {
		if err := s.table.ApplyProgress(r); err != nil {
			s.t.Fatal(err)
		}
	}
	s.d.Committed(s.now, b)
}

// checkState checks a job's outcome in the store's records.
func (s *script) checkState(name id.Job, want string) {
	got := [...]string{"open", "completed", "failed", "cancelled"}[s.table.Get(name).ResumeProgress().Outcome]
	if got != want {
		s.t.Errorf("job %s is %s, want %s", name, got, want)
	}
}

// setGuarantees tells the owner of all guarantees.
func (s *script) setGuarantees() {
	for _, c := range sorted(s.guarantees) {
		s.d.SetGuarantee(c, s.guarantees[c])
	}
}

// checkStopNoted checks that the owner has logged one stop of the task since
// the last such check, with the reason.
func (s *script) checkStopNoted(name, why string) {
	var got []string
	for _, n := range s.d.TakeNotes() {
		if n.Event == dispatch.EventTaskStop && n.Task == task(s.t, name) {
			got = append(got, n.Why)
		}
	}
	if !slices.Equal(got, []string{why}) {
		s.t.Errorf("the stops of %s have the reasons %q, want %q", name, got, why)
	}
}

// checkCrashes checks the crash counts in the store's record of a job.
func (s *script) checkCrashes(name id.Job, want []string) {
	var got []string
	for _, c := range s.table.Get(name).Progress.Crashes {
		got = append(got, strconv.Itoa(c.Total))
	}
	if !slices.Equal(got, want) {
		s.t.Errorf("job %s has the counts %v, want %v", name, got, want)
	}
}

// wave requests a wave of maintenance.
func (s *script) wave(f []string) {
	w := upkeep.Wave{Number: id.Wave(number(s.t, f[1])), MaxDuration: duration(s.t, f[2]), MaxDown: number(s.t, f[3])}
	for _, m := range f[4:] {
		w.Machines = append(w.Machines, id.Machine(m))
	}
	s.waves = append(s.waves, w)
	s.d.SetWave(s.now, s.now.Add(s.ahead), w)
}

// evacuate evacuates the named failure domains and opens all others.
func (s *script) evacuate(names []string) {
	s.evacuated = nil
	for _, n := range names {
		s.evacuated = append(s.evacuated, id.Domain(n))
	}
	s.d.SetEvacuated(s.evacuated)
}

// addJob writes a job to the store and adds it to the dispatcher.
func (s *script) addJob(name id.Job, o opts) {
	spec := s.writeSpec(name, o)
	s.d.AddJob(s.now, name, &jobtable.Entry{Spec: &spec})
}

// writeSpec writes a job's spec to the store.
func (s *script) writeSpec(name id.Job, o opts) job.Spec {
	step := job.Step{
		Count: o.number("count", 1), Need: job.Resources{CPU: 1000, Memory: unit.GiB, Accelerators: o.number("gpus", 1)},
		Estimate: max(time.Second, o.duration("estimate")), Gang: o.has("gang"), SameRack: o.has("samerack"), Checkpointing: o.has("saves"),
		LongRunning: o.has("lasts"), Label: o.text("label", ""), DataRack: o.text("data", ""), MaxPerWorker: o.number("apart", 0),
		TargetLatency: o.duration("target"), UsesIdleCPU: o.has("fills"), MaxUnavailable: o.number("maymiss", 0),
	}
	spec := job.Spec{
		Customer: id.Customer(o.text("customer", "c")), Queue: "q", Service: id.Service(o.text("service", "svc")), Priority: o.number("priority", 1),
		DeadlineFactor: 3, DeadlineExtra: time.Second, Payload: "x", Steps: []job.Step{step}, Accepted: s.now,
	}
	spec.MaxAttempts = o.number("attempts", 2)
	spec.Accepted = spec.Accepted.Add(o.duration("ahead"))
	if r := o.number("rounds", 0); r > 0 {
		spec.Rounds, spec.FirstDue, spec.Interval = r, s.now.Add(o.duration("first")), o.duration("interval")
	}
	spec.Advice = job.Advice{Needed: o.has("advice"), BaseTime: 100 * time.Millisecond, TimePerWorker: time.Millisecond}
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
	return spec
}

// advised answers the oldest open question to the advice service.
func (s *script) advised(f []string, o opts) {
	ask := s.asks[0]
	s.asks = s.asks[1:]
	res := dispatch.AskResult{Ask: ask, Verdict: verdict(s.t, f[1]), ValidFor: o.duration("valid"), Sent: s.asked}
	for _, w := range ask.Workers {
		if ticket := o.text(string(w), ""); ticket != "" {
			res.Permits = append(res.Permits, dispatch.Permit{Worker: w, Ticket: ticket})
		}
	}
	s.d.Advised(s.now, res)
}

// renewed answers the last renewal of a worker with the report that the line
// specifies.
func (s *script) renewed(f []string) {
	res := dispatch.RenewResult{Renew: s.renews[f[1]], Sent: s.sent[f[1]], Verdict: verdict(s.t, f[2])}
	res.Report.Clock = fleet.ClockReading(time.Hour) + fleet.ClockReading(s.now-unit.At(time.Unix(1000, 0)))
	for i := 3; i < len(f); {
		switch f[i] {
		case "by":
			res.Report.Incarnation = id.Worker(f[i+1])
			i += 2
		case "run":
			percent, rest, _ := strings.Cut(f[i+3], ":")
			load, saved, _ := strings.Cut(rest, ":")
			x := fleet.Running{Task: task(s.t, f[i+1]), Run: job.RunNumber(number(s.t, f[i+2])), Percent: number(s.t, percent), Checkpoint: saved}
			if load != "" {
				x.Load = int64(number(s.t, load))
			}
			res.Report.Running = append(res.Report.Running, x)
			i += 4
		case "in-part":
			res.Report.MoreEnds = true
			i++
		case "end":
			e := fleet.End{Seq: uint64(number(s.t, f[i+1])), Task: task(s.t, f[i+2]), Run: job.RunNumber(number(s.t, f[i+3]))}
			how, saved, _ := strings.Cut(f[i+4], ":")
			e.Reason = fleet.EndReason(slices.Index([]string{"done", "failed", "stopped", "lapsed", "broken", "alone"}, how))
			e.Checkpoint = saved
			res.Report.Ended = append(res.Report.Ended, e)
			i += 5
		default:
			s.t.Fatalf("unknown row %q", f[i])
		}
	}
	s.d.Renewed(s.now, res)
}
