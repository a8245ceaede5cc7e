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

// The size of the benchmark of the whole path: what a busy site of 350 workers asks for.
const (
	benchWorkers    = 350
	benchJobTasks   = 14
	benchJobsASec   = 14
	benchTaskLength = 2 * time.Second
)

// BenchmarkPath runs one host as the owner of many workers, each iteration a second of jobs. The
// processor time of the whole process is that of the host and of the stand-ins together; a
// profile (-cpuprofile) tells them apart by their packages. It counts the connections to workers that
// were opened since the start. 8.2 MB and 74,463 allocations a second when each waiting step walked over
// all workers, 6.9 MB and 66,290 since.
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
		store.PutWorker(name, listenCounting(b, standin.NewWorker(name, map[string]standin.Work{"bench": {Time: benchTaskLength}}), &opened))
	}
	clock, err := boottime.New()
	if err != nil {
		b.Fatal(err)
	}
	h, err := entry.New(settings.Site{
		Host: "host", Domain: "d", Callers: "127.0.0.1:0", Readiness: "127.0.0.1:0", Peers: "127.0.0.1:0", Metrics: "127.0.0.1:0",
		Store: address, Partitions: 12, LeastTTL: time.Second, Memory: 512 * unit.MiB, Descriptors: 1024, Cores: 1, Link: 1000, Grace: 3 * time.Second,
		Policy:  policy.New(),
		Workers: dispatch.Config{MaxLease: 6 * time.Second, StopTime: 200 * time.Millisecond, SaveEvery: time.Second, KeepEnded: time.Minute},
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

// listenCounting serves a worker until the benchmark's end and returns its address. It counts the
// connections that are opened to it, which are priced.
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

// submitBench hands a job in until it is taken.
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
