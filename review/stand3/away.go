//go:build review

package main

import (
	"fmt"
	"time"
)

// start3 starts three hosts and a number of executors of 8 accelerators.
func (s *site) start3(executors int, routes []route) error {
	s.configure(1, routes, bothTenants)
	for n := range executors {
		x, err := newExecutor(s, fmt.Sprintf("m%d", n+1), 8)
		if err != nil {
			return err
		}
		s.executors = append(s.executors, x)
	}
	for n := range 3 {
		if _, err := s.startHost(fmt.Sprintf("edge-%d", n+1)); err != nil {
			return err
		}
	}
	return nil
}

// hosting returns the executors that have a run of a job.
func (s *site) hosting(job string) []*executor {
	var out []*executor
	for _, x := range s.executors {
		if x.has(job) {
			out = append(out, x)
		}
	}
	return out
}

// The doses of the case: one executor of six is gone, for as long as the site's cuts of
// executors last. The urgent job comes when its task has been away for notice_ms.
const (
	awayExecutors = 6
	awayFor       = 5500 * time.Millisecond
	urgentAfter   = noticeMs + 100*time.Millisecond
)

// playAway: a job that lasts has two tasks, one of which may be away at a time by
// the system's doing. The executor of one of them crashes and begins again 5.5 s later.
// Before that an urgent job comes, for which work of lower priority could be stopped
// on four other executors.
func playAway(s *site, trouble bool) (string, error) {
	if err := s.start3(awayExecutors, []route{{name: "urgent", priority: 0, attempts: 2}, {name: "serve", priority: 1, attempts: 2}, {name: "batch", priority: 2, attempts: 2}}); err != nil {
		return "", err
	}
	const lasting, batch, urgent = "00000000000000a1", "00000000000000b1", "00000000000000c1"
	north, south := s.newClient("key-north"), s.newClient("key-south")
	if err := north.submit("/serve/"+lasting, map[string]any{"TaskSpec": "long 0s 8", "Steps": []any{map[string]any{
		"Count": 2, "Cpu": 8000, "MemMb": 1024, "Gpus": 8, "EstimateMs": 10000, "AntiAffinity": 1, "LongRunning": true, "may_miss": 1, "image": "desk",
	}}}); err != nil {
		return "", err
	}
	if !wait(15*time.Second, func() bool { return len(s.hosting(lasting)) == 2 }) {
		return "", fmt.Errorf("%w: the lasting job doesn't run", errSetUp)
	}
	others := awayExecutors - 2
	if err := north.submit("/batch/"+batch, map[string]any{"TaskSpec": "done 80s 8", "Steps": []any{map[string]any{
		"Count": others, "Cpu": 8000, "MemMb": 1024, "Gpus": 8, "EstimateMs": 80000,
	}}}); err != nil {
		return "", err
	}
	if !wait(20*time.Second, func() bool { return len(s.hosting(batch)) == others }) {
		return "", fmt.Errorf("%w: the batch job doesn't run", errSetUp)
	}
	time.Sleep(9 * time.Second)
	crashedAt := time.Now()
	back := make(chan error, 1)
	if trouble {
		x := s.hosting(lasting)[0]
		x.crash()
		time.AfterFunc(awayFor, func() { back <- x.start() })
	}
	time.Sleep(time.Until(crashedAt.Add(urgentAfter)))
	if err := south.submit("/urgent/"+urgent, map[string]any{"TaskSpec": "done 2500ms 8", "Steps": []any{map[string]any{
		"Count": 1, "Cpu": 8000, "MemMb": 1024, "Gpus": 8, "EstimateMs": 2500,
	}}}); err != nil {
		return "", err
	}
	time.Sleep(8 * time.Second)
	if trouble {
		if err := <-back; err != nil {
			return "", err
		}
	}
	return judgeAway(s.runsOf(lasting), crashedAt), nil
}

// judgeAway finds a stop that ended a task at work while the other task of its step
// was away: ended by a stop, or not at work for notice_ms.
func judgeAway(runs []seenRun, from time.Time) string {
	for _, r := range runs {
		if r.how != "stopped" || r.to.Before(from) {
			continue
		}
		atWork, lastAway := false, from
		for _, o := range runs {
			if o.task == r.task {
				continue
			}
			if (o.to.IsZero() || o.to.After(r.to)) && o.from.Add(warmUp).Before(r.to) {
				atWork = true
			}
			if !o.to.IsZero() && o.to.After(lastAway) && !o.to.After(r.to) {
				lastAway = o.to
			}
		}
		if gone := r.to.Sub(lastAway); !atWork && gone >= noticeMs {
			return fmt.Sprintf("AVAIL: task %s was stopped at work on %s while the other task of its step had been away for %.1f s, and one may be away", r.task, r.executor, gone.Seconds())
		}
	}
	return ""
}
