// Package dayreport analyzes the logs of a site's entry hosts and reports where
// jobs lost time: how long they waited for room, how much time restarts cost
// and for which reason, and which submissions were rejected. For each cause it
// shows whether another decision of the owner could have saved the time.
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

// line has the fields of a log line that the report uses.
type line struct {
	When   time.Time     `json:"ts"`
	Event  string        `json:"msg"`
	Method string        `json:"method"`
	Job    id.Job        `json:"job"`
	Queue  id.Queue      `json:"queue"`
	Status int           `json:"status"`
	Task   string        `json:"task"`
	Run    job.RunNumber `json:"run"`
	Why    string        `json:"why"`
	// Age is the run time in seconds, in task-ended lines.
	Age float64 `json:"age"`
}

// Report collects the histories of the jobs in some logs. Its zero value isn't
// usable; call New.
type Report struct {
	// lines has the lines about jobs from all logs that aren't processed yet.
	lines []line
	jobs  map[id.Job]*jobHistory
	// rejections counts the rejected submissions by queue and reason.
	rejections []rejection
}

// rejection counts the submissions to one queue that were rejected for one
// reason.
type rejection struct {
	queue id.Queue
	why   string
	calls int
}

// New returns a report without jobs.
func New() *Report { return &Report{jobs: map[id.Job]*jobHistory{}} }

// Read reads one log. Lines may have a prefix before their JSON. Lines that
// aren't about a job, such as those of other programs, are skipped.
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

// process adds the lines that were read to the jobs' histories. It merges the
// lines of all hosts by time, the oldest first.
func (r *Report) process() {
	slices.SortStableFunc(r.lines, func(a, b line) int { return a.When.Compare(b.When) })
	for _, l := range r.lines {
		r.add(l)
	}
	r.lines = nil
}

// add processes one line about a job.
func (r *Report) add(l line) {
	if l.Event == "call" && l.Method == "POST" && l.Status >= 400 {
		r.addRejection(l)
		return
	}
	h := r.jobs[l.Job]
	if h == nil {
		h = &jobHistory{starts: map[string]time.Time{}}
		r.jobs[l.Job] = h
	}
	h.add(l)
}

// addRejection counts a rejected submission.
func (r *Report) addRejection(l line) {
	i := slices.IndexFunc(r.rejections, func(x rejection) bool { return x.queue == l.Queue && x.why == l.Why })
	if i < 0 {
		r.rejections = append(r.rejections, rejection{queue: l.Queue, why: l.Why})
		i = len(r.rejections) - 1
	}
	r.rejections[i].calls++
}

// jobHistory is the history of one job as the logs show it.
type jobHistory struct {
	queue id.Queue
	// accepted, placed and ended are the times at which the job was accepted,
	// first placed and ended. Each is zero if the logs don't show it.
	accepted, placed, ended time.Time
	// cancelled is set if the customer cancelled the job.
	cancelled bool
	// starts holds the time at which the newest run of each task was placed.
	starts map[string]time.Time
	// longestDone is the run time of the longest run that ended with success.
	// longestLost is how long the longest of the other runs lasted. lossCause
	// is the cause of the job's loss; addLoss says how it is chosen.
	longestDone, longestLost time.Duration
	lossCause                cause
}

// add processes one line about the job.
func (h *jobHistory) add(l line) {
	switch dispatch.Event(l.Event) {
	case "call":
		if l.Method == "POST" && h.accepted.IsZero() {
			h.accepted, h.queue = l.When, l.Queue
		}
	case dispatch.EventTaskPlaced:
		if h.placed.IsZero() {
			h.placed = l.When
		}
		h.starts[l.Task] = l.When
	case dispatch.EventTaskEnded, dispatch.EventTaskLost, dispatch.EventTaskVanished:
		h.endRun(l)
	case dispatch.EventTaskStop:
		h.addLoss(l, causeOf(l.Why))
	case dispatch.EventJobEnded:
		h.ended, h.cancelled = l.When, l.Why == "cancelled"
	}
}

// endRun processes the end or the loss of a run.
func (h *jobHistory) endRun(l line) {
	if l.Why == "done" {
		h.longestDone = max(h.longestDone, time.Duration(l.Age*float64(time.Second)))
		return
	}
	h.addLoss(l, causeOf(l.Why))
}

// addLoss records a run that ended without success or got a stop order, if it
// lasted longer than all earlier such runs of the job. The cause c becomes the
// cause of the job's loss, but memberEnded doesn't replace another cause.
func (h *jobHistory) addLoss(l line, c cause) {
	began, known := h.starts[l.Task]
	if lasted := l.When.Sub(began); known && lasted > h.longestLost {
		h.longestLost = lasted
		if c != memberEnded || h.lossCause == "" {
			h.lossCause = c
		}
	}
}

// lost returns how much time the job lost. waiting is the time from its
// acceptance to its first placement. later is the time from its first placement
// to its end, less the time of its longest successful run.
func (h *jobHistory) lost() (waiting, later time.Duration) {
	waiting = h.placed.Sub(h.accepted)
	return max(0, waiting), max(0, h.ended.Sub(h.placed)-h.longestDone)
}

// complete reports whether the logs show the job's acceptance, first placement
// and end, and the job wasn't cancelled.
func (h *jobHistory) complete() bool {
	return !h.accepted.IsZero() && !h.placed.IsZero() && !h.ended.IsZero() && !h.cancelled
}

// row is one line of the report.
type row struct {
	queue id.Queue
	// period is the number of the period in which the jobs were accepted, from
	// 0.
	period int
	cause  cause
	jobs   int
	lost   time.Duration
}

// periodLength is the length of the periods of acceptance by which the report
// groups jobs.
const periodLength = 2 * time.Second

// minLost is the smallest loss that the report counts. The call, the job's
// record and the start order together take about this long for every job.
const minLost = 500 * time.Millisecond

// rows has the losses by queue, period and cause.
type rows []row

// add adds the loss of one job, unless it is below minLost.
func (r *rows) add(queue id.Queue, period int, c cause, lost time.Duration) {
	if lost < minLost {
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

// losses returns the losses summed in two ways. byQueue has a row for each
// queue and cause, the largest loss first. byPeriod has a row for each period of
// acceptance and cause, in the order of the periods.
func (r *Report) losses() (byQueue, byPeriod rows) {
	begin := r.begin()
	for _, h := range r.jobs {
		if !h.complete() {
			continue
		}
		waiting, later := h.lost()
		period := int(h.accepted.Sub(begin) / periodLength)
		byQueue.add(h.queue, 0, waitedForRoom, waiting)
		byQueue.add(h.queue, 0, h.laterCause(), later)
		byPeriod.add("", period, waitedForRoom, waiting)
		byPeriod.add("", period, h.laterCause(), later)
	}
	slices.SortFunc(byQueue, func(a, b row) int {
		return cmp.Or(cmp.Compare(b.lost, a.lost), cmp.Compare(a.queue, b.queue), cmp.Compare(a.cause, b.cause))
	})
	slices.SortFunc(byPeriod, func(a, b row) int {
		return cmp.Or(cmp.Compare(a.period, b.period), cmp.Compare(b.lost, a.lost), cmp.Compare(a.cause, b.cause))
	})
	return byQueue, byPeriod
}

// begin returns the time at which the first job was accepted.
func (r *Report) begin() time.Time {
	var first time.Time
	for _, h := range r.jobs {
		if !h.accepted.IsZero() && (first.IsZero() || h.accepted.Before(first)) {
			first = h.accepted
		}
	}
	return first
}

// laterCause returns why a job lost time after its first placement.
func (h *jobHistory) laterCause() cause {
	if h.lossCause == "" {
		return slow
	}
	return h.lossCause
}

// Print writes the report.
func (r *Report) Print(w io.Writer) error {
	r.process()
	complete := 0
	for _, h := range r.jobs {
		if h.complete() {
			complete++
		}
	}
	byQueue, byPeriod := r.losses()
	out := &printer{w: w}
	out.printf("%d jobs, %d of them told from their acceptance to their end and not cancelled\n\n", len(r.jobs), complete)
	out.printf("%-16s %-24s %-9s %6s %9s\n", "queue", "time lost by", "decision", "jobs", "seconds")
	for _, x := range byQueue {
		out.printf("%-16s %-24s %-9s %6d %9.1f\n", x.queue, x.cause, x.cause.decision(), x.jobs, x.lost.Seconds())
	}
	out.printf("\n%-16s %-24s %-9s %6s %9s\n", "accepted after", "time lost by", "decision", "jobs", "seconds")
	for _, x := range byPeriod {
		after := time.Duration(x.period) * periodLength
		out.printf("%-16s %-24s %-9s %6d %9.1f\n", after, x.cause, x.cause.decision(), x.jobs, x.lost.Seconds())
	}
	r.printRejections(out)
	return out.err
}

// printer writes formatted text. It keeps the first error and writes nothing
// after it.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}

// printRejections writes which submissions were rejected.
func (r *Report) printRejections(out *printer) {
	slices.SortFunc(r.rejections, func(a, b rejection) int {
		return cmp.Or(cmp.Compare(b.calls, a.calls), cmp.Compare(a.queue, b.queue), cmp.Compare(a.why, b.why))
	})
	if len(r.rejections) > 0 {
		out.printf("\n%-16s %6s  %s\n", "queue", "calls", "not taken")
	}
	for _, x := range r.rejections {
		out.printf("%-16s %6d  %s\n", x.queue, x.calls, x.why)
	}
}
