package entry_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/policy"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/internal/boottime"
	"curlewsill.org/curlewsill/internal/entry"
	"curlewsill.org/curlewsill/internal/settings"
	"curlewsill.org/curlewsill/platform/standin"
)

// The size of the benchmark of the whole path: the load of a busy site of 350
// workers.
const (
	benchWorkers    = 350
	benchJobTasks   = 14
	benchJobsASec   = 14
	benchTaskLength = 2 * time.Second
)

// BenchmarkPath runs one host as the owner of many workers; each iteration
// submits one second of jobs. The processor time of the process includes the
// host and the stand-ins; a profile (-cpuprofile) separates them by package.
// The benchmark counts the connections opened to workers since the start. If
// each waiting step iterates over all workers, an iteration takes 8.2 MB and
// 74,463 allocations instead of 6.9 MB and 66,290.
func BenchmarkPath(b *testing.B) {
	store := standin.NewStore()
	address, stop, err := standin.Listen(store)
	if err != nil {
		b.Fatal(err)
	}
	defer stop()
	store.PutSite()
	var opened atomic.Int64
	for i := range benchWorkers {
		name := fmt.Sprintf("worker-%d", i)
		store.PutWorker(name, listenCounting(b, standin.NewWorker(name, map[string]standin.Work{"bench": {Duration: benchTaskLength}}), &opened))
	}
	clock, err := boottime.New()
	if err != nil {
		b.Fatal(err)
	}
	h, err := entry.New(settings.Site{
		Host: "host", Domain: "d", Callers: "127.0.0.1:0", Readiness: "127.0.0.1:0", Peers: "127.0.0.1:0", Metrics: "127.0.0.1:0",
		Store: address, Partitions: 12, LeastTTL: time.Second, Memory: 512 * unit.MiB, Descriptors: 1024,
		Clients: settings.SiteClients(512*unit.MiB, 1024), Cores: 1, Link: 1000, Grace: 3 * time.Second,
		Policy:  policy.New(),
		Workers: dispatch.Config{MaxLease: 6 * time.Second, StopTime: 200 * time.Millisecond, CheckpointInterval: time.Second, EndedRetention: time.Minute},
	}, clock, zap.NewNop())
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	go func() { _ = h.Run(ctx) }()
	next := 0
	second := func() {
		for range benchJobsASec {
			next++
			submitBench(b, h, next)
			time.Sleep(time.Second / benchJobsASec)
		}
	}
	second()
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		second()
	}
	b.ReportMetric(benchJobsASec*benchJobTasks, "tasks/op")
	b.ReportMetric(float64(opened.Load()), "connections")
}

// listenCounting serves a worker until the benchmark's end and returns its
// address. It counts the connections opened to the worker, because the platform
// charges for them.
func listenCounting(b *testing.B, h http.Handler, opened *atomic.Int64) string {
	s := httptest.NewUnstartedServer(h)
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	s.Start()
	b.Cleanup(func() {
		_ = s.Listener.Close()
		s.CloseClientConnections()
	})
	return strings.TrimPrefix(s.URL, "http://")
}

// submitBench submits a job repeatedly until it is accepted.
func submitBench(b *testing.B, h *entry.Host, n int) {
	for {
		req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s%s%016x", h.Callers(), standin.SitePrefix, n),
			bytes.NewReader(standin.JobBody(benchJobTasks, "bench")))
		if err != nil {
			b.Fatal(err)
		}
		req.Host = standin.SiteHost
		req.Header.Set("Authorization", "Bearer "+standin.SiteKey)
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}
