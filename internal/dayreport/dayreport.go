// Package dayreport tells from the logs of the entry hosts of a site where its jobs lost time: waiting for room, being started again, and why, or not
// being taken at all. It says of each cause whether another decision of the owner's could have saved that time.
package dayreport

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
)

// maxLine bounds one line of a log in bytes.
const maxLine = 1 << 20

// line has what is used of one line of a log.
type line struct {
	When   time.Time `json:"ts"`
	Event  string    `json:"msg"`
	Method string    `json:"method"`
	Job    id.Job    `json:"job"`
	Queue  id.Queue  `json:"queue"`
	Status int       `json:"status"`
	Task   string    `json:"task"`
	Run    job.Run   `json:"run"`
	Why    string    `json:"why"`
	// Age is in seconds.
	Age float64 `json:"age"`
}

// Report is what became of the jobs of some logs. Its zero value is not ready; call New.
type Report struct {
	// lines are those about jobs, of all logs.
	lines []line
	jobs  map[id.Job]*story
	// refused counts the submissions that were not taken, by queue and reason.
	refused []refusal
}

// refusal is a number of submissions that were not taken for one reason.
type refusal struct {
	queue id.Queue
	why   string
	calls int
}

// New returns a report without jobs.
func New() *Report { return &Report{jobs: map[id.Job]*story{}} }

// Read takes in one log. Lines may have a prefix before their JSON; those of other programs are passed over.
func (r *Report) Read(log io.Reader) error {
	sc := bufio.NewScanner(log)
	sc.Buffer(nil, maxLine)
	for sc.Scan() {
		_, text, found := strings.Cut(sc.Text(), "{")
		if !found {
			continue
		}
		var l line
		if json.Unmarshal([]byte("{"+text), &l) == nil && l.Job != "" {
			r.lines = append(r.lines, l)
		}
	}
	return sc.Err()
}

// tell takes in what was read, the oldest lines first, whichever host they are of.
func (r *Report) tell() {
	slices.SortStableFunc(r.lines, func(a, b line) int { return a.When.Compare(b.When) })
	for _, l := range r.lines {
		r.add(l)
	}
	r.lines = nil
}

// add takes in one line about a job.
func (r *Report) add(l line) {
	if l.Event == "call" && l.Method == "POST" && l.Status >= 400 {
		r.refuse(l)
		return
	}
	s := r.jobs[l.Job]
	if s == nil {
		s = &story{starts: map[string]time.Time{}}
		r.jobs[l.Job] = s
	}
	s.add(l)
}

// refuse counts a submission that was not taken.
func (r *Report) refuse(l line) {
	i := slices.IndexFunc(r.refused, func(x refusal) bool { return x.queue == l.Queue && x.why == l.Why })
	if i < 0 {
		r.refused = append(r.refused, refusal{queue: l.Queue, why: l.Why})
		i = len(r.refused) - 1
	}
	r.refused[i].calls++
}

// story is what the logs have of one job.
type story struct {
	queue id.Queue
	// accepted, placed and ended are when it was taken, first placed and ended; zero if no line tells.
	accepted, placed, ended time.Time
	// cancelled is set if its customer took it back.
	cancelled bool
	// starts holds when the newest run of each task was placed.
	starts map[string]time.Time
	// work is how long its longest task that was done has run, redone for how long runs went on that were not done, by why the longest of them ended.
	work, redone time.Duration
	why          cause
}

// add takes in one line.
func (s *story) add(l line) {
	switch dispatch.Event(l.Event) {
	case "call":
		if l.Method == "POST" && s.accepted.IsZero() {
			s.accepted, s.queue = l.When, l.Queue
		}
	case dispatch.EventTaskPlaced:
		if s.placed.IsZero() {
			s.placed = l.When
		}
		s.starts[l.Task] = l.When
	case dispatch.EventTaskEnded, dispatch.EventTaskLost, dispatch.EventTaskVanished:
		s.endRun(l)
	case dispatch.EventTaskStop:
		s.blame(l, causeOf(l.Why))
	case dispatch.EventJobEnded:
		s.ended, s.cancelled = l.When, l.Why == "cancelled"
	}
}

// endRun takes in that a run has ended.
func (s *story) endRun(l line) {
	if l.Why == "done" {
		s.work = max(s.work, time.Duration(l.Age*float64(time.Second)))
		return
	}
	s.blame(l, causeOf(l.Why))
}

// blame takes in why a run is over that was not done. What befell the longest one counts.
func (s *story) blame(l line, c cause) {
	began, known := s.starts[l.Task]
	if lasted := l.When.Sub(began); known && lasted > s.redone {
		s.redone = lasted
		if c != consequence || s.why == "" {
			s.why = c
		}
	}
}

// lost returns for how long the job took longer than its work, waiting for its first run, and from then on.
func (s *story) lost() (waiting, later time.Duration) {
	waiting = s.placed.Sub(s.accepted)
	return max(0, waiting), max(0, s.ended.Sub(s.placed)-s.work)
}

// whole reports whether the logs tell all of the job, and its customer has waited for its end.
func (s *story) whole() bool {
	return !s.accepted.IsZero() && !s.placed.IsZero() && !s.ended.IsZero() && !s.cancelled
}

// row is one line of the report.
type row struct {
	queue id.Queue
	// period numbers the periods in which jobs were accepted, from 0.
	period int
	cause  cause
	jobs   int
	lost   time.Duration
}

// period is the length of the periods that are told apart.
const period = 2 * time.Second

// leastLost is from which loss on a job counts: what a call, a record and an order take.
const leastLost = 500 * time.Millisecond

// rows are the losses by queue, period and cause.
type rows []row

// count adds what one job has lost.
func (r *rows) count(queue id.Queue, period int, c cause, lost time.Duration) {
	if lost < leastLost {
		return
	}
	i := slices.IndexFunc(*r, func(x row) bool { return x.queue == queue && x.period == period && x.cause == c })
	if i < 0 {
		*r = append(*r, row{queue: queue, period: period, cause: c})
		i = len(*r) - 1
	}
	(*r)[i].jobs++
	(*r)[i].lost += lost
}

// losses returns the losses by queue and cause, the largest first, and by the period of acceptance and cause.
func (r *Report) losses() (byQueue, byPeriod rows) {
	begin := r.begin()
	for _, s := range r.jobs {
		if !s.whole() {
			continue
		}
		waiting, later := s.lost()
		at := int(s.accepted.Sub(begin) / period)
		byQueue.count(s.queue, 0, waited, waiting)
		byQueue.count(s.queue, 0, s.laterCause(), later)
		byPeriod.count("", at, waited, waiting)
		byPeriod.count("", at, s.laterCause(), later)
	}
	slices.SortFunc(byQueue, func(a, b row) int {
		return cmp.Or(cmp.Compare(b.lost, a.lost), cmp.Compare(a.queue, b.queue), cmp.Compare(a.cause, b.cause))
	})
	slices.SortFunc(byPeriod, func(a, b row) int {
		return cmp.Or(cmp.Compare(a.period, b.period), cmp.Compare(b.lost, a.lost), cmp.Compare(a.cause, b.cause))
	})
	return byQueue, byPeriod
}

// begin returns when the first job was accepted.
func (r *Report) begin() time.Time {
	var first time.Time
	for _, s := range r.jobs {
		if !s.accepted.IsZero() && (first.IsZero() || s.accepted.Before(first)) {
			first = s.accepted
		}
	}
	return first
}

// laterCause returns what a job lost time by after its first placement.
func (s *story) laterCause() cause {
	if s.why == "" {
		return slow
	}
	return s.why
}

// Print writes the report.
func (r *Report) Print(w io.Writer) error {
	r.tell()
	whole := 0
	for _, s := range r.jobs {
		if s.whole() {
			whole++
		}
	}
	byQueue, byPeriod := r.losses()
	out := &printer{w: w}
	out.printf("%d jobs, %d of them told from their acceptance to their end and not cancelled\n\n", len(r.jobs), whole)
	out.printf("%-16s %-24s %-9s %6s %9s\n", "queue", "time lost by", "decision", "jobs", "seconds")
	for _, x := range byQueue {
		out.printf("%-16s %-24s %-9s %6d %9.1f\n", x.queue, x.cause, x.cause.decision(), x.jobs, x.lost.Seconds())
	}
	out.printf("\n%-16s %-24s %-9s %6s %9s\n", "accepted after", "time lost by", "decision", "jobs", "seconds")
	for _, x := range byPeriod {
		after := time.Duration(x.period) * period
		out.printf("%-16s %-24s %-9s %6d %9.1f\n", after, x.cause, x.cause.decision(), x.jobs, x.lost.Seconds())
	}
	r.printRefused(out)
	return out.err
}

// printer writes until something fails, and keeps the first error.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}

// printRefused writes which submissions were not taken.
func (r *Report) printRefused(out *printer) {
	slices.SortFunc(r.refused, func(a, b refusal) int {
		return cmp.Or(cmp.Compare(b.calls, a.calls), cmp.Compare(a.queue, b.queue), cmp.Compare(a.why, b.why))
	})
	if len(r.refused) > 0 {
		out.printf("\n%-16s %6s  %s\n", "queue", "calls", "not taken")
	}
	for _, x := range r.refused {
		out.printf("%-16s %6d  %s\n", x.queue, x.calls, x.why)
	}
}
