//go:build review

package main

import (
	"bytes"
	"fmt"
	"net/http"
	"time"

	"curlewsill.org/curlewsill/platform/standin"
)

const (
	// largeJobs is how many large jobs are handed in, one a second.
	largeJobs = 40
	// largeSteps is the number of steps of each. With it, a job has 252,814 bytes; the
	// site takes 262,144.
	largeSteps = 7900
	// lostAfter is how long a job may have nothing running while there is room.
	lostAfter = 3 * time.Second
	// watched is how long the small job is watched.
	watched = 25 * time.Second
)

// largeCase hands in large jobs whose steps need a label that no executor has now, and
// then a small job that every executor can run. All executors are idle.
func largeCase(s *site, trouble bool) (string, error) {
	work := map[string]standin.Work{"short": {Duration: time.Second}}
	s.store.PutSite()
	for i := range 6 {
		if _, err := s.addWorker(fmt.Sprintf("ex%d", i), fmt.Sprintf("m%d", i), zones[i%len(zones)], work); err != nil {
			return "", err
		}
	}
	owner, err := s.startHosts()
	if err != nil {
		return "", err
	}
	var body bytes.Buffer
	body.WriteString(`{"TaskSpec":"x","Steps":[`)
	for n := range largeSteps {
		if n > 0 {
			body.WriteByte(',')
		}
		body.WriteString(`{"Count":1,"Requirements":"k"}`)
	}
	body.WriteString("]}")
	if trouble {
		for i := range largeJobs {
			began := time.Now()
			_, _ = s.call(s.hosts[i%len(s.hosts)], http.MethodPost, fmt.Sprintf("%016x", i), body.Bytes())
			time.Sleep(time.Until(began.Add(time.Second)))
		}
	}
	other := s.hosts[0]
	if other == owner {
		other = s.hosts[1]
	}
	const small = "5c0e7a21d94b36f8"
	accepted := time.Time{}
	for end := time.Now().Add(10 * time.Second); accepted.IsZero() && time.Now().Before(end); {
		if a, err := s.call(other, http.MethodPost, small, standin.JobBody(1, "short")); err == nil && a.Status == http.StatusOK {
			accepted = time.Now()
		}
	}
	if accepted.IsZero() {
		return "", fmt.Errorf("%w: the small job isn't accepted", errRun)
	}
	for time.Since(accepted) < watched && len(s.startsOf(small)) == 0 {
		time.Sleep(50 * time.Millisecond)
	}
	waited := time.Since(accepted).Round(time.Millisecond)
	begun := len(s.startsOf(small)) > 0
	_, _ = s.call(other, http.MethodGet, small, nil)
	if waited <= lostAfter {
		return "", nil
	}
	if !begun {
		return fmt.Sprintf("LOST: job %s has had nothing running for %v, and still has not, with all executors idle", small, waited), nil
	}
	return fmt.Sprintf("LOST: job %s had nothing running for %v, with all executors idle", small, waited), nil
}
