//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"curlewsill.org/curlewsill/platform/standin"
)

const (
	// soundExecutors is the number of executors that stay up. The one that goes down and
	// up is 1 of 10: srv_flap has share = 0.1 on the grown site.
	soundExecutors = 9
	// upTime and downTime are how long that executor is up, and down. Their sum is its
	// gap_s there, 1.4; flapTime is its for_s, 6.5.
	upTime, downTime = 700 * time.Millisecond, 700 * time.Millisecond
	flapTime         = 6500 * time.Millisecond
)

// flapCase hands a job in while all executors but one are full. That one goes down and
// up by turns, so that the job's task is started there again and again.
func flapCase(s *site, trouble bool) (string, error) {
	work := map[string]standin.Work{"long": {Duration: 75 * time.Second}, "short": {Duration: 4 * time.Second}}
	s.store.PutSite()
	for i := range soundExecutors {
		if _, err := s.addWorker(fmt.Sprintf("sound%d", i), fmt.Sprintf("m%d", i), zones[i%len(zones)], work); err != nil {
			return "", err
		}
	}
	owner, err := s.startHosts()
	if err != nil {
		return "", err
	}
	hand := func(name, payload string, estimate int) error {
		body := fmt.Appendf(nil, `{"TaskSpec":%q,"Steps":[{"Count":1,"Cpu":8000,"MemMb":100,"Gpus":8,"EstimateMs":%d}]}`, payload, estimate)
		if a, err := s.call(owner, http.MethodPost, name, body); err != nil || a.Status != http.StatusOK {
			return fmt.Errorf("%w: a job isn't accepted", errRun)
		}
		return nil
	}
	for i := range soundExecutors {
		if err := hand(fmt.Sprintf("5c0e7a21d94b36a%d", i), "long", 75000); err != nil {
			return "", err
		}
	}
	time.Sleep(2 * time.Second)
	life := 0
	flapper, err := s.addWorker("flapper-life0", "mf", zones[0], work)
	if err != nil {
		return "", err
	}
	const job = "5c0e7a21d94b36f8"
	if err := hand(job, "short", 4000); err != nil {
		return "", err
	}
	done := make(chan struct{})
	defer close(done)
	if trouble {
		go func() {
			for end := time.Now().Add(flapTime); time.Now().Before(end); {
				if !sleep(done, upTime) {
					return
				}
				s.log("executor %s crashes", flapper.ID())
				flapper.Crash()
				// The entry goes after three heartbeats of silence.
				old := flapper
				time.AfterFunc(3*1500*time.Millisecond, func() { s.store.DropWorker(old.ID()) })
				close(old.stop)
				if !sleep(done, downTime) {
					return
				}
				life++
				if flapper, err = s.addWorker(fmt.Sprintf("flapper-life%d", life), "mf", zones[0], work); err != nil {
					return
				}
				s.log("executor %s is up", flapper.ID())
			}
		}()
	}
	for end := time.Now().Add(80 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		a, err := s.call(s.hosts[0], http.MethodGet, job, nil)
		if err != nil {
			continue
		}
		switch a.State {
		case "completed":
			return "", nil
		case "failed":
			if n := s.failedEnds(job); n == 0 {
				return fmt.Sprintf("LOST: job %s is shown as failed after %d starts; none of its runs ended failed", job, len(s.startsOf(job))), nil
			}
			return "", nil
		}
	}
	return "", nil
}

// sleep waits for d, and reports false if done is closed before.
func sleep(done <-chan struct{}, d time.Duration) bool {
	select {
	case <-done:
		return false
	case <-time.After(d):
		return true
	}
}

// failedEnds returns how many runs of a job ended failed.
func (s *site) failedEnds(job string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, e := range s.ends {
		if strings.HasPrefix(e.Task, job+".") && e.Outcome == "failed" {
			n++
		}
	}
	return n
}
