package entry

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/policy"
	"curlewsill.org/curlewsill/core/scripttest"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/platform"
)

// twoLogs is a store that answers the appends to each of two logs as words says
// for that log: ok, busy (refused once, then ok), fenced, or silent (no
// answer).
type twoLogs struct {
	mu    sync.Mutex
	words map[platform.Topic]string
}

// RoundTrip implements http.RoundTripper.
func (s *twoLogs) RoundTrip(req *http.Request) (*http.Response, error) {
	topic := platform.Topic(req.URL.Query().Get("topic"))
	s.mu.Lock()
	word := s.words[topic]
	if word == "busy" {
		s.words[topic] = "ok"
	}
	s.mu.Unlock()
	status, body := http.StatusOK, `{"offset":0,"end":1}`
	switch word {
	case "busy":
		status = http.StatusServiceUnavailable
	case "fenced":
		status, body = http.StatusConflict, `{"Reason":"fenced"}`
	case "silent":
		<-req.Context().Done()
		return nil, req.Context().Err()
	}
	return &http.Response{StatusCode: status, Body: io.NopCloser(strings.NewReader(body)), Header: http.Header{}, Request: req}, nil
}

// TestFlushToTwoLogs places a task, and records that another job has begun, while
// the progress log and the job log answer as testdata/flush/logs.txt says. The
// start order must be sent only once both logs have the records, and the ownership
// must end if either log has fenced the owner.
func TestFlushToTwoLogs(t *testing.T) {
	scripttest.EachLine(t, "flush/logs.txt", func(f []string) {
		t.Run(f[0]+"-"+f[1], func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playFlush(t, f) })
		})
	})
}

// playFlush plays one line: the answers of the two logs, and the expected state
// of the owner and of its start order.
func playFlush(t *testing.T, f []string) {
	ctx, cancel := context.WithCancel(t.Context())
	workers := &hangingWorkers{inFlight: map[string]int{}}
	o := newOwnerOf(t, workers)
	h := o.host
	h.table = jobtable.New()
	h.owner = o
	h.store = platform.NewStore("store", &http.Client{Transport: &twoLogs{
		words: map[platform.Topic]string{platform.TopicProgress: f[0], platform.TopicJobs: f[1]},
	}})
	o.epoch, o.jobs.topic, o.progress.topic = 1, platform.TopicJobs, platform.TopicProgress
	o.core = dispatch.New(dispatch.Config{MaxLease: 6 * time.Second}, policy.New(), o.epoch, jobtable.New())
	o.core.List(h.now(), fleet.Listing{ID: "worker-0", Address: "worker-0", Service: "s", Capacity: job.Resources{Accelerators: 1}})
	o.core.Pass(h.now(), h.now())
	o.core.Renewed(h.now(), dispatch.RenewResult{Renew: o.core.TakeOrders().Renews[0], Sent: h.now(), Verdict: fleet.CarriedOut})
	spec := &job.Spec{Service: "s", MaxAttempts: 1, Steps: []job.Step{{Count: 1, Need: job.Resources{Accelerators: 1}}}}
	o.core.AddJob(h.now(), "j", &jobtable.Entry{Spec: spec})
	tooWide := &job.Spec{Service: "s", MaxAttempts: 1, Steps: []job.Step{{Count: 2, Need: job.Resources{Accelerators: 2}}}}
	o.core.AddJob(h.now(), "begun", &jobtable.Entry{Spec: tooWide, Progress: job.Progress{Tasks: []job.TaskState{{Phase: job.Done, Run: 1}, {}}}})
	o.core.Pass(h.now(), h.now())
	o.flush(ctx)
	go decideEach(ctx, h.events, h.now, func(unit.Instant) {})
	time.Sleep(700 * time.Millisecond) // a refused append is repeated after 0.1 s
	synctest.Wait()
	owner, order := "ended", "held"
	if h.owner == o {
		owner = "owns"
	}
	if workers.countInFlight("/run-start") > 0 {
		order = "started"
	}
	if owner != f[2] || order != f[3] {
		t.Errorf("owner %s, start order %s; want %s, %s", owner, order, f[2], f[3])
	}
	cancel()
	o.cancel()
	synctest.Wait()
}
