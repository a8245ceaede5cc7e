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
	seedsFlag    = flag.Int("seeds", 0, "seeds of the long run")
	firstFlag    = flag.Uint64("first", 1000, "first seed of the long run")
	durationFlag = flag.Duration("duration", 30*time.Second, "how long a seed of the long run begins faults")
	hostsFlag    = flag.String("hosts", "3..7", "hosts of the long run, from..to by seed")
	workersFlag  = flag.Int("workers", 0, "workers of the long run, 0 for a third more than hosts and two")
	keepFlag     = flag.String("keep", "", "folder for logs, also of seeds that pass; without it those of failed seeds stay in the system's temporary folder")
	onlyFlag     = flag.String("only", "", "kinds of faults of the long run, or KIND/VARIANT, with commas between; the others of the plan are left out")
	wideFlag     = flag.Bool("wide", false, "the long run plays wide plans")
	handFlag     = flag.Bool("hand", false, "play the seeds that testdata/seeds.txt leaves to runs by hand")
	recordedFlag = flag.String("recorded", "testdata/recorded.jsonl", "file of events to judge again")
)

// program is the product's binary.
var program string

// callersOf is how many callers a site has.
const callersPerSite = 6

// endTime bounds how long accepted jobs may take after all faults, far above the few seconds they need.
const completionTimeout = 90 * time.Second

// restTime is how long processes rest before it is measured what they hold.
const usageDelay = time.Second

// TestMain builds the product once.
func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(runTests(m))
}

// sources are the folders from which the program is built.
var sourceDirs = []string{"../cmd", "../core", "../internal", "../platform"}

// readSources reads what the program is built from. The go command keeps a result only while the files that its tests
// have read are the same; without it a changed program wasn't played again. Reads before the tests run don't count.
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

// TestSoak plays the seeds of testdata/seeds.txt: the fixed ones of each run, and each that ever failed.
// A line is "SEED HOSTS WORKERS DURATION cause"; "hand" before it leaves it to runs by hand.
func TestSoak(t *testing.T) {
	runSeedFile(t, "seeds.txt", func(seed uint64, hosts, workers int, faultPhase time.Duration, _ string) plan {
		return drawPlan(seed, hosts, workers, faultPhase)
	})
}

// TestWide plays the seeds of testdata/wide.txt, which is written likewise, as wide plans. A cause that begins
// with "only KIND,KIND" leaves out the other kinds of a plan.
func TestWide(t *testing.T) {
	runSeedFile(t, "wide.txt", func(seed uint64, hosts, workers int, faultPhase time.Duration, cause string) plan {
		p := drawWide(seed, hosts, workers, faultPhase)
		if f := strings.Fields(cause); len(f) > 1 && f[0] == "only" {
			p = p.withKinds(f[1])
		}
		return p
	})
}

// playSeeds plays the seeds of a file of testdata side by side.
func runSeedFile(t *testing.T, file string, draw func(seed uint64, hosts, workers int, phaseText time.Duration, cause string) plan) {
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

// TestLong plays seeds one after the other.
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

// with returns a plan with some kinds of its faults only, with commas between: KIND, or KIND/VARIANT.
func (p plan) withKinds(kinds string) plan {
	wanted := strings.Split(kinds, ",")
	p.faults = slices.DeleteFunc(p.faults, func(f fault) bool {
		return !slices.Contains(wanted, f.kind) && !slices.Contains(wanted, f.kind+"/"+f.variant)
	})
	return p
}

// play plays a plan and fails with what was broken. The logs of a failed plan stay.
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
	var calling sync.WaitGroup
	for n := range callersPerSite {
		c := pool.newCaller(p.seed, n)
		calling.Go(func() { c.run(s.startedAt.Add(p.faultPhase), fmt.Sprintf("%08x%04x", uint32(p.seed), n)) })
	}
	s.inject(p)
	t.Logf("all faults have ended after %v", time.Since(s.startedAt))
	calling.Wait()
	pool.newCaller(p.seed, callersPerSite).awaitJobs(time.Now().Add(completionTimeout))
	t.Logf("all jobs have ended after %v", time.Since(s.startedAt))
	s.awaitIdleWorkers(time.Now().Add(completionTimeout))
	s.crashing.Wait()
	t.Logf("all runs have ended after %v", time.Since(s.startedAt))
	s.recordUsage()
	stopPolling()
	s.stopAll()
	s.record(event{Kind: eventSettled})
	for _, v := range s.violations() {
		t.Error(v)
	}
	t.Logf("seed %d: %d hosts, %d workers, %d faults, %d jobs, %d accepted, %d calls, %d tasks in %v", p.seed, p.hosts, p.workers,
		len(p.faults), len(pool.jobs), len(pool.accepted), pool.lastCall.Load(), len(s.judge.tasks), time.Since(s.startedAt).Round(time.Second))
}

// keepAsking asks each host each second whether it is ready, until it is ended.
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

// awaitRest waits until no worker runs anything.
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

// measure tells what each process holds.
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

// stopAll stops all hosts as planned.
func (s *site) stopAll() {
	var all sync.WaitGroup
	for _, h := range s.hosts {
		if p := h.running(); p != nil {
			all.Go(func() {
				if err := p.stop(true); err != nil {
					s.t.Error(err)
				}
			})
		}
	}
	all.Wait()
}

// killAll ends the processes that are left, by their own handles, and the workers' clocks.
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
