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

// jobsPerWorker is the mean number of jobs per worker in the 400 s of the
// benchmark.
const jobsPerWorker = 20

// BenchmarkPlay plays one policy with one seed of the shipped experiment for
// 400 s of virtual time. The arrival rate is proportional to the number of
// workers. On a busy machine, one run took 1.2 s for 935 jobs on 50 workers,
// 29 s for 6,992 jobs on 350 workers, and 447 s for 19,703 jobs on 990 workers.
// With 350 workers, passes of core/dispatch take 0.60 of the processor time.
func BenchmarkPlay(b *testing.B) {
	for _, workers := range []int{50, 350, 990} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			s := setupFor(b, workers)
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

// setupFor returns the shipped experiment for a site with the given number of
// workers.
func setupFor(b *testing.B, workers int) *setup.Setup {
	var site strings.Builder
	site.WriteString("[customer a]\n")
	for left, n := workers, 0; left > 0; n++ {
		inRack := min(8, left)
		left -= inRack
		fmt.Fprintf(&site, "[rack r%03d]\ndomain = d%d\nworkers = %d\naccelerators = 8\ncores = 60\nmemory = 250GiB\n", n, n%3, inRack)
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
		s.Kinds[i].PerSecond *= jobsPerWorker * float64(workers) / s.Length.Seconds() / perSecond
	}
	s.Seeds, s.Policies = s.Seeds[:1], s.Policies[:1]
	return s
}
