package demo

import (
	"context"
	"fmt"
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/config"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/record"
	"curlewsill.org/curlewsill/core/state"
	"curlewsill.org/curlewsill/internal/load"
	"curlewsill.org/curlewsill/internal/standin/logsvc"
)

const (
	// pollInterval is how often the state of the hosts is polled.
	pollInterval = 50 * time.Millisecond
	// changeInterval is the pause between two changes of the configuration.
	changeInterval = time.Second
	// jobs is how many gangs are submitted, one every jobInterval.
	jobs        = 40
	jobInterval = 150 * time.Millisecond
	// drainTimeout bounds the wait for the gangs to end.
	drainTimeout = 30 * time.Second
)

// Report is the result of a run.
type Report struct {
	Site     string      `json:"site"`
	Requests load.Report `json:"requests"`
	// Jobs counts the gangs by their last state.
	Jobs map[state.JobState]int `json:"jobs"`
	// Started counts the gangs whose gates were opened. StartedTwice counts the
	// gangs that were started under more than one lease although they must not
	// be repeated.
	Started      int `json:"started"`
	StartedTwice int `json:"twice"`
	// Fragmentation is the mean share of free accelerators that could not serve
	// the gang sizes in demand.
	Fragmentation float64 `json:"fragmentation"`
	// InForce is the longest time from the acceptance of a plan until the plan was
	// in force on every host.
	InForce time.Duration `json:"in_force"`
	Changes int           `json:"changes"`
	// Refused counts the changes that were not accepted because of the log's
	// outage.
	Refused int `json:"changes_refused"`
	Appends int `json:"appends"`
	// Violations lists the invariants that did not hold; it is empty if all
	// did.
	Violations []string `json:"violations"`
}

// run sends the load, takes the log down for a while, and checks the
// invariants.
func (d *Demo) run(ctx context.Context) (Report, error) {
	rep := Report{Site: d.site}
	length := beforeOutage + outage + afterOutage
	done := make(chan error, 3)
	go func() {
		var err error
		rep.Requests, err = d.requests(ctx, length)
		done <- err
	}()
	go func() { done <- d.submitJobs(ctx) }()
	go func() { done <- d.changeConfig(ctx, length, &rep) }()
	d.progressf("sending %d requests per second and %d gangs, with a configuration change every %s", requestRate, jobs, changeInterval)
	fragmentation := make(chan float64, 1)
	watchCtx, stopWatching := context.WithCancel(ctx)
	go func() { fragmentation <- d.watchFragmentation(watchCtx) }()
	time.Sleep(beforeOutage)
	d.progressf("the log is unavailable for %s; requests are still served, but no change is accepted", outage)
	d.logs.SetFaults(logsvc.Faults{Mode: logsvc.Refuse})
	time.Sleep(outage)
	d.logs.SetFaults(logsvc.Faults{})
	d.progressf("the log is available again")
	for range cap(done) {
		if err := <-done; err != nil {
			stopWatching()
			return rep, err
		}
	}
	err := d.drain(ctx, &rep)
	stopWatching()
	rep.Fragmentation = <-fragmentation
	if err != nil {
		return rep, err
	}
	d.check(ctx, &rep)
	return rep, nil
}

// submitJobs submits gangs of several sizes.
func (d *Demo) submitJobs(ctx context.Context) error {
	sizes := []int{1, 2, 4, 8, 8, 16, 16, 32, 64}
	for i := range jobs {
		j := record.Job{
			ID: id.Job(fmt.Sprintf("demo-%02d", i)), Customer: d.customers[i%len(d.customers)],
			Accelerators: sizes[i%len(sizes)], Declared: 3 * time.Second,
			Command: fmt.Sprintf("run %ds", 1+i%4), AtMostOnce: i%5 == 0, Urgent: i%7 == 0,
		}
		if err := d.submit(ctx, j); err != nil {
			return err
		}
		time.Sleep(jobInterval)
	}
	return nil
}

// submit submits a job until an answer, or the list of jobs, confirms that it
// is on the log.
func (d *Demo) submit(ctx context.Context, j record.Job) error {
	var err error
	for _, c := range append(slices.Clone(d.clients), d.clients...) {
		// A job that exists was accepted by an earlier call whose answer was
		// lost.
		if _, err = c.Submit(ctx, j); err == nil || d.hasJob(ctx, j.ID) {
			return nil
		}
	}
	return err
}

func (d *Demo) hasJob(ctx context.Context, name id.Job) bool {
	js, err := d.clients[0].Jobs(ctx)
	return err == nil && slices.ContainsFunc(js, func(j state.Job) bool { return j.Spec.ID == name })
}

// changeConfig changes a customer's weight repeatedly. It measures for each
// change how long it takes until the change is in force on every host.
func (d *Demo) changeConfig(ctx context.Context, length time.Duration, rep *Report) error {
	changes, err := d.changes()
	if err != nil {
		return err
	}
	i := slices.IndexFunc(changes, func(c config.Change) bool { return c.SetCustomer != nil })
	customer := *changes[i].SetCustomer
	for deadline := time.Now().Add(length); time.Now().Before(deadline); time.Sleep(changeInterval) {
		customer.Weight = customer.Weight%9 + 1
		c := customer
		p, err := d.clients[0].Plan(ctx, []config.Change{{SetCustomer: &c}})
		if err != nil {
			return err
		}
		off, err := d.clients[0].Confirm(ctx, p)
		if err != nil {
			rep.Refused++
			continue
		}
		rep.Changes++
		rep.InForce = max(rep.InForce, d.AwaitInForce(ctx, off))
	}
	return nil
}

// AwaitInForce waits until every host has the configuration at an offset, and
// returns how long that took.
func (d *Demo) AwaitInForce(ctx context.Context, off id.Offset) time.Duration {
	began := time.Now()
	for _, c := range d.clients {
		for ctx.Err() == nil {
			if v, err := c.Status(ctx); err == nil && v.ConfigAt >= off {
				break
			}
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(began)
}

// Started returns how many gates were opened for a job.
func (d *Demo) Started(j id.Job) int {
	n := 0
	for _, s := range d.workers.Ledger().Starts {
		if s.Job == j {
			n++
		}
	}
	return n
}

// watchFragmentation returns the mean of the fragmentation that the owner
// reports until the context is done.
func (d *Demo) watchFragmentation(ctx context.Context) float64 {
	sum, n := 0.0, 0
	for ctx.Err() == nil {
		for _, c := range d.clients {
			if v, err := c.Status(ctx); err == nil && v.Owner.Host == v.Host {
				sum += v.Sched.Fragmentation
				n++
			}
		}
		time.Sleep(pollInterval)
	}
	return sum / float64(max(n, 1))
}

// drain waits until every gang has ended, or until drainTimeout.
func (d *Demo) drain(ctx context.Context, rep *Report) error {
	for deadline := time.Now().Add(drainTimeout); ; time.Sleep(pollInterval) {
		js, err := d.clients[0].Jobs(ctx)
		if err != nil {
			return err
		}
		rep.Jobs = map[state.JobState]int{}
		for _, j := range js {
			rep.Jobs[j.State]++
		}
		if rep.Jobs[state.Pending]+rep.Jobs[state.Running] == 0 || time.Now().After(deadline) {
			return nil
		}
	}
}

// check checks the invariants and adds the violations to the report.
func (d *Demo) check(ctx context.Context, rep *Report) {
	addViolation := func(n int, what string) {
		if n > 0 {
			rep.Violations = append(rep.Violations, fmt.Sprintf("%d %s", n, what))
		}
	}
	rep.Appends = d.logs.Appends()
	leases := map[id.Job]map[id.Lease]bool{}
	for _, s := range d.workers.Ledger().Starts {
		if leases[s.Job] == nil {
			leases[s.Job] = map[id.Lease]bool{}
		}
		leases[s.Job][s.Lease] = true
	}
	rep.Started = len(leases)
	js, err := d.clients[0].Jobs(ctx)
	if err != nil {
		rep.Violations = append(rep.Violations, err.Error())
	}
	for _, j := range js {
		if j.Spec.AtMostOnce && len(leases[j.Spec.ID]) > 1 {
			rep.StartedTwice++
		}
	}
	addViolation(rep.StartedTwice, "jobs that must not be repeated were started more than once")
	addViolation(rep.Requests.RanTwice, "requests that must not be repeated ran more than once")
	addViolation(rep.Requests.NotRunButRan, "requests were refused as not run although they ran")
	addViolation(rep.Requests.Wrong+rep.Requests.Incomplete, "callers got a truncated answer, or the answer to another request")
	addViolation(rep.Jobs[state.Pending]+rep.Jobs[state.Running], "gangs did not end in time")
	for _, c := range d.clients {
		v, err := c.Status(ctx)
		if err != nil {
			rep.Violations = append(rep.Violations, err.Error())
		}
		addViolation(v.Counts.Faults, "invariants violated on "+string(v.Host))
	}
}
