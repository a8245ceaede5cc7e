//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"

	"curlewsill.org/curlewsill/platform/standin"
)

// cutTime is how long the host is cut off: the site file's trouble node_cut has
// for_s = 5.5.
const cutTime = 5500 * time.Millisecond

// cancelCase hands a job in at a host that was cut off a moment ago. The client
// gets no 2xx, and cancels the job at another host, which acknowledges that.
func cancelCase(s *site, trouble bool) (string, error) {
	work := map[string]standin.Work{"short": {Duration: 500 * time.Millisecond}}
	s.store.PutSite()
	for i, zone := range zones {
		if _, err := s.addWorker(fmt.Sprintf("ex%d", i), fmt.Sprintf("m%d", i), zone, work); err != nil {
			return "", err
		}
	}
	owner, err := s.startHosts()
	if err != nil {
		return "", err
	}
	for _, zone := range zones { // with them, the host that is cut off is 1 of 6
		if _, err := s.addHost("edge-"+zone+"-2", zone); err != nil {
			return "", fmt.Errorf("%w: %w", errRun, err)
		}
	}
	time.Sleep(3 * time.Second)
	var cut, other *host
	for _, h := range s.hosts {
		switch {
		case h == owner:
		case cut == nil:
			cut = h
		default:
			other = h
		}
	}
	for i, h := range s.hosts {
		name := fmt.Sprintf("000000000000000%d", i)
		if a, err := s.call(h, http.MethodPost, name, standin.JobBody(1, "short")); err != nil || a.Status != http.StatusOK {
			return "", fmt.Errorf("%w: a job isn't accepted before the trouble", errRun)
		}
		if !s.awaitDone(h, name, 10*time.Second) {
			return "", fmt.Errorf("%w: a job isn't done before the trouble", errRun)
		}
	}

	if trouble {
		s.log("host %s is cut off for %v", cut.name, cutTime)
		s.cutOff(cut)
		time.AfterFunc(cutTime, func() {
			_ = s.heal(cut)
			s.log("host %s is no longer cut off", cut.name)
		})
		time.Sleep(20 * time.Millisecond)
	}
	results := make(chan cancelled, clients)
	for n := range clients {
		go func() {
			time.Sleep(time.Duration(n) * 40 * time.Millisecond)
			results <- s.handInAndCancel(cut, other, fmt.Sprintf("5c0e7a21d94b36f%d", n))
		}()
	}
	var jobs []cancelled
	for range clients {
		jobs = append(jobs, <-results)
	}
	time.Sleep(15 * time.Second)
	for _, j := range jobs {
		if j.acked.IsZero() {
			continue
		}
		_, _ = s.call(other, http.MethodGet, j.name, nil)
		for _, x := range s.startsOf(j.name) {
			if late := x.at.Sub(j.acked); late > cancelMs {
				return fmt.Sprintf("UNASKED: %s starts on %s %v after the cancelling was acknowledged, cancel_ms is %v", x.task, x.worker, late.Round(time.Millisecond), cancelMs), nil
			}
		}
	}
	return "", nil
}

// clients is how many clients hand a job in, 40 ms apart.
const clients = 4

// cancelled is a job, and when its cancelling was acknowledged; zero if it was not
// cancelled, since it was rejected.
type cancelled struct {
	name  string
	acked time.Time
}

// handInAndCancel hands a job in at a host. Unless it is rejected, the client cancels it
// at another host, until that is acknowledged.
func (s *site) handInAndCancel(at, other *host, job string) cancelled {
	a, err := s.call(at, http.MethodPost, job, standin.JobBody(1, "short"))
	if err == nil && (a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests) {
		return cancelled{name: job}
	}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		a, err := s.call(other, http.MethodDelete, job, nil)
		if err == nil && (a.Status/100 == 2 || a.Status == http.StatusGone) {
			return cancelled{name: job, acked: time.Now()}
		}
	}
	return cancelled{name: job}
}
