package batch_test

import (
	"fmt"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"curlewsill.org/curlewsill/internal/experiment/batch"
	"curlewsill.org/curlewsill/internal/experiment/setup"
)

// jobsOfWorker is how many jobs come for each worker, of the kinds of the shipped experiment in 400 s.
const jobsOfWorker = 20

// BenchmarkPlay plays one policy with one seed of the shipped experiment for 400 s, with the arrivals in
// proportion to the workers. One play each, on a busy machine: 935 jobs on 50 workers 1.2 s, 6,992 on
// 350 workers 29 s, 19,703 on 990 workers 447 s. With 350 workers 0.60 of the processor time are passes
// of core/dispatch.
func BenchmarkPlay(b *testing.B) {
	for _, workers := range []int{50, 350, 990} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			s := sized(b, workers)
			jobs := 0
			for b.Loop() {
				x, err := batch.New(s, io.Discard)
				if err != nil {
					b.Fatal(err)
				}
				r, err := x.Run(b.Context(), 1)
				if err != nil || len(r.Runs[0].Violations) > 0 {
					b.Fatal(err, r.Runs[0].Violations)
				}
				jobs = 0
				for _, k := range r.Runs[0].Kinds {
					jobs += k.Arrived
				}
			}
			b.ReportMetric(float64(jobs), "jobs/op")
		})
	}
}

// sized returns the shipped experiment for a site of so many workers.
func sized(b *testing.B, workers int) *setup.Setup {
	var site strings.Builder
	site.WriteString("[customer a]\n")
	for left, n := workers, 0; left > 0; n++ {
		some := min(8, left)
		left -= some
		fmt.Fprintf(&site, "[rack r%03d]\ndomain = d%d\nworkers = %d\naccelerators = 8\ncores = 60\nmemory = 250GiB\n", n, n%3, some)
	}
	data, err := os.ReadFile("../../../examples/experiments/mixed.ini")
	if err != nil {
		b.Fatal(err)
	}
	s, err := setup.Parse("site.ini", []byte(site.String()), "mixed.ini", data)
	if err != nil {
		b.Fatal(err)
	}
	perSecond := 0.0
	for i := range s.Kinds {
		perSecond += s.Kinds[i].PerSecond
	}
	s.Length = 400 * time.Second
	for i := range s.Kinds {
		s.Kinds[i].PerSecond *= jobsOfWorker * float64(workers) / s.Length.Seconds() / perSecond
	}
	s.Seeds, s.Policies = s.Seeds[:1], s.Policies[:1]
	return s
}
