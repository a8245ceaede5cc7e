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

// BenchmarkSync measures a sync over loopback, both sides in this process, and reports
// the bytes of the bodies in both directions.
func BenchmarkSync(b *testing.B) {
	for _, z := range []struct {
		tasks int
		renew bool
	}{{0, false}, {1, false}, {6, false}, {64, false}, {6, true}, {64, true}} {
		tasks := z.tasks
		b.Run(fmt.Sprintf("tasks=%d/renew=%v", tasks, z.renew), func(b *testing.B) {
			srv := httptest.NewServer(workersvc.New())
			defer srv.Close()
			c := workers.New(srv.URL, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}})
			q := worker.Sync{Worker: "tanta-1-w0", Epoch: 1}
			for i := range tasks {
				q.Tasks = append(q.Tasks, worker.Want{
					Job: id.Job(fmt.Sprintf("reconstruction-%06d", i)), Lease: id.Lease(1<<20 + i), Mask: 1 << i,
					Create: true, Until: time.Hour, Command: "run 1h",
				})
			}
			b.ReportAllocs()
			bytes := 0
			for b.Loop() {
				q.Seq++
				rep, err := c.Sync(b.Context(), q)
				if err != nil {
					b.Fatal(err)
				}
				q.Life = rep.Life
				if z.renew && q.Seq == 2 {
					// The worker has taken the whole list; refer to it from now on.
					q.Base, q.Until, q.Tasks = q.Seq, time.Hour, nil
				}
				out, _ := json.Marshal(q)
				in, _ := json.Marshal(rep)
				bytes = len(out) + len(in)
			}
			b.ReportMetric(float64(bytes), "body-B/sync")
		})
	}
}
