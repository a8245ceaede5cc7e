// Package sitedemo runs the system against the users' platform in one process:
// entry hosts with their listeners, and stand-ins of the store and the workers.
// During the run one host is stopped, and the store refuses all calls for a
// while. Nevertheless every job must be completed, and every task must be
// started exactly once.
package sitedemo

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/policy"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/internal/boottime"
	"curlewsill.org/curlewsill/internal/entry"
	"curlewsill.org/curlewsill/internal/settings"
	"curlewsill.org/curlewsill/platform/standin"
)

// ErrIncomplete reports jobs that were not completed in time.
var ErrIncomplete = errors.New("sitedemo: jobs were not completed in time")

// The parameters of the run.
const (
	hostCount   = 3
	workerCount = 4
	jobCount    = 40
	tasksPerJob = 3
	taskTime    = 100 * time.Millisecond
	storeOutage = time.Second
	// runTimeout bounds the whole run.
	runTimeout = time.Minute
	// pollInterval is the pause between two attempts of the same call.
	pollInterval = 50 * time.Millisecond
)

// Report is the result of a run.
type Report struct {
	Jobs      int           `json:"jobs"`
	Completed int           `json:"completed"`
	Tasks     int           `json:"tasks"`
	Starts    int           `json:"starts"`
	Calls     int           `json:"store_calls"`
	Took      time.Duration `json:"took"`
}

// site holds the entry hosts and the stand-ins of a run.
type site struct {
	store   *standin.Store
	workers []*standin.Worker
	hosts   []*entry.Host
	cancels []context.CancelFunc
	closers []func()
}

// Run carries out the demo and reports its steps on progress.
func Run(ctx context.Context, progress io.Writer) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	began := time.Now()
	s := &site{store: standin.NewStore()}
	defer s.close()
	if err := s.start(ctx); err != nil {
		return Report{}, err
	}
	printStep := func(text string) { fmt.Fprintln(progress, text) }
	printStep("the hosts, the workers and the store are running; submitting jobs")
	for i := range jobCount {
		switch i {
		case jobCount / 4:
			s.cancels[0]()
			printStep("one host has been stopped")
		case jobCount / 2:
			s.store.SetFault(standin.FaultBusy)
			time.AfterFunc(storeOutage, func() { s.store.SetFault(standin.FaultNone) })
			printStep("the store refuses all calls for a while")
		}
		if err := s.submit(ctx, i); err != nil {
			return Report{}, err
		}
	}
	rep := Report{Jobs: jobCount, Tasks: jobCount * tasksPerJob}
	for i := range jobCount {
		if err := s.await(ctx, i); err != nil {
			return rep, err
		}
		rep.Completed++
	}
	for _, w := range s.workers {
		for _, n := range w.Starts() {
			rep.Starts += n
		}
	}
	rep.Calls, rep.Took = s.store.Calls(), time.Since(began)
	return rep, nil
}

func (s *site) start(ctx context.Context) error {
	address, stop, err := standin.Listen(s.store)
	if err != nil {
		return err
	}
	s.closers = append(s.closers, stop)
	s.store.PutSite()
	for i := range workerCount {
		name := fmt.Sprintf("worker-%d", i)
		w := standin.NewWorker(name, map[string]standin.Work{"trial": {Duration: taskTime}})
		at, stop, err := standin.Listen(w)
		if err != nil {
			return err
		}
		s.workers, s.closers = append(s.workers, w), append(s.closers, stop)
		s.store.PutWorker(name, at)
	}
	for i := range hostCount {
		if err := s.startHost(ctx, i, address); err != nil {
			return err
		}
	}
	return nil
}

func (s *site) startHost(ctx context.Context, n int, store string) error {
	clock, err := boottime.New()
	if err != nil {
		return err
	}
	h, err := entry.New(settings.Site{
		Host: id.Host(fmt.Sprintf("host-%d", n)), Domain: "d", Callers: "127.0.0.1:0", Readiness: "127.0.0.1:0", Peers: "127.0.0.1:0",
		Metrics: "127.0.0.1:0", Store: store, Partitions: 12, LeastTTL: time.Second, Grace: 3 * time.Second,
		Memory: 512 * unit.MiB, Descriptors: 1024, Clients: settings.SiteClients(512*unit.MiB, 1024), Cores: 1, Link: 1000,
		Policy:  policy.New(),
		Workers: dispatch.Config{MaxLease: 2 * time.Second, StopTime: 200 * time.Millisecond, CheckpointInterval: time.Second, EndedRetention: time.Minute},
	}, clock, zap.NewNop())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	s.hosts, s.cancels = append(s.hosts, h), append(s.cancels, cancel)
	go func() { _ = h.Run(ctx) }()
	return nil
}

func (s *site) close() {
	for _, cancel := range s.cancels {
		cancel()
	}
	for _, c := range s.closers {
		c()
	}
}

// submit submits a job until a host accepts it. Each attempt goes to another
// host, as through a load balancer.
func (s *site) submit(ctx context.Context, n int) error {
	for attempt := n; ; attempt++ {
		status, _ := s.call(ctx, attempt, http.MethodPost, n, standin.JobBody(tasksPerJob, "trial"))
		if status == http.StatusOK {
			return nil
		}
		if err := waitToRetry(ctx, n); err != nil {
			return err
		}
	}
}

// await polls a job until it is completed.
func (s *site) await(ctx context.Context, n int) error {
	for attempt := n; ; attempt++ {
		_, state := s.call(ctx, attempt, http.MethodGet, n, nil)
		if state == "completed" {
			return nil
		}
		if err := waitToRetry(ctx, n); err != nil {
			return err
		}
	}
}

func waitToRetry(ctx context.Context, n int) error {
	select {
	case <-ctx.Done():
		return fmt.Errorf("%w: job %d", ErrIncomplete, n)
	case <-time.After(pollInterval):
		return nil
	}
}

// call makes a client's call about job n. It returns the HTTP status, 0 if
// there was no answer, and the job state in the answer.
func (s *site) call(ctx context.Context, attempt int, method string, n int, body []byte) (int, string) {
	url := fmt.Sprintf("http://%s%s%016x", s.hosts[attempt%hostCount].Callers(), standin.SitePrefix, n+1)
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Host = standin.SiteHost
	req.Header.Set("Authorization", "Bearer "+standin.SiteKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "" // the host has been stopped; the next attempt goes to another one
	}
	defer func() { _ = resp.Body.Close() }()
	var out struct{ State string }
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		return resp.StatusCode, ""
	}
	return resp.StatusCode, out.State
}
