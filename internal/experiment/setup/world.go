package setup

import (
	"fmt"
	"strconv"
	"time"

	"curlewsill.org/curlewsill/core/config"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/world"
	"curlewsill.org/curlewsill/internal/inifile"
)

// Defaults of the processor time that the owner's work takes, for the fields of
// world.Costs. A task costs two orders, two answers and its share of the passes.
// The cost of a pass of core/dispatch depends on the numbers of workers and
// waiting tasks.
const (
	orderCost  = 500 * time.Microsecond
	eventCost  = 100 * time.Microsecond
	passCost   = 10 * time.Microsecond
	workerCost = 140 * time.Nanosecond
	taskCost   = 30 * time.Nanosecond
)

// Defaults of times and of factors on times, which world.Times and world.Setup
// describe. They are those of the product and of the users' sites.
const (
	roundTrip         = 4 * time.Millisecond
	appendTime        = 8 * time.Millisecond
	appendGap         = 2 * time.Millisecond
	readDelay         = 10 * time.Millisecond
	operatorPoll      = 700 * time.Millisecond
	callTimeout       = 800 * time.Millisecond
	listingDelay      = 800 * time.Millisecond
	gangTimeout       = 3 * time.Second
	minPassInterval   = 5 * time.Millisecond
	maxPassInterval   = 200 * time.Millisecond
	eventTimeFactor   = 3
	groupPoll         = 500 * time.Millisecond
	memberTTL         = time.Second
	restoreTime       = 250 * time.Millisecond
	maxDrift          = 0.02
	restartDelay      = 3 * time.Second
	crossRackSlowdown = 3
	// tailFactor is how many times as long as usual the tasks of a heavy tail
	// take.
	tailFactor = 7
	// evacuationLimit is how long a task may still start in a failure domain
	// after an operator has evacuated it.
	evacuationLimit = 5 * time.Second
	// crashDelay is the time from the start of a task to the crash of its
	// worker.
	crashDelay = 10 * time.Millisecond
)

// readWorld reads the sections that describe the simulated site, and takes
// workers and guarantees from the site's configuration.
func readWorld(f *inifile.File, c config.Config) world.Setup {
	hosts, owner, store := f.Section("hosts"), f.Section("owner"), f.Section("store")
	network, workers := f.Section("network"), f.Section("workers")
	s := world.Setup{
		Costs: world.Costs{
			Pass:   owner.Duration("pass", passCost, 0, time.Second),
			Worker: owner.Duration("worker", workerCost, 0, time.Second),
			Task:   owner.Duration("task", taskCost, 0, time.Second),
			Event:  owner.Duration("event", eventCost, 0, time.Second),
			Order:  owner.Duration("order", orderCost, 0, time.Second),
		},
		Times: world.Times{
			MinPassInterval: owner.Duration("pass_every", minPassInterval, time.Millisecond, time.Minute),
			MaxPassInterval: owner.Duration("idle_every", maxPassInterval, time.Millisecond, time.Minute),
			EventTimeFactor: owner.Number("pass_share", eventTimeFactor, 0, maxFactor),
			LinkTime:        owner.Duration("gap", 0, 0, time.Minute),
			Append:          store.Duration("append", appendTime, 0, time.Minute),
			AppendGap:       store.Duration("append_gap", appendGap, 0, time.Minute),
			ReadDelay:       store.Duration("read", readDelay, 0, time.Minute),
			OperatorPoll:    store.Duration("poll", operatorPoll, time.Millisecond, time.Minute),
			MemberTTL:       store.Duration("member_ttl", memberTTL, 0, time.Hour),
			RoundTrip:       network.Duration("trip", roundTrip, 0, time.Minute),
			Timeout:         network.Duration("timeout", callTimeout, time.Millisecond, time.Minute),
			ListingDelay:    network.Duration("listing", listingDelay, 0, time.Hour),
			GroupPoll:       hosts.Duration("look", groupPoll, time.Millisecond, time.Hour),
			GangTimeout:     workers.Duration("gang_wait", gangTimeout, time.Millisecond, time.Hour),
			RestoreTime:     workers.Duration("restore", restoreTime, 0, time.Minute),
			RestartDelay:    workers.Duration("restart", restartDelay, time.Millisecond, time.Hour),
			MaxDrift:        workers.Number("drift", maxDrift, 0, maxDrift),
		},
		CrossRackSlowdown: workers.Number("far", crossRackSlowdown, 1, maxFactor),
	}
	readHosts(hosts, &s)
	addSite(c, &s, workers.Int("copies", 1, 1, maxCopies), readNumbers(workers, "speeds", []float64{1}))
	return s
}

// readHosts reads the number of hosts and their cores. The listed numbers of
// cores are assigned to the hosts in turn.
func readHosts(hosts *inifile.Section, s *world.Setup) {
	cores := readNumbers(hosts, "cores", []float64{1})
	for i := range hosts.Int("count", 3, 1, maxHosts) {
		s.Hosts = append(s.Hosts, world.Host{ID: id.Host(fmt.Sprintf("host-%03d", i)), Cores: cores[i%len(cores)]})
	}
}

// readNumbers reads a list of numbers from minCores to maxCores.
func readNumbers(s *inifile.Section, key string, def []float64) []float64 {
	var out []float64
	for _, v := range s.List(key) {
		x, err := strconv.ParseFloat(v, 64)
		if err != nil || !(x >= minCores && x <= maxCores) {
			s.Reject(key, fmt.Sprintf("numbers from %g to %d", minCores, maxCores))
			return def
		}
		out = append(out, x)
	}
	if out == nil {
		return def
	}
	return out
}

// addSite adds the workers and guarantees of some copies of a site, without
// drained workers. Speeds are assigned to the workers in turn.
func addSite(c config.Config, s *world.Setup, copies int, speeds []float64) {
	for i := range copies {
		suffix := ""
		if i > 0 {
			// core/world appends ".N" to the names of later incarnations.
			suffix = fmt.Sprintf("-copy%d", i+1)
		}
		for _, name := range config.SortedKeys(c.Racks) {
			r := c.Racks[name]
			for _, w := range r.Workers {
				if w.Drained {
					continue
				}
				s.Workers = append(s.Workers, world.Worker{
					ID: w.ID + id.Worker(suffix), Service: Service, Domain: r.Domain, Rack: r.ID + id.Rack(suffix),
					Speed:    speeds[len(s.Workers)%len(speeds)],
					Capacity: job.Resources{CPU: 1000 * job.MilliCPU(w.Cores), Memory: w.Memory, Accelerators: w.Accelerators},
				})
			}
		}
	}
	guaranteed := map[id.Customer]int{}
	for _, name := range config.SortedKeys(c.Guarantees) {
		g := c.Guarantees[name]
		guaranteed[g.Customer] += g.Size * g.Count * copies
	}
	for _, name := range config.SortedKeys(c.Customers) {
		if guaranteed[name] > 0 {
			s.Guarantees = append(s.Guarantees, world.Guarantee{Customer: name, Accelerators: guaranteed[name]})
		}
	}
}
