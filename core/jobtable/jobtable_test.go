package jobtable_test

import (
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/scripttest"
	"curlewsill.org/curlewsill/core/unit"
)

// TestScripts runs the scripts of testdata, which apply records to a table and
// check its state. A line is a command. These apply records or change the table:
//
//	spec JOB QUEUE | cancel JOB | owner HOST EPOCH
//	began JOB | ended JOB | cancelled JOB
//	                          the owner's summary of a job, open, completed or
//	                          cancelled
//	placed JOB | dropped JOB  the progress of a job with one task, or its deletion
//	wave N                    the state of a wave
//	withheld WORKER SEQ       the first end of a worker that must not be
//	                          acknowledged; 0 deletes the record
//	outage T                  the time of the latest outage of the store
//	former JOB | former-dropped JOB
//	                          progress in the job log, as earlier versions
//	                          write it, or its deletion
//	forget JOB N              the first N of the records that delete a job
//	jobof JOB CUSTOMER        the spec of a customer's job, in the queue q
//	tombstone JOB CUSTOMER T  a tombstone that was written at T, in seconds; for any
//	                          customer if that is "any"
//	tombstone-expired JOB CUSTOMER T | tombstone-dropped JOB CUSTOMER T
//	                          its end, and the deletion of its key
//	reload                    the newest record of each key of the job log is applied
//	                          to a new table, in the order of the log
//	reload-by-key             the same, in the order of the keys
//	forgetprogress            removes the progress of all jobs
//
// These check the table:
//
//	seen N BOOL               whether the table has the state of a wave
//	withheld-from WORKER SEQ  the first end that isn't acknowledged; 0 for none
//	outage-seen T BOOL        whether that is the time of the latest outage
//	earlier JOB BOOL          whether the job log has progress of any job
//	resumes JOB OUTCOME N     the outcome and the number of tasks from which a
//	                          new owner continues a job
//	show JOB STATE            the state that callers see; none for a job that wasn't
//	                          accepted
//	runs JOB BOOL             whether an owner may start tasks of the job
//	waiting QUEUE N           the number of jobs of which no task was placed
//	owned HOST EPOCH          the newest ownership claim
//	damaged KEY               a damaged record with this key is rejected
//	damaged-many N            so are damaged specs of N jobs
//	readable JOB BOOL         whether the state of a job can be told
//	countable QUEUE BOOL      whether the number of waiting jobs can be told
//	tombstones all N          the number of tombstones
//	covered JOB CUSTOMER BOOL whether a tombstone cancels the customer's job
//	listed JOB CUSTOMER BOOL  the same, by the records that the store returns behind
//	                          jobtable.TombstonesFrom
func TestScripts(t *testing.T) {
	scripttest.Each(t, func(t *testing.T, text string) {
		s := &script{t: t, table: jobtable.New(), specAt: map[id.Job]id.Offset{}}
		for i, line := range strings.Split(text, "\n") {
			if words := strings.Fields(line); len(words) > 0 && words[0] != "#" {
				s.line = i + 1
				s.do(words)
			}
		}
	})
}

type script struct {
	t     *testing.T
	table *jobtable.Table
	line  int
	// log has the records that were applied to the job log.
	log []jobtable.Record
	// specAt holds the offset of the newest spec of each job that jobof has applied.
	specAt map[id.Job]id.Offset
}

func (s *script) apply(r jobtable.Record, err error) {
	s.t.Helper()
	s.log = append(s.log, r)
	if err == nil {
		_, err = s.table.Apply(r)
	}
	if err != nil {
		s.t.Errorf("line %d: %v", s.line, err)
	}
}

// newest returns the newest record of each key of the job log, in the order of the
// log, and their offsets. Deleted keys are left out.
func (s *script) newest() ([]jobtable.Record, []id.Offset) {
	last := map[string]int{}
	for i, r := range s.log {
		last[r.Key] = i
	}
	var out []jobtable.Record
	var offsets []id.Offset
	for i, r := range s.log {
		if last[r.Key] == i && len(r.Value) > 0 {
			out, offsets = append(out, r), append(offsets, id.Offset(i))
		}
	}
	return out, offsets
}

// byKey returns records in the order of their keys.
func byKey(recs []jobtable.Record) []jobtable.Record {
	return slices.SortedFunc(slices.Values(recs), func(a, b jobtable.Record) int { return strings.Compare(a.Key, b.Key) })
}

// reload replaces the table by one that is loaded from records.
func (s *script) reload(recs []jobtable.Record) {
	s.table = jobtable.New()
	for _, r := range recs {
		if _, err := s.table.Apply(r); err != nil {
			s.t.Errorf("line %d: %v", s.line, err)
		}
	}
}

// listed reports whether the store's records of a job's tombstones have one that
// cancels the job of a customer.
func (s *script) listed(j id.Job, customer id.Customer) bool {
	all, offsets := s.newest()
	var recs []jobtable.Record
	var at []id.Offset
	for _, r := range byKey(all) {
		if i := slices.IndexFunc(all, func(x jobtable.Record) bool { return x.Key == r.Key }); r.Key > jobtable.TombstonesFrom(j) {
			recs, at = append(recs, r), append(at, offsets[i])
		}
	}
	_, covered, err := s.table.CoveredBy(recs, at, j, customer, s.specAt[j])
	if err != nil {
		s.t.Errorf("line %d: %v", s.line, err)
	}
	return covered
}

// tombstoneOf returns the tombstone that the words of a command name.
func (s *script) tombstoneOf(customer, seconds string) jobtable.Tombstone {
	x := jobtable.Tombstone{Customer: id.Customer(customer), Written: unit.Instant(time.Duration(s.number(seconds)) * time.Second)}
	if customer == "any" {
		x.Customer = ""
	}
	return x
}

// applyProgress applies a record of the progress log.
func (s *script) applyProgress(r jobtable.Record, err error) {
	s.t.Helper()
	if err == nil {
		err = s.table.ApplyProgress(r)
	}
	if err != nil {
		s.t.Errorf("line %d: %v", s.line, err)
	}
}

func (s *script) number(word string) int {
	n, err := strconv.Atoi(word)
	if err != nil {
		s.t.Fatalf("line %d: %v", s.line, err)
	}
	return n
}

func (s *script) do(f []string) {
	switch f[0] {
	case "forgetprogress":
		s.table.ClearProgress()
		return
	case "reload":
		recs, _ := s.newest()
		s.reload(recs)
		return
	case "reload-by-key":
		recs, _ := s.newest()
		s.reload(byKey(recs))
		return
	}
	j := id.Job(f[1])
	switch f[0] {
	case "spec":
		s.apply(s.table.SpecRecord(j, job.Spec{Queue: id.Queue(f[2]), Steps: []job.Step{{Count: 1}}}))
	case "jobof":
		s.specAt[j] = id.Offset(len(s.log))
		s.apply(s.table.SpecRecord(j, job.Spec{Queue: "q", Customer: id.Customer(f[2]), Steps: []job.Step{{Count: 1}}}))
	case "tombstone":
		s.apply(s.table.TombstoneRecord(j, s.tombstoneOf(f[2], f[3])))
	case "tombstone-expired":
		x := s.tombstoneOf(f[2], f[3])
		x.Expired = true
		s.apply(s.table.TombstoneRecord(j, x))
	case "tombstone-dropped":
		s.apply(jobtable.DropTombstoneRecord(j, s.tombstoneOf(f[2], f[3])), nil)
	case "cancel":
		s.apply(s.table.CancelRecord(j), nil)
	case "began":
		s.apply(s.table.SummaryRecord(j, jobtable.Summary{}))
	case "ended":
		s.apply(s.table.SummaryRecord(j, jobtable.Summary{Outcome: job.Completed}))
	case "cancelled":
		s.apply(s.table.SummaryRecord(j, jobtable.Summary{Outcome: job.Cancelled}))
	case "placed":
		s.applyProgress(s.table.ProgressRecord(j, job.Progress{Tasks: []job.TaskState{{Run: 1, Phase: job.Placed}}}))
	case "dropped":
		s.applyProgress(jobtable.DropProgressRecord(j), nil)
	case "wave":
		s.applyProgress(s.table.WaveRecord(id.Wave(s.number(f[1])), jobtable.Wave{FirstSeen: 5}))
	case "withheld":
		if f[2] == "0" {
			s.applyProgress(jobtable.DropWithheldRecord(id.Worker(f[1])), nil)
			return
		}
		s.applyProgress(s.table.WithheldRecord(id.Worker(f[1]), jobtable.Withheld{Seq: uint64(s.number(f[2]))}))
	case "outage":
		s.apply(s.table.OutageRecord(jobtable.Outage{Ended: unit.Instant(s.number(f[1]))}))
	case "former":
		s.apply(s.table.ProgressRecord(j, job.Progress{Tasks: []job.TaskState{{Run: 1}}}))
	case "former-dropped":
		s.apply(jobtable.DropProgressRecord(j), nil)
	case "owner":
		s.apply(s.table.OwnerRecord(jobtable.Owner{Host: id.Host(f[1]), Epoch: id.Epoch(s.number(f[2]))}))
	case "forget":
		for _, r := range s.table.DeleteRecords(j)[:s.number(f[2])] {
			s.apply(r, nil)
		}
	case "damaged-many":
		for i := range s.number(f[1]) {
			s.do([]string{"damaged", "spec/many" + strconv.Itoa(i)})
		}
	case "damaged":
		if _, err := s.table.Apply(jobtable.Record{Key: f[1], Value: []byte{0xff}}); err == nil {
			s.t.Errorf("line %d: the record was accepted", s.line)
		}
	default:
		s.check(f)
	}
}

func (s *script) check(f []string) {
	got, want := "", f[2]
	switch f[0] {
	case "tombstones":
		got = strconv.Itoa(s.table.Tombstones().Len())
	case "runs":
		e := s.table.Get(id.Job(f[1]))
		got = strconv.FormatBool(e != nil && e.Spec != nil && !e.Cancelled && !e.Ended())
	case "covered":
		_, covered := s.table.Tombstoned(id.Job(f[1]), id.Customer(f[2]))
		got, want = strconv.FormatBool(covered), f[3]
	case "listed":
		want = f[3]
		got = strconv.FormatBool(s.listed(id.Job(f[1]), id.Customer(f[2])))
	case "show":
		got = "none"
		if e := s.table.Get(id.Job(f[1])); e.Accepted() {
			got = string(e.State())
		}
	case "resumes":
		p := s.table.Get(id.Job(f[1])).ResumeProgress()
		got = [...]string{"open", "completed", "failed", "cancelled"}[p.Outcome]
		if n := strconv.Itoa(len(p.Tasks)); n != f[3] {
			got += " with " + n
		}
	case "withheld-from":
		got = strconv.FormatUint(s.table.Withheld()[id.Worker(f[1])].Seq, 10)
	case "outage-seen":
		got = strconv.FormatBool(s.table.Outage().Ended == unit.Instant(s.number(f[1])))
	case "seen":
		_, known := s.table.Wave(id.Wave(s.number(f[1])))
		got = strconv.FormatBool(known)
	case "earlier":
		got = strconv.FormatBool(s.table.HasLegacyProgress())
	case "readable":
		got = strconv.FormatBool(s.table.Readable(id.Job(f[1])))
	case "countable":
		got = strconv.FormatBool(s.table.Countable(id.Queue(f[1])))
	case "waiting":
		got = strconv.Itoa(s.table.QueuedCount(id.Queue(f[1])))
	case "owned":
		o := s.table.Owner()
		got = strconv.FormatUint(uint64(o.Epoch), 10)
		if string(o.Host) != f[1] {
			got += " by " + string(o.Host)
		}
	default:
		s.t.Fatalf("line %d: unknown command %s", s.line, f[0])
	}
	if got != want {
		s.t.Errorf("line %d: %s: got %s", s.line, strings.Join(f, " "), got)
	}
}

// TestFormerEpoch checks which owner came before the newest claim. It guards against an
// owner that uses what another one than its direct predecessor has told it.
func TestFormerEpoch(t *testing.T) {
	table := jobtable.New()
	for _, c := range []struct {
		owner jobtable.Owner
		want  id.Epoch
	}{
		{jobtable.Owner{Host: "a", Epoch: 7}, 0}, // nothing is known of earlier owners
		{jobtable.Owner{Host: "b", Epoch: 9}, 7},
		{jobtable.Owner{Host: "c", Epoch: 8}, 7}, // a claim that is too late
		{jobtable.Owner{Epoch: 10}, 9},           // a release
		{jobtable.Owner{Host: "c", Epoch: 12}, 9},
		{jobtable.Owner{Host: "a", Epoch: 13}, 12},
	} {
		r, err := table.OwnerRecord(c.owner)
		if err == nil {
			_, err = table.Apply(r)
		}
		if err != nil {
			t.Fatal(err)
		}
		if got := table.FormerEpoch(); got != c.want {
			t.Errorf("after %+v: the former owner has epoch %d, want %d", c.owner, got, c.want)
		}
	}
}
