//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

// playStray: a configuration takes a route away whose prefix continues that of
// another route. A client that doesn't know it yet hands a job in on the old path.
// Another client's job of two steps comes much later.
func playStray(s *site, trouble bool) (string, error) {
	routes := []route{{name: "labels", priority: 1, attempts: 2}, {name: "labels/v2.1", priority: 1, attempts: 2}}
	if err := s.start3(3, routes); err != nil {
		return "", err
	}
	const old, job = "00000000000000a3", "00000000000000b3"
	north, south := s.newClient("key-north"), s.newClient("key-south")
	if !wait(10*time.Second, func() bool { return south.state("/labels/v2.1/"+old) == "gone" }) {
		return "", fmt.Errorf("%w: the hosts don't serve", errSetUp)
	}
	if trouble {
		s.configure(2, routes[:1], bothTenants)
		time.Sleep(4 * time.Second) // ConfigApplyMs is 2,000
	}
	spread, one := 3, 1
	body := func(steps ...map[string]any) map[string]any {
		for _, x := range steps {
			x["Cpu"], x["MemMb"], x["Gpus"], x["EstimateMs"] = 8000, 1024, 1, 1000
		}
		return map[string]any{"TaskSpec": "done 1s 1", "Steps": steps}
	}
	err := south.submit("/labels/v2.1/"+old, body(map[string]any{"Count": spread, "AntiAffinity": one}))
	s.event("note", "old-path", fmt.Sprint(err))
	time.Sleep(10 * time.Second)
	if err := north.submit("/labels/"+job, body(map[string]any{"Count": 1}, map[string]any{"Count": 1, "DependsOn": []int{0}})); err != nil {
		return "", err
	}
	if waitEvery(pollState, 20*time.Second, func() bool { return north.state("/labels/"+job) == "completed" }) {
		return "", nil
	}
	var first, second *seenRun
	for _, r := range s.runsOf(job) {
		switch {
		case r.task == job+".0.0.0" && r.how == "done":
			first = &r
		case r.task == job+".0.1.0":
			second = &r
		}
	}
	state := north.state("/labels/" + job)
	switch {
	case first == nil:
		return fmt.Sprintf("LOST: 20 s after it was accepted, the job is %s and its first task hasn't ended", state), nil
	case second == nil:
		return fmt.Sprintf("LOST: the job is %s, its first task ended done %.1f s ago, and the second one, whose turn has come, doesn't run; 1 of 24 accelerators is in use at most", state, time.Since(first.to).Seconds()), nil
	}
	return fmt.Sprintf("LOST: the job is %s, though its tasks ended done", state), nil
}

// playForeign: a tenant's key is taken away. The client that has it calls on a route
// that needs no key, with the ID of the tenant's job on another route.
func playForeign(s *site, trouble bool) (string, error) {
	routes := []route{{name: "labels", priority: 1, attempts: 2}, {name: "open", priority: 2, attempts: 2, anonymous: true}}
	if err := s.start3(2, routes); err != nil {
		return "", err
	}
	const job = "00000000000000a4"
	north, revoked := s.newClient("key-north"), s.newClient("key-left")
	keys := tenants{"north": {"key-north", "key-left"}, "south": {"key-south"}}
	s.configure(2, routes, keys)
	time.Sleep(3 * time.Second)
	if err := north.submit("/labels/"+job, map[string]any{"TaskSpec": "done 40s 1", "Steps": []any{map[string]any{"Count": 1, "Cpu": 8000, "MemMb": 1024, "Gpus": 1, "EstimateMs": 40000}}}); err != nil {
		return "", err
	}
	if !wait(10*time.Second, func() bool { return len(s.hosting(job)) == 1 }) {
		return "", fmt.Errorf("%w: the job doesn't run", errSetUp)
	}
	if trouble {
		s.configure(3, routes, bothTenants)
	}
	time.Sleep(6 * time.Second) // ConfigApplyMs is 2,000, RevokeMs 5,000
	h := s.hosts[0]
	if status, _ := revoked.call(h, http.MethodGet, "/labels/"+job, nil); trouble && status != http.StatusUnauthorized {
		return fmt.Sprintf("CONFIG: the revoked key got %d on its own route", status), nil
	}
	seen, text := revoked.call(h, http.MethodGet, "/open/"+job, nil)
	status, _ := revoked.call(h, http.MethodDelete, "/open/"+job, nil)
	time.Sleep(4 * time.Second)
	state := north.state("/labels/" + job)
	if trouble && (seen == http.StatusOK || state == "cancelled") { // with a valid key, the calls are the tenant's own
		return fmt.Sprintf("CONFIG: with the revoked key, a GET on the route without keys got %d %s, a DELETE %d; the tenant's job is now %s", seen, text, status, state), nil
	}
	return "", nil
}
