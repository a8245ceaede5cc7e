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
	// pollEvery is how often the hosts are looked at.
	pollEvery = 50 * time.Millisecond
	// changeEvery is how often an operator changes the configuration.
	changeEvery = time.Second
	// jobs is how many gangs are submitted, one every jobEvery.
	jobs     = 40
	jobEvery = 150 * time.Millisecond
	// drainWait bounds the wait for the gangs to end.
	drainWait = 30 * time.Second
)

// Report is what a run came to.
type Report struct {
	Site     string      `json:"site"`
	Requests load.Report `json:"requests"`
	// Jobs counts the gangs by their last state.
	Jobs map[state.JobState]int `json:"jobs"`
	// Started counts gangs whose gates were opened, Twice those under more than
	// one lease although they must not be repeated.
	Started int `json:"started"`
	Twice   int `json:"twice"`
	// Fragmentation is the mean share of free accelerators that could not serve
	// the sizes in demand.
	Fragmentation float64 `json:"fragmentation"`
	// InForce is the longest time from an accepted plan until every host had it.
	InForce time.Duration `json:"in_force"`
	Changes int           `json:"changes"`
	// Refused counts changes that the outage of the log kept from being accepted.
	Refused int `json:"changes_refused"`
	Appends int `json:"appends"`
	// Violations lists what did not hold; empty for a good run.
	Violations []string `json:"violations"`
}

// play is the run itself.
func (d *Demo) play(ctx context.Context) (Report, error) {
	rep := Report{Site: d.site}
	length := before + outage + after
	done := make(chan error, 3)
	go func() {
		var err error
		rep.Requests, err = d.requests(ctx, length)
		done <- err
	}()
	go func() { done <- d.submitJobs(ctx) }()
	go func() { done <- d.changeConfig(ctx, length, &rep) }()
	d.say("%d requests a second, %d gangs, a change of configuration every %s", requestRate, jobs, changeEvery)
	frag := make(chan float64, 1)
	watch, stop := context.WithCancel(ctx)
	go func() { frag <- d.watchFragmentation(watch) }()
	time.Sleep(before)
	d.say("the log goes down for %s; requests go on, nothing new is agreed", outage)
	d.logs.SetFaults(logsvc.Faults{Mode: logsvc.Refuse})
	time.Sleep(outage)
	d.logs.SetFaults(logsvc.Faults{})
	d.say("the log is back")
	for range cap(done) {
		if err := <-done; err != nil {
			stop()
			return rep, err
		}
	}
	err := d.drain(ctx, &rep)
	stop()
	rep.Fragmentation = <-frag
	if err != nil {
		return rep, err
	}
	d.check(ctx, &rep)
	return rep, nil
}

// submitJobs submits gangs of many sizes.
func (d *Demo) submitJobs(ctx context.Context) error {
	sizes := []int{1, 2, 4, 8, 8, 16, 16, 32, 64}
	for i := range jobs {
		j := record.Job{
			ID: id.Job(fmt.Sprintf("demo-%02d", i)), Customer: d.customer[i%len(d.customer)],
			Accelerators: sizes[i%len(sizes)], Declared: 3 * time.Second,
			Command: fmt.Sprintf("run %ds", 1+i%4), Once: i%5 == 0, Urgent: i%7 == 0,
		}
		if err := d.submit(ctx, j); err != nil {
			return err
		}
		time.Sleep(jobEvery)
	}
	return nil
}

// submit submits a job until the answer says that it is on the log.
func (d *Demo) submit(ctx context.Context, j record.Job) error {
	var err error
	for _, c := range append(slices.Clone(d.clients), d.clients...) {
		// A job that is there already was taken by a call whose answer was lost.
		if _, err = c.Submit(ctx, j); err == nil || d.has(ctx, j.ID) {
			return nil
		}
	}
	return err
}

func (d *Demo) has(ctx context.Context, name id.Job) bool {
	js, err := d.clients[0].Jobs(ctx)
	return err == nil && slices.ContainsFunc(js, func(j state.Job) bool { return j.Spec.ID == name })
}

// changeConfig lets an operator change a weight again and again, and measures how
// long each change takes to be in force on every host.
func (d *Demo) changeConfig(ctx context.Context, length time.Duration, rep *Report) error {
	changes, err := d.changes()
	if err != nil {
		return err
	}
	i := slices.IndexFunc(changes, func(c config.Change) bool { return c.SetCustomer != nil })
	customer := *changes[i].SetCustomer
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(changeEvery) {
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
		rep.InForce = max(rep.InForce, d.InForce(ctx, off))
	}
	return nil
}

// InForce waits until every host has the configuration of an offset, and returns how
// long that took.
func (d *Demo) InForce(ctx context.Context, off id.Offset) time.Duration {
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

// watchFragmentation returns the mean fragmentation that the owner reports.
func (d *Demo) watchFragmentation(ctx context.Context) float64 {
	sum, n := 0.0, 0
	for ctx.Err() == nil {
		for _, c := range d.clients {
			if v, err := c.Status(ctx); err == nil && v.Owner.Host == v.Host {
				sum += v.Sched.Fragmentation
				n++
			}
		}
		time.Sleep(pollEvery)
	}
	return sum / float64(max(n, 1))
}

// drain waits until every gang has ended.
func (d *Demo) drain(ctx context.Context, rep *Report) error {
	for end := time.Now().Add(drainWait); ; time.Sleep(pollEvery) {
		js, err := d.clients[0].Jobs(ctx)
		if err != nil {
			return err
		}
		rep.Jobs = map[state.JobState]int{}
		for _, j := range js {
			rep.Jobs[j.State]++
		}
		if rep.Jobs[state.Pending]+rep.Jobs[state.Running] == 0 || time.Now().After(end) {
			return nil
		}
	}
}

// check looks at what must hold.
func (d *Demo) check(ctx context.Context, rep *Report) {
	bad := func(n int, what string) {
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
		if j.Spec.Once && len(leases[j.Spec.ID]) > 1 {
			rep.Twice++
		}
	}
	bad(rep.Twice, "jobs that must not be repeated were started again")
	bad(rep.Requests.RanTwice, "requests that must not be repeated ran again")
	bad(rep.Requests.NotRunButRan, "requests were refused as not run and ran")
	bad(rep.Requests.Wrong+rep.Requests.Cut, "callers got an answer that was cut or not theirs")
	bad(rep.Jobs[state.Pending]+rep.Jobs[state.Running], "gangs did not end")
	for _, c := range d.clients {
		v, err := c.Status(ctx)
		if err != nil {
			rep.Violations = append(rep.Violations, err.Error())
		}
		bad(v.Counts.Faults, "invariants violated on "+string(v.Host))
	}
}
