package dispatch_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/policy"
	"curlewsill.org/curlewsill/core/scripttest"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/core/upkeep"
)

// TestScripts drives a dispatcher by the scripts in testdata. A line is a command; the
// lines that begin with > after it are the orders that it must lead to, in order.
//
//	worker NAME[@START] rack=R [domain=D] [gpus=8] [service=S] [draining=DURATION] [machine=M]   an entry of the list
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
//	renew WORKER VERDICT [by WORKER, the life that answered] [in-part] [run TASK RUN PERCENT[:LOAD]]... [end N TASK RUN HOW]...
//	mostwaits N               from now on so many renewals may wait for news at a time, under another owner
//	waits WORKER D           the last renewal there may wait so long
//	advised VERDICT [valid=D] [WORKER=TICKET]...    the oldest open question to the advice service
//	advisers N               so many hosts can ask the advice service
//	wave N WITHIN MOST MACHINE...     the operator asks for maintenance
//	evacuate [DOMAIN]...     the operator evacuates these failure domains, and opens all others
//	bound D                  another owner starts, on a deployment that lets tasks start so long after an evacuation at most
//	informed D               what the operator has evacuated is known as of so long ago
//	upkeep MACHINE VERDICT   the last order to take that machine down is answered
//	lease D                  another owner starts, on a deployment with leases of at most D
//	replaced NAME [as job]   somebody else writes this over the job's spec; owners that have read it before go on with the first one
//	takeover                 another owner starts from the store's records
//	state NAME OUTCOME       checks a job's outcome: open completed failed cancelled
//	crashes NAME N...        checks the counts of crashes in the store's record of a job, those of all kinds, in the order of their tasks
func TestScripts(t *testing.T) {
	scripttest.Each(t, func(t *testing.T, text string) {
		newScript(t).run(text)
	})
}

// script is a dispatcher under test, with the store and the platform's list beside it.
type script struct {
	t *testing.T
	d *dispatch.Dispatcher
	// table is what is in the store.
	table *jobtable.Table
	epoch id.Epoch
	// policy is that of the next owner.
	policy policy.Policy
	now    unit.Instant
	// ahead is how far the time of day is ahead of now.
	ahead time.Duration
	// workers is the platform's list, waves what the operator asked for.
	workers map[string]fleet.Listing
	waves   []upkeep.Wave
	// evacuated is what the operator has evacuated, informed as of when the owner knows it; 0 if nobody tells.
	evacuated []id.Domain
	informed  unit.Instant

	// The last orders, by task, worker or machine.
	starts  map[string]dispatch.Start
	stops   map[string]dispatch.Stop
	paces   map[string]dispatch.Pace
	renews  map[string]dispatch.Renew
	upkeeps map[string]dispatch.Upkeep
	// sent is when the last renewal of a worker left, waits how long it may wait there.
	sent  map[string]unit.Instant
	waits map[string]time.Duration
	// asks are the open questions to the advice service, asked when the newest one left.
	asks  []dispatch.Ask
	asked unit.Instant

	// lease is the longest lease if it isn't that of config, evacuation how long after an evacuation a task may still start.
	lease, evacuation time.Duration
	// mostWaits is how many renewals may wait for news at a time; 0 for any number.
	mostWaits int
	// lines are the orders since the last command.
	lines []string
}

var config = dispatch.Config{
	MaxLease: 10 * time.Second, StopTime: 900 * time.Millisecond, SaveEvery: time.Second, KeepEnded: 2 * time.Minute,
	Handover: 3 * time.Second, Away: 2 * time.Second,
}

func newScript(t *testing.T) *script {
	s := &script{
		t: t, table: jobtable.New(), now: unit.At(time.Unix(1000, 0)), policy: policy.New(), workers: map[string]fleet.Listing{},
		starts: map[string]dispatch.Start{}, stops: map[string]dispatch.Stop{}, renews: map[string]dispatch.Renew{}, paces: map[string]dispatch.Pace{},
		upkeeps: map[string]dispatch.Upkeep{}, sent: map[string]unit.Instant{}, waits: map[string]time.Duration{},
	}
	s.takeOver()
	return s
}

// takeOver starts another owner from the store's records.
func (s *script) takeOver() {
	s.epoch++
	c := config
	if s.lease > 0 {
		c.MaxLease = s.lease
	}
	c.Evacuation, c.MostWaits = s.evacuation, s.mostWaits
	s.d = dispatch.New(c, s.policy, s.epoch, s.table)
	s.d.SetAdvisers(1)
	for _, j := range s.table.Jobs() {
		e := s.table.Get(j)
		if e.Spec != nil {
			s.d.AddJob(s.now, j, e)
		}
	}
	for _, name := range sorted(s.workers) {
		s.d.List(s.now, s.workers[name])
	}
	s.d.Evacuate(s.evacuated)
	s.d.Inform(s.informed)
	for _, w := range s.waves {
		s.d.SetWave(s.now, s.now.Add(s.ahead), w)
	}
}

// sorted returns the keys of a map in order.
func sorted[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// run plays a script: after each command the orders must be those that follow it.
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

// apply puts records into the store.
func (s *script) apply(recs []jobtable.Record) {
	for _, r := range recs {
		if _, err := s.table.Apply(r); err != nil {
			s.t.Fatal(err)
		}
	}
}
