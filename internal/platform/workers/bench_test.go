package workers_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/worker"
	"curlewsill.org/curlewsill/internal/platform/workers"
	"curlewsill.org/curlewsill/internal/standin/workersvc"
)

// BenchmarkSync measures a sync over loopback, with client and server in this
// process, and reports the total size of the request and response bodies.
func BenchmarkSync(b *testing.B) {
	for _, c := range []struct {
		tasks int
		renew bool
	}{{0, false}, {1, false}, {6, false}, {64, false}, {6, true}, {64, true}} {
		tasks := c.tasks
		b.Run(fmt.Sprintf("tasks=%d/renew=%v", tasks, c.renew), func(b *testing.B) {
			srv := httptest.NewServer(workersvc.New())
			defer srv.Close()
			client := workers.New(srv.URL, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}})
			s := worker.Sync{Worker: "tanta-1-w0", Epoch: 1}
			for i := range tasks {
				s.Tasks = append(s.Tasks, worker.WantedTask{
					Job: id.Job(fmt.Sprintf("reconstruction-%06d", i)), Lease: id.Lease(1<<20 + i), Mask: 1 << i,
					Create: true, Until: time.Hour, Command: "run 1h",
				})
			}
			b.ReportAllocs()
			size := 0
			for b.Loop() {
				s.Seq++
				rep, err := client.Sync(b.Context(), s)
				if err != nil {
					b.Fatal(err)
				}
				s.Incarnation = rep.Incarnation
				if c.renew && s.Seq == 2 {
					// The worker has applied the full list of tasks. Later
					// syncs only refer to it.
					s.Base, s.Until, s.Tasks = s.Seq, time.Hour, nil
				}
				out, _ := json.Marshal(s)
				in, _ := json.Marshal(rep)
				size = len(out) + len(in)
			}
			b.ReportMetric(float64(size), "body-B/sync")
		})
	}
}
