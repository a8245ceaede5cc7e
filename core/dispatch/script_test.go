package dispatch_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/handover"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/policy"
	"curlewsill.org/curlewsill/core/scripttest"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/core/upkeep"
)

// TestScripts drives a dispatcher by the scripts in testdata. A line is a
// command. The lines after it that begin with > are the orders that the command
// must lead to, in order.
//
//	worker NAME[@START] rack=R [domain=D] [gpus=8] [service=S]
//	    [draining=DURATION] [machine=M]
//	                         adds an entry to the list of workers
//	unlist NAME              removes an entry from the list of workers
//	outage DURATION          ends an outage of the store that began that long ago
//	read [NAME]...           lets the owner read the whole list of workers, in
//	                         which the named ones have unreadable entries
//	machines AGE [NAME]...   lets the owner read the list of machines, which has
//	                         the named workers, by a call of that age
//	job NAME [priority=N] [count=N] [gpus=N] [gang] [samerack] [saves] [lasts]
//	    [attempts=N] [label=L] [data=RACK] [apart=N] [maymiss=N] [estimate=D]
//	    [twosteps] [ahead=D, of the clock that accepted it]
//	    [rounds=N first=D interval=D] [advice] [target=D, of a serving task]
//	    [fills] [customer=C]
//	                         submits a job
//	clock DURATION           sets how far the time of day is ahead of the steady
//	                         clock
//	cancel NAME
//	pass [DURATION]          advances the time, then does what is due
//	write                    writes the changed records to the store: flush and
//	                         commit at once
//	flush                    begins that write
//	commit                   completes it
//	start NAME VERDICT       answers the last order to start that task
//	stop NAME VERDICT        answers the last order to stop it
//	pace NAME VERDICT        answers the last order that sets its speed
//	renew WORKER VERDICT [by WORKER, the incarnation that answered] [in-part]
//	    [run TASK RUN PERCENT[:LOAD[:CHECKPOINT]]]... [end N TASK RUN HOW]...
//	                         answers the last renewal
//	mostwaits N              starts another owner, whose renewals may wait at N
//	                         workers at a time
//	waits WORKER D           checks how long the last renewal may wait there
//	advised VERDICT [valid=D] [WORKER=TICKET]...
//	                         answers the oldest open question to the advice
//	                         service
//	advisers N               sets how many hosts can ask the advice service
//	wave N WITHIN MOST MACHINE...
//	                         requests maintenance as the operator
//	evacuate [DOMAIN]...     evacuates these failure domains as the operator, and
//	                         opens all others
//	bound D                  starts another owner, in a deployment that lets
//	                         tasks start at most D after an evacuation
//	informed D               sets how old the owner's knowledge of evacuations is
//	cancelbound D            sets CancelLimit, and takes over
//	jobsread D               the owner knows all cancellations as of D ago
//	upkeep MACHINE VERDICT   answers the last order to take that machine down
//	lease D                  starts another owner, in a deployment with leases of
//	                         at most D
//	replaced NAME [as job]   overwrites the job's spec as another writer does;
//	                         owners that have read it before keep the first one
//	guarantee C N            sets the number of accelerators guaranteed to C
//	noted stop TASK WHY...   checks that one stop of the task was logged since the
//	                         last such check, and its reason
//	tell ends|all            keeps what the owner tells the next one, while it is the
//	                         owner or when it has ended
//	inherit direct|indirect N
//	                         tells the owner what was kept, of the owner before it
//	                         or an earlier one; N ends are new
//	takeover                 starts another owner from the store's records
//	restart                  starts another owner, of a host that has seen no
//	                         outage
//	state NAME OUTCOME       checks a job's outcome: open completed failed
//	                         cancelled
//	crashes NAME N...        checks the counts of all crashes in the store's
//	                         record of a job, in the order of its tasks
func TestScripts(t *testing.T) {
	scripttest.Each(t, func(t *testing.T, text string) {
		newScript(t).run(text)
	})
}

// script is a dispatcher under test, with a model of the store and of the
// platform's list of workers.
type script struct {
	t *testing.T
	d *dispatch.Dispatcher
	// table is the content of the store.
	table *jobtable.Table
	epoch id.Epoch
	// batch is the last flushed batch.
	batch dispatch.Batch
	// policy is that of the next owner.
	policy policy.Policy
	now    unit.Instant
	// ahead is how far the time of day is ahead of now.
	ahead time.Duration
	// workers is the platform's list, waves the maintenance that the operator
	// has requested.
	workers map[string]fleet.Listing
	waves   []upkeep.Wave
	// evacuated holds the failure domains that the operator has evacuated.
	// informed is the time as of which the owner knows them; 0 if it doesn't
	// know any.
	evacuated []id.Domain
	informed  unit.Instant
	// outageBegan and outageEnded delimit the latest outage of the store; 0 if
	// there was none.
	outageBegan, outageEnded unit.Instant
	// guarantees holds the accelerators that customers can have at any time.
	guarantees map[id.Customer]int

	// The newest orders, by task, worker or machine.
	starts  map[string]dispatch.Start
	stops   map[string]dispatch.Stop
	paces   map[string]dispatch.Pace
	renews  map[string]dispatch.Renew
	upkeeps map[string]dispatch.Upkeep
	// sent has the time at which the last renewal of each worker was sent, and
	// waits the time for which that renewal may wait at the worker.
	sent  map[string]unit.Instant
	waits map[string]time.Duration
	// told is what an earlier owner has told, at toldAt.
	told   handover.Message
	toldAt unit.Instant
	// asks are the open questions to the advice service, asked is when the
	// newest one was sent.
	asks  []dispatch.Ask
	asked unit.Instant

	// lease replaces config.MaxLease unless it is 0. evacuation replaces
	// config.EvacuationLimit, which is how long after an evacuation a task may
	// still start.
	lease, evacuation time.Duration
	// cancelLimit is config.CancelLimit.
	cancelLimit time.Duration
	// mostWaits is how many renewals may wait at workers at a time; 0 for any
	// number.
	mostWaits int
	// lines are the orders since the last command.
	lines []string
	// ends counts the ends that each worker has reported by the command reports.
	ends map[string]int
	// rotation changes with each command reports.
	rotation int
	// anyOrders is set if the orders of the last command aren't compared.
	anyOrders bool
}

var config = dispatch.Config{
	MaxLease: 10 * time.Second, StopTime: 900 * time.Millisecond, CheckpointInterval: time.Second, EndedRetention: 2 * time.Minute,
	HandoverDelay: 3 * time.Second, MaintenanceTime: 2 * time.Second,
}

func newScript(t *testing.T) *script {
	s := &script{
		t: t, table: jobtable.New(), now: unit.At(time.Unix(1000, 0)), policy: policy.New(), workers: map[string]fleet.Listing{},
		starts: map[string]dispatch.Start{}, stops: map[string]dispatch.Stop{}, renews: map[string]dispatch.Renew{}, paces: map[string]dispatch.Pace{},
		upkeeps: map[string]dispatch.Upkeep{}, sent: map[string]unit.Instant{}, waits: map[string]time.Duration{}, ends: map[string]int{},
		guarantees: map[id.Customer]int{},
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
	c.EvacuationLimit, c.CancelLimit, c.MaxWaitingRenewals = s.evacuation, s.cancelLimit, s.mostWaits
	s.d = dispatch.New(c, s.policy, s.epoch, s.table)
	s.d.SetAdvisers(1)
	s.setGuarantees()
	for _, j := range s.table.Jobs() {
		e := s.table.Get(j)
		if e.Spec != nil {
			s.d.AddJob(s.now, j, e)
		}
	}
	if s.outageEnded != 0 {
		s.d.NoteOutage(s.outageBegan, s.outageEnded)
	}
	for _, name := range sorted(s.workers) {
		s.d.LoadListing(s.now, s.workers[name])
	}
	s.d.SetEvacuated(s.evacuated)
	s.d.ConfirmEvacuations(s.informed)
	for _, w := range s.waves {
		s.d.SetWave(s.now, s.now.Add(s.ahead), w)
	}
}

// sorted returns the keys of a map in order.
func sorted[K ~string, V any](m map[K]V) []K {
	out := make([]K, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// run executes a script. The orders after each command must be those that the
// script lists after it.
func (s *script) run(text string) {
	var want []string
	line, command := 0, ""
	check := func() {
		if command != "" && !s.anyOrders && !slices.Equal(want, s.lines) {
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
		line, command, s.lines, s.anyOrders = i+1, l, nil, false
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
