// Package hostile checks that clients which misbehave can't exhaust a host.
//
// Each file below testdata describes one crowd of clients and the limits of the
// process that it meets. The process runs as on a real machine: it listens on
// loopback addresses and talks to stand-ins of the platform in the test. It must
// stay alive, within the memory and the descriptors of its settings, and must
// answer ordinary requests beside the crowd and after it.
//
// The cases run one after the other. They check no durations and no shares of
// requests, so that the speed of the machine doesn't matter.
package hostile

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// dwellTime is how long the process meets the whole crowd.
const dwellTime = 3 * time.Second

const (
	// programVar and descriptorsVar make the test binary replace itself by the
	// program in programVar, with a limit on its open files.
	programVar     = "HOSTILE_PROGRAM"
	descriptorsVar = "HOSTILE_DESCRIPTORS"
)

// program is the path of the built curlewsilld.
var program string

// TestMain builds curlewsilld once.
func TestMain(m *testing.M) {
	if p := os.Getenv(programVar); p != "" {
		fmt.Fprintln(os.Stderr, replaceBy(p, os.Getenv(descriptorsVar)))
		os.Exit(1)
	}
	os.Exit(runTests(m))
}

// replaceBy replaces this process by a program. It returns only if that fails.
func replaceBy(path, descriptors string) error {
	n, err := strconv.ParseUint(descriptors, 10, 64)
	if err != nil {
		return err
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: n, Max: n}); err != nil {
		return err
	}
	return syscall.Exec(path, append([]string{path}, os.Args[1:]...), os.Environ())
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "hostile-program-")
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

// TestSite plays each crowd against the listener for clients of curlewsilld site.
func TestSite(t *testing.T) { playAll(t, "site", startSite) }

// TestEdge plays each crowd against the listener for callers of curlewsilld.
func TestEdge(t *testing.T) { playAll(t, "edge", startEdge) }

// playAll plays the cases of a folder, one after the other.
func playAll(t *testing.T, folder string, start func(*testing.T, *scenario) *target) {
	files, err := filepath.Glob(filepath.Join("testdata", folder, "*.txtar"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no cases in %s: %v", folder, err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) {
			s, err := readScenario(file)
			if err != nil {
				t.Fatal(err)
			}
			play(t, s, start(t, s))
		})
	}
}

// play sends the crowd to the process and checks the process beside the crowd and
// after it.
func play(t *testing.T, s *scenario, p *target) {
	p.awaitOrdinary(t, "before the crowd")
	m := newMeter(p)
	c := startCrowd(t, s, p)
	c.awaitSettled()
	time.Sleep(dwellTime)
	p.awaitOrdinary(t, "beside the crowd")
	c.stop()
	p.awaitOrdinary(t, "after the crowd")
	peak := m.stop()
	t.Logf("peaks: resident and unread %d KiB, resident %d KiB, unread %d KiB, descriptors %d; %s",
		peak.total>>10, peak.resident>>10, peak.unread>>10, peak.descriptors, c.summary())
	if p.hasEnded() {
		t.Fatal("the process has ended")
	}
	if limit := s.memory; max(peak.total, peak.resident) > limit {
		t.Errorf("resident memory and unread bytes: %d KiB at the peak, the limit is %d KiB", max(peak.total, peak.resident)>>10, limit>>10)
	}
	if peak.descriptors > s.descriptors {
		t.Errorf("open descriptors: %d at the peak, the limit is %d", peak.descriptors, s.descriptors)
	}
	c.checkWanted(t)
}
