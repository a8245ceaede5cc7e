//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// restartDelay is how long the platform takes to start an ended process again.
	restartDelay = 500 * time.Millisecond
	// maxExits and minHosts are the bounds of the rule: processes end by themselves
	// three times on two machines.
	maxExits, minHosts = 3, 2
)

// playSuffix: a client hands a job in under the ID of another tenant's job with a
// suffix. The other job is timed and not due yet. The platform starts processes that
// end again.
func playSuffix(s *site, trouble bool) (string, error) {
	if err := s.start3(2, []route{{name: "labels", priority: 1, attempts: 2}}); err != nil {
		return "", err
	}
	const timed = "00000000000000a5"
	north, south := s.newClient("key-north"), s.newClient("key-south")
	step := map[string]any{"Count": 1, "Cpu": 8000, "MemMb": 1024, "Gpus": 1, "EstimateMs": 300}
	if err := north.submit("/labels/"+timed, map[string]any{
		"TaskSpec": "done 300ms 1", "Steps": []any{step}, "FirstMs": time.Now().Add(time.Hour).UnixMilli(), "IntervalMs": 2000, "RepeatCount": 2,
	}); err != nil {
		return "", err
	}
	if trouble {
		status, _ := south.call(s.hosts[0], http.MethodPost, "/labels/"+timed+".0", mustJSON(map[string]any{"TaskSpec": "done 2500ms 1", "Steps": []any{step}}))
		s.event("note", "suffix", status)
	}
	exits, err := s.supervise(time.Now().Add(92 * time.Second))
	if err != nil {
		return "", err
	}
	often := 0
	for _, n := range exits {
		if n >= maxExits {
			often++
		}
	}
	state := north.state("/labels/" + timed)
	again := 0
	for _, r := range s.runsOf(timed + ".0") {
		if r.how == "done" && !r.notedAt.IsZero() {
			again++
		}
	}
	if often >= minHosts {
		return fmt.Sprintf("Fault: processes have ended by themselves, by host: %v; the timed job is %s; the one task of the other job has ended done, taken note of, %d times", exits, state, again), nil
	}
	if state != "queued" {
		return fmt.Sprintf("LOST: the timed job is %s", state), nil
	}
	return "", nil
}
