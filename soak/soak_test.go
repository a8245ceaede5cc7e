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
	seeds    = flag.Int("seeds", 0, "seeds of the long run")
	first    = flag.Uint64("first", 1000, "first seed of the long run")
	duration = flag.Duration("duration", 30*time.Second, "how long a seed of the long run begins faults")
	hosts    = flag.String("hosts", "3..7", "hosts of the long run, from..to by seed")
	workersN = flag.Int("workers", 0, "workers of the long run, 0 for a third more than hosts and two")
	keep     = flag.String("keep", "", "folder for logs, also of seeds that pass; without it those of failed seeds stay in the system's temporary folder")
	only     = flag.String("only", "", "kinds of faults of the long run, or KIND/VARIANT, with commas between; the others of the plan are left out")
	wide     = flag.Bool("wide", false, "the long run plays wide plans")
	hand     = flag.Bool("hand", false, "play the seeds that testdata/seeds.txt leaves to runs by hand")
	recorded = flag.String("recorded", "testdata/recorded.jsonl", "file of events to judge again")
)

// program is the product's binary.
var program string

// callersOf is how many callers a site has.
const callersOf = 6

// endTime bounds how long accepted jobs may take after all faults, far above the few seconds they need.
const endTime = 90 * time.Second

// restTime is how long processes rest before it is measured what they hold.
const restTime = time.Second

// TestMain builds the product once.
func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(run(m))
}

// sources are the folders from which the program is built.
var sources = []string{"../cmd", "../core", "../internal", "../platform"}

// readSources reads what the program is built from. The go command keeps a result only while the files that its tests
// have read are the same; without it a changed program wasn't played again. Reads before the tests run don't count.
func readSources() error {
	for _, dir := range sources {
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

func run(m *testing.M) int {
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
	playSeeds(t, "seeds.txt", func(seed uint64, hosts, workers int, lasts time.Duration, _ string) plan {
		return drawPlan(seed, hosts, workers, lasts)
	})
}

// TestWide plays the seeds of testdata/wide.txt, which is written likewise, as wide plans. A cause that begins
// with "only KIND,KIND" leaves out the other kinds of a plan.
func TestWide(t *testing.T) {
	playSeeds(t, "wide.txt", func(seed uint64, hosts, workers int, lasts time.Duration, cause string) plan {
		p := drawWide(seed, hosts, workers, lasts)
		if f := strings.Fields(cause); len(f) > 1 && f[0] == "only" {
			p = p.with(f[1])
		}
		return p
	})
}

// playSeeds plays the seeds of a file of testdata side by side.
func playSeeds(t *testing.T, file string, draw func(seed uint64, hosts, workers int, lasts time.Duration, cause string) plan) {
	if err := readSources(); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(filepath.Join("testdata", file))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		line, byHand := strings.CutPrefix(line, "hand ")
		if byHand && !*hand {
			continue
		}
		var seed uint64
		var nh, nw int
		var lasts string
		if _, err := fmt.Sscan(line, &seed, &nh, &nw, &lasts); err != nil {
			continue // a comment
		}
		d, err := time.ParseDuration(lasts)
		if err != nil {
			t.Fatal(line, err)
		}
		_, cause, _ := strings.Cut(line, lasts)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			play(t, draw(seed, nh, nw, d, cause))
		})
	}
}

// TestLong plays seeds one after the other.
func TestLong(t *testing.T) {
	var from, to int
	if _, err := fmt.Sscanf(*hosts, "%d..%d", &from, &to); err != nil || from < 1 || to < from {
		t.Fatalf("-hosts %q is not FROM..TO", *hosts)
	}
	for i := range *seeds {
		seed := *first + uint64(i)
		nh := from + int(seed)%(to-from+1)
		nw := *workersN
		if nw == 0 {
			nw = nh + nh/3 + 2
		}
		p := drawPlan(seed, nh, nw, *duration)
		if *wide {
			p = drawWide(seed, nh, nw, *duration)
		}
		if *only != "" {
			p = p.with(*only)
		}
		t.Run(fmt.Sprint(seed), func(t *testing.T) { play(t, p) })
	}
}

// with returns a plan with some kinds of its faults only, with commas between: KIND, or KIND/VARIANT.
func (p plan) with(kinds string) plan {
	wanted := strings.Split(kinds, ",")
	p.faults = slices.DeleteFunc(p.faults, func(f fault) bool {
		return !slices.Contains(wanted, f.what) && !slices.Contains(wanted, f.what+"/"+f.how)
	})
	return p
}

// play plays a plan and fails with what was broken. The logs of a failed plan stay.
func play(t *testing.T, p plan) {
	root := *keep
	if root == "" {
		root = os.TempDir()
	}
	p.branch()
	dir, err := os.MkdirTemp(root, fmt.Sprintf("soak-%d-", p.seed))
	if err != nil {
		t.Fatal(err)
	}
	s := newSite(t, p, dir)
	t.Cleanup(func() {
		s.killAll()
		if t.Failed() {
			t.Logf("seed %d, %d hosts, %d workers, %v: logs in %s", p.seed, p.hosts, p.workers, p.lasts, dir)
			return
		}
		if *keep == "" {
			_ = os.RemoveAll(dir)
		}
	})
	stopAsking := s.keepAsking()
	all := &callers{site: s, queues: map[string]standin.Queue{}}
	var calling sync.WaitGroup
	for n := range callersOf {
		c := all.newCaller(p.seed, n)
		calling.Go(func() { c.run(s.began.Add(p.lasts), fmt.Sprintf("%08x%04x", uint32(p.seed), n)) })
	}
	s.inject(p)
	t.Logf("all faults have ended after %v", time.Since(s.began))
	calling.Wait()
	all.newCaller(p.seed, callersOf).askAll(time.Now().Add(endTime))
	t.Logf("all jobs have ended after %v", time.Since(s.began))
	s.awaitRest(time.Now().Add(endTime))
	s.crashing.Wait()
	t.Logf("all runs have ended after %v", time.Since(s.began))
	s.measure()
	stopAsking()
	s.stopAll()
	s.tell(event{Kind: settled})
	for _, v := range s.broken() {
		t.Error(v)
	}
	t.Logf("seed %d: %d hosts, %d workers, %d faults, %d jobs, %d accepted, %d calls, %d tasks in %v", p.seed, p.hosts, p.workers,
		len(p.faults), len(all.jobs), len(all.accepted), all.call.Load(), len(s.judge.tasks), time.Since(s.began).Round(time.Second))
}

// keepAsking asks each host each second whether it is ready, until it is ended.
func (s *site) keepAsking() (stop func()) {
	done := make(chan struct{})
	var asking sync.WaitGroup
	for _, h := range s.hosts {
		c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		asking.Go(func() {
			for {
				if p := h.newest(); p != nil && p.readiness != "" {
					p.askReady(c)
				}
				select {
				case <-done:
					return
				case <-time.After(time.Second):
				}
			}
		})
	}
	return func() { close(done); asking.Wait() }
}

// awaitRest waits until no worker runs anything.
func (s *site) awaitRest(end time.Time) {
	for time.Now().Before(end) {
		left := 0
		for _, w := range s.workers {
			if life, _ := w.present(); life != nil {
				left += life.Running()
			}
		}
		if left == 0 {
			return
		}
		time.Sleep(mostGap)
	}
}

// measure tells what each process holds.
func (s *site) measure() {
	time.Sleep(restTime)
	for _, h := range s.hosts {
		p := h.present()
		if p == nil {
			continue
		}
		files, bytes, err := p.usageOf()
		if err != nil {
			s.t.Error(p.life, err)
			continue
		}
		s.tell(event{Kind: usage, Host: p.life, Count: files, Bytes: bytes})
	}
}

// stopAll stops all hosts as planned.
func (s *site) stopAll() {
	var all sync.WaitGroup
	for _, h := range s.hosts {
		if p := h.present(); p != nil {
			all.Go(func() {
				if err := p.end(true); err != nil {
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
		if p := h.present(); p != nil {
			_ = p.signal(syscall.SIGKILL)
			<-p.ended
		}
	}
	for _, w := range s.workers {
		if life, _ := w.present(); life != nil {
			life.Crash()
			w.stop()
		}
	}
}
