package sched_test

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"curlewsill.org/curlewsill/core/config"
	"curlewsill.org/curlewsill/core/fake/worker"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/place"
	"curlewsill.org/curlewsill/core/record"
	"curlewsill.org/curlewsill/core/sched"
	"curlewsill.org/curlewsill/core/state"
	"curlewsill.org/curlewsill/core/unit"
	protocol "curlewsill.org/curlewsill/core/worker"
)

// benchSite is a scheduler with fake workers and a log that accepts every entry at
// once.
type benchSite struct {
	st      *state.State
	s       *sched.Scheduler
	workers map[id.Worker]*worker.Worker
	now     unit.Instant
	seq     id.Seq
	jobs    int
}

// batchSize is how many entries go into one record.
const batchSize = 256

// newBenchSite returns a site with the given numbers of workers and of teams, which
// are customers with guaranteed blocks of 8 accelerators.
func newBenchSite(b testing.TB, workers, teams int) *benchSite {
	x := &benchSite{st: state.New(), workers: map[id.Worker]*worker.Worker{}, now: unit.Instant(time.Hour)}
	var changes []config.Change
	for i := range teams {
		c := id.Customer(fmt.Sprintf("team%02d", i))
		changes = append(changes, config.Change{SetCustomer: &config.Customer{ID: c, Weight: 1}})
	}
	for i := 0; i < workers; i += 8 {
		r := &config.Rack{ID: id.Rack(fmt.Sprintf("r%03d", i/8)), Domain: "d"}
		for k := range min(8, workers-i) {
			w := id.Worker(fmt.Sprintf("%sw%d", r.ID, k))
			r.Workers = append(r.Workers, config.Worker{ID: w, Accelerators: 8, Cores: 60, Memory: 250 * unit.GiB})
			x.workers[w] = worker.New(w, 8, 1, worker.Hooks{RunOf: runForever})
		}
		changes = append(changes, config.Change{SetRack: r})
	}
	for i := range teams {
		c := id.Customer(fmt.Sprintf("team%02d", i))
		changes = append(changes, config.Change{SetGuarantee: &config.Guarantee{
			ID: id.Guarantee(c), Customer: c, Size: 8, Count: max(1, workers/teams/4),
		}})
	}
	x.write(b, record.Entry{Configure: &record.Configure{Changes: changes}})
	x.write(b, record.Entry{Claim: &record.Claim{Host: "h"}})
	x.s = sched.New(x.st.Owner.Epoch, x.st, place.Packing())
	x.settle(b)
	return x
}

// runForever makes tasks run longer than any benchmark.
func runForever(protocol.WantedTask) worker.Run { return worker.Run{Duration: 1000 * time.Hour} }

// write appends entries to the log and returns their verdicts.
func (x *benchSite) write(b testing.TB, entries ...record.Entry) []error {
	x.seq++
	raw, err := record.Encode(record.Batch{
		Version: record.Version, Host: "h", Incarnation: 1, Seq: x.seq, BasisOffset: x.st.Applied, Entries: entries,
	})
	if err != nil {
		b.Fatal(err)
	}
	a, err := x.st.Apply(x.st.Applied+1, raw)
	if err != nil || a.Damaged != nil {
		b.Fatal(err, a.Damaged)
	}
	return a.Verdicts
}

func (x *benchSite) submit(b testing.TB, n, size, teams int) {
	entries := make([]record.Entry, 0, n)
	for range n {
		x.jobs++
		entries = append(entries, record.Entry{Submit: &record.Submit{Job: record.Job{
			ID: id.Job(fmt.Sprintf("j%06d", x.jobs)), Customer: id.Customer(fmt.Sprintf("team%02d", x.jobs%teams)),
			Accelerators: size, Declared: time.Hour, Submitted: unit.Instant(x.jobs),
		}}})
		if len(entries) == batchSize {
			x.accept(b, entries)
			entries = entries[:0]
		}
	}
	x.accept(b, entries)
}

// accept writes entries and passes them to the scheduler as accepted.
func (x *benchSite) accept(b testing.TB, entries []record.Entry) {
	if len(entries) == 0 {
		return
	}
	for i, err := range x.write(b, entries...) {
		if err != nil {
			b.Fatal(err)
		}
		x.s.EntryAccepted(x.now, entries[i])
	}
}

// step runs one scheduler step and executes its decisions.
func (x *benchSite) step(b testing.TB) {
	x.now = x.now.Add(50 * time.Millisecond)
	x.execute(b, x.s.Step(x.now))
}

func (x *benchSite) execute(b testing.TB, d sched.Decisions) {
	for part := range slices.Chunk(d.Entries, batchSize) {
		for i, err := range x.write(b, part...) {
			x.s.EntrySettled(x.now, part[i], err)
		}
	}
	for _, q := range d.Syncs {
		x.s.Report(x.now, x.workers[q.Worker].Sync(time.Duration(x.now), q))
	}
}

func (x *benchSite) settle(b testing.TB) {
	for range 20 {
		x.step(b)
	}
}

// fullSite returns a site whose accelerators are all in use, with waiting jobs that
// can't start.
func fullSite(b testing.TB, workers, tasks, backlog int) *benchSite {
	const teams = 26
	x := newBenchSite(b, workers, teams)
	// Jobs of one accelerator each fill the site.
	x.submit(b, tasks, 1, teams)
	x.settle(b)
	x.submit(b, workers*8-tasks, 1, teams)
	x.settle(b)
	for _, size := range []int{8, 16, 32, 64} {
		x.submit(b, backlog/4, size, teams)
	}
	x.settle(b)
	return x
}

var siteSizes = []struct{ workers, tasks, backlog int }{
	{50, 280, 1000}, {330, 1866, 1000}, {990, 5600, 1000}, {990, 5600, 5000}, {990, 5600, 10000},
}

// BenchmarkPass measures one full pass on a full site: every group is tried, and no
// job can start.
func BenchmarkPass(b *testing.B) {
	for _, z := range siteSizes {
		b.Run(fmt.Sprintf("workers=%d/tasks=%d/backlog=%d", z.workers, z.tasks, z.backlog), func(b *testing.B) {
			x := fullSite(b, z.workers, z.tasks, z.backlog)
			b.ReportAllocs()
			for b.Loop() {
				x.now = x.now.Add(2 * time.Second)
				x.s.Step(x.now)
			}
		})
	}
}

// BenchmarkSubmit measures the pass triggered by one new job on a full site.
func BenchmarkSubmit(b *testing.B) {
	for _, z := range siteSizes {
		b.Run(fmt.Sprintf("workers=%d/tasks=%d/backlog=%d", z.workers, z.tasks, z.backlog), func(b *testing.B) {
			x := fullSite(b, z.workers, z.tasks, z.backlog)
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				x.step(b)
				x.submit(b, 1, 8, 26)
				x.now++
				b.StartTimer()
				d := x.s.Step(x.now)
				b.StopTimer()
				x.execute(b, d)
				b.StartTimer()
			}
		})
	}
}

// BenchmarkMemory reports the heap size of the state, scheduler and workers of a
// full site.
func BenchmarkMemory(b *testing.B) {
	for _, z := range []struct{ workers, tasks int }{{50, 280}, {330, 1866}, {990, 5600}} {
		b.Run(fmt.Sprintf("workers=%d/tasks=%d", z.workers, z.tasks), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				x := fullSite(b, z.workers, z.tasks, 0)
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(x)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(z.workers), "B/worker")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "B")
		})
	}
}

// BenchmarkStep measures a step without any change since the last one.
func BenchmarkStep(b *testing.B) {
	for _, workers := range []int{50, 330, 990} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			x := newBenchSite(b, workers, 26)
			x.submit(b, workers*8/2, 1, 26)
			x.settle(b)
			b.ReportAllocs()
			for b.Loop() {
				x.now++
				x.s.Step(x.now)
			}
		})
	}
}
