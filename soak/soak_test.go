package soak

import (
	"flag"
	"fmt"
	"io/fs"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"curlewsill.org/curlewsill/platform/standin"
)

var (
	seedsFlag    = flag.Int("seeds", 0, "number of seeds that TestLong runs")
	firstFlag    = flag.Uint64("first", 1000, "first seed of TestLong")
	durationFlag = flag.Duration("duration", 30*time.Second, "time during which faults begin in a seed of TestLong")
	hostsFlag    = flag.String("hosts", "3..7", "range of the number of hosts in TestLong, FROM..TO; the seed determines the number")
	workersFlag  = flag.Int("workers", 0, "number of workers in TestLong; 0 means a third more than hosts, plus two")
	keepFlag     = flag.String("keep", "", "folder for the logs of all seeds; if empty, those of failed seeds stay in the system's temporary folder")
	onlyFlag     = flag.String("only", "", "comma-separated list of KIND or KIND/VARIANT; TestLong leaves all other faults out of its plans")
	wideFlag     = flag.Bool("wide", false, "TestLong runs wide plans")
	handFlag     = flag.Bool("hand", false, "run the seeds of testdata/seeds.txt and testdata/wide.txt that are marked with hand, too")
	recordedFlag = flag.String("recorded", "testdata/recorded.jsonl", "file of events that TestRecorded judges")
)

// program is the path of the built curlewsilld.
var program string

const callersPerSite = 6

// completionTimeout bounds the wait for the end of all jobs after the last
// fault, and then the wait until no worker runs anything. It is far above the
// few seconds that accepted jobs need.
const completionTimeout = 90 * time.Second

// maxShown is the number of violations of each check that a failed seed shows.
// All can be had by judging its events again.
const maxShown = 5

// usageDelay is the idle time before the resource usage of processes is
// measured.
const usageDelay = time.Second

// TestMain builds curlewsilld once.
func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(runTests(m))
}

// sourceDirs are the folders from which curlewsilld is built.
var sourceDirs = []string{"../cmd", "../core", "../internal", "../platform"}

// readSources reads the files from which curlewsilld is built, so that the go
// command runs the tests again when one of them has changed: it reuses a cached
// test result as long as the files that the tests have read are unchanged. Reads
// before the tests run, as in TestMain, don't count for this.
func readSources() error {
	for _, dir := range sourceDirs {
		err := filepath.WalkDir(dir, func(path string, e fs.DirEntry, err error) error {
			if err != nil || e.IsDir() || strings.HasSuffix(path, "_test.go") {
				return err
			}
			_, err = os.ReadFile(path)
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "soak-program-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program = filepath.Join(dir, "curlewsilld")
	if out, err := exec.Command("go", "build", "-o", program, "curlewsill.org/curlewsill/cmd/curlewsilld").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s%v\n", out, err)
		return 1
	}
	return m.Run()
}

// TestSoak runs the seeds of testdata/seeds.txt: fixed ones, and each that ever
// failed. A line is "SEED HOSTS WORKERS DURATION CAUSE". With "hand" before it,
// the seed runs only if the flag -hand is set.
func TestSoak(t *testing.T) {
	runSeedFile(t, "seeds.txt", func(seed uint64, hosts, workers int, faultPhase time.Duration, _ string) plan {
		return drawPlan(seed, hosts, workers, faultPhase)
	})
}

// TestWide runs the seeds of testdata/wide.txt, which has the same format, as
// wide plans. If the cause begins with "only KIND,KIND", the plan contains only
// faults of these kinds.
func TestWide(t *testing.T) {
	runSeedFile(t, "wide.txt", func(seed uint64, hosts, workers int, faultPhase time.Duration, cause string) plan {
		p := drawWide(seed, hosts, workers, faultPhase)
		if f := strings.Fields(cause); len(f) > 1 && f[0] == "only" {
			p = p.withKinds(f[1])
		}
		return p
	})
}

// runSeedFile runs the seeds of a file of testdata in parallel.
func runSeedFile(t *testing.T, file string, draw func(seed uint64, hosts, workers int, faultPhase time.Duration, cause string) plan) {
	if err := readSources(); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(filepath.Join("testdata", file))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		line, byHand := strings.CutPrefix(line, "hand ")
		if byHand && !*handFlag {
			continue
		}
		var seed uint64
		var nh, nw int
		var phaseText string
		if _, err := fmt.Sscan(line, &seed, &nh, &nw, &phaseText); err != nil {
			continue // a comment
		}
		faultPhase, err := time.ParseDuration(phaseText)
		if err != nil {
			t.Fatal(line, err)
		}
		_, cause, _ := strings.Cut(line, phaseText)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runPlan(t, draw(seed, nh, nw, faultPhase, cause))
		})
	}
}

// TestLong runs the seeds that the flags give, one after the other.
func TestLong(t *testing.T) {
	var minHosts, maxHosts int
	if _, err := fmt.Sscanf(*hostsFlag, "%d..%d", &minHosts, &maxHosts); err != nil || minHosts < 1 || maxHosts < minHosts {
		t.Fatalf("-hosts %q is not FROM..TO", *hostsFlag)
	}
	for i := range *seedsFlag {
		seed := *firstFlag + uint64(i)
		nh := minHosts + int(seed)%(maxHosts-minHosts+1)
		nw := *workersFlag
		if nw == 0 {
			nw = nh + nh/3 + 2
		}
		p := drawPlan(seed, nh, nw, *durationFlag)
		if *wideFlag {
			p = drawWide(seed, nh, nw, *durationFlag)
		}
		if *onlyFlag != "" {
			p = p.withKinds(*onlyFlag)
		}
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runPlan(t, p) })
	}
}

// withKinds returns the plan with only those faults that match a
// comma-separated list of KIND or KIND/VARIANT.
func (p plan) withKinds(kinds string) plan {
	wanted := strings.Split(kinds, ",")
	p.faults = slices.DeleteFunc(p.faults, func(f fault) bool {
		return !slices.Contains(wanted, f.kind) && !slices.Contains(wanted, f.kind+"/"+f.variant)
	})
	return p
}

// runPlan runs a plan and fails the test if the judge finds a violation. The
// logs of a failed plan are kept.
func runPlan(t *testing.T, p plan) {
	root := *keepFlag
	if root == "" {
		root = os.TempDir()
	}
	p.addQueues()
	dir, err := os.MkdirTemp(root, fmt.Sprintf("soak-%d-", p.seed))
	if err != nil {
		t.Fatal(err)
	}
	s := newSite(t, p, dir)
	t.Cleanup(func() {
		s.killAll()
		if t.Failed() {
			t.Logf("seed %d, %d hosts, %d workers, %v: logs in %s", p.seed, p.hosts, p.workers, p.faultPhase, dir)
			return
		}
		if *keepFlag == "" {
			_ = os.RemoveAll(dir)
		}
	})
	stopPolling := s.pollReadiness()
	pool := &callerPool{site: s, queues: map[string]standin.Queue{}}
	s.callers = pool
	var calling sync.WaitGroup
	for n := range callersPerSite {
		c := pool.newCaller(p.seed, n)
		calling.Go(func() { c.run(s.startedAt.Add(p.faultPhase), fmt.Sprintf("%08x%04x", uint32(p.seed), n)) })
	}
	stopAsking := pool.askHosts(p.seed)
	s.inject(p)
	t.Logf("the last fault ended after %v", time.Since(s.startedAt))
	calling.Wait()
	last := pool.newCaller(p.seed, callersPerSite)
	last.awaitJobs(time.Now().Add(completionTimeout))
	t.Logf("the wait for the end of all jobs took until %v", time.Since(s.startedAt))
	s.awaitIdleWorkers(time.Now().Add(completionTimeout))
	stopAsking()
	// A host may show a job as open for visibleTime after another one has shown its
	// outcome, and the judge takes the last answer. So each job is asked for again.
	time.Sleep(visibleTime)
	last.awaitJobs(time.Now().Add(completionTimeout))
	s.crashing.Wait()
	t.Logf("the wait for idle workers took until %v", time.Since(s.startedAt))
	s.recordUsage()
	stopPolling()
	s.stopAll()
	s.record(event{Kind: eventSettled})
	cases := map[string]int{}
	for _, v := range s.violations() {
		if cases[v.Check]++; cases[v.Check] <= maxShown {
			t.Error(v)
		}
	}
	for check, n := range cases {
		t.Logf("%s: %d cases, of which the first %d are shown", check, n, min(n, maxShown))
	}
	if p.has("taken") {
		t.Log(s.judge.resumedText())
	}
	t.Logf("seed %d: %d hosts, %d workers, %d faults, %d jobs, %d accepted, %d of a flood, %d calls, %d tasks in %v",
		p.seed, p.hosts, p.workers, len(p.faults), len(pool.jobs), len(pool.accepted), len(pool.flooded), pool.lastCall.Load(),
		len(s.judge.tasks), time.Since(s.startedAt).Round(time.Second))
}

// pollReadiness probes the readiness of each host every second until stop is
// called.
func (s *site) pollReadiness() (stop func()) {
	done := make(chan struct{})
	var polling sync.WaitGroup
	for _, h := range s.hosts {
		c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		polling.Go(func() {
			for {
				if p := h.latest(); p != nil && p.readinessAddr != "" {
					p.probeReadiness(c)
				}
				select {
				case <-done:
					return
				case <-time.After(time.Second):
				}
			}
		})
	}
	return func() { close(done); polling.Wait() }
}

// awaitIdleWorkers waits until no worker runs anything, or until the deadline.
func (s *site) awaitIdleWorkers(deadline time.Time) {
	for time.Now().Before(deadline) {
		running := 0
		for _, w := range s.workers {
			if incarnation, _ := w.current(); incarnation != nil {
				running += incarnation.Running()
			}
		}
		if running == 0 {
			return
		}
		time.Sleep(maxGap)
	}
}

// recordUsage records the resource usage of each process.
func (s *site) recordUsage() {
	time.Sleep(usageDelay)
	for _, h := range s.hosts {
		p := h.running()
		if p == nil {
			continue
		}
		files, bytes, err := p.usage()
		if err != nil {
			s.t.Error(p.incarnation, err)
			continue
		}
		s.record(event{Kind: eventUsage, Host: p.incarnation, Count: files, Bytes: bytes})
	}
}

// stopAll stops all hosts with planned stops.
func (s *site) stopAll() {
	var wg sync.WaitGroup
	for _, h := range s.hosts {
		if p := h.running(); p != nil {
			wg.Go(func() {
				if err := p.stop(true); err != nil {
					s.t.Error(err)
				}
			})
		}
	}
	wg.Wait()
}

// killAll kills the processes that are left, through their own handles, and
// ends the workers' incarnations with their goroutines.
func (s *site) killAll() {
	for _, h := range s.hosts {
		if p := h.running(); p != nil {
			_ = p.signal(syscall.SIGKILL)
			<-p.ended
		}
	}
	for _, w := range s.workers {
		if incarnation, _ := w.current(); incarnation != nil {
			incarnation.Crash()
			w.closeListener()
		}
	}
}
