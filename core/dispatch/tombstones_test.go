package dispatch_test

import (
	"fmt"
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
	"curlewsill.org/curlewsill/core/tombstone"
	"curlewsill.org/curlewsill/core/unit"
)

// TestTombstonesExpire plays the scripts of testdata/tombstones. It guards against
// tombstones that stay for good, and against ones that are dropped while the job may
// still come, or while the job that they have cancelled is known. A line is a command:
//
//	owner                    a new owner takes over
//	clock D                  how far the owner's time of day is ahead of the others'
//	put JOB CUSTOMER [N]     a host writes a tombstone now, or N of jobs that begin so
//	spec JOB CUSTOMER        the spec of a job reaches the log
//	run D                    the owner works for some time; all it writes is stored
//	left N | most N          the number of tombstones, or the largest that is allowed
//	covered JOB BOOL         whether one cancels the job of the customer c
//	show JOB STATE           the state that callers see; none for a job that was not accepted
func TestTombstonesExpire(t *testing.T) {
	scripttest.EachIn(t, "tombstones", func(t *testing.T, text string) {
		s := &tombstoneScript{t: t, now: unit.Instant(time.Hour), table: jobtable.New()}
		for i, line := range strings.Split(text, "\n") {
			if f := strings.Fields(line); len(f) > 0 && f[0] != "#" {
				s.line = i + 1
				s.do(f)
			}
		}
	})
}

type tombstoneScript struct {
	t     *testing.T
	now   unit.Instant
	ahead time.Duration
	table *jobtable.Table
	owner *dispatch.Dispatcher
	line  int
}

func (s *tombstoneScript) apply(r jobtable.Record, err error) {
	var j id.Job
	if err == nil {
		j, err = s.table.Apply(r)
	}
	if err != nil {
		s.t.Fatalf("line %d: %v", s.line, err)
	}
	s.tell(j)
}

// tell passes a job to the owner.
func (s *tombstoneScript) tell(j id.Job) {
	if e := s.table.Get(j); s.owner != nil && e != nil && e.Spec != nil {
		s.owner.AddJob(s.now, j, e)
		if e.Cancelled {
			s.owner.CancelJob(s.now, j)
		}
	}
}

// run lets the owner work, with a pass every half second.
func (s *tombstoneScript) run(d time.Duration) {
	for end := s.now.Add(d); s.now < end; {
		s.now = s.now.Add(500 * time.Millisecond)
		if err := s.owner.ExpireTombstones(s.now, s.now.Add(s.ahead), s.table); err != nil {
			s.t.Fatalf("line %d: %v", s.line, err)
		}
		s.owner.Pass(s.now, s.now.Add(s.ahead))
		for {
			b, some, err := s.owner.Flush()
			if err != nil {
				s.t.Fatalf("line %d: %v", s.line, err)
			}
			if !some {
				break
			}
			for _, r := range b.Jobs {
				s.apply(r, nil)
			}
			for _, r := range b.Progress {
				if err := s.table.ApplyProgress(r); err != nil {
					s.t.Fatalf("line %d: %v", s.line, err)
				}
			}
			s.owner.Committed(s.now, b)
		}
	}
}

func (s *tombstoneScript) duration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		s.t.Fatalf("line %d: %v", s.line, err)
	}
	return d
}

func (s *tombstoneScript) do(f []string) {
	left := s.table.Tombstones().Len()
	switch f[0] {
	case "owner":
		s.owner = dispatch.New(dispatch.Config{EndedRetention: 2 * time.Minute, MaxLease: 10 * time.Second}, policy.New(), 1, s.table)
		for _, j := range s.table.Jobs() {
			s.tell(j)
		}
	case "clock":
		s.ahead = s.duration(f[1])
	case "put":
		names := []id.Job{id.Job(f[1])}
		if len(f) > 3 {
			names = nil
			n, _ := strconv.Atoi(f[3])
			for i := range n {
				names = append(names, id.Job(fmt.Sprintf("%s%d-%d", f[1], s.line, i)))
			}
		}
		for _, j := range names {
			s.apply(s.table.TombstoneRecord(j, jobtable.Tombstone{Customer: id.Customer(f[2]), Written: s.now}))
		}
	case "spec":
		s.apply(s.table.SpecRecord(id.Job(f[1]), job.Spec{Customer: id.Customer(f[2]), Steps: []job.Step{{Count: 1}}, MaxAttempts: 1, Accepted: s.now}))
	case "run":
		s.run(s.duration(f[1]))
	case "left":
		if strconv.Itoa(left) != f[1] {
			s.t.Errorf("line %d: %d tombstones, want %s", s.line, left, f[1])
		}
	case "covered":
		if _, covered := s.table.Tombstoned(id.Job(f[1]), "c"); strconv.FormatBool(covered) != f[2] {
			s.t.Errorf("line %d: a tombstone cancels %s: %t", s.line, f[1], covered)
		}
	case "most":
		if most, _ := strconv.Atoi(f[1]); left > most || left > tombstone.Max {
			s.t.Errorf("line %d: %d tombstones, at most %s", s.line, left, f[1])
		}
	case "show":
		got := "none"
		if e := s.table.Get(id.Job(f[1])); e.Accepted() {
			got = string(e.State())
		}
		if got != f[2] {
			s.t.Errorf("line %d: %s is shown as %s, want %s", s.line, f[1], got, f[2])
		}
	default:
		s.t.Fatalf("line %d: unknown command %s", s.line, f[0])
	}
}
