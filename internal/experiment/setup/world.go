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

// Defaults of the owner's work in processor time. A task costs two orders, two answers and its part of the passes; a pass costs by workers and
// waiting tasks (BenchmarkPass of core/dispatch).
const (
	orderCost  = 500 * time.Microsecond
	eventCost  = 100 * time.Microsecond
	passCost   = 10 * time.Microsecond
	workerCost = 140 * time.Nanosecond
	taskCost   = 30 * time.Nanosecond
)

// Defaults of times: those of the product, and of the users' sites.
const (
	trip      = 4 * time.Millisecond
	appending = 8 * time.Millisecond
	appendGap = 2 * time.Millisecond
	reading   = 10 * time.Millisecond
	polling   = 700 * time.Millisecond
	timeout   = 800 * time.Millisecond
	listing   = 800 * time.Millisecond
	whole     = 3 * time.Second
	passEvery = 5 * time.Millisecond
	idleEvery = 200 * time.Millisecond
	passShare = 3
	look      = 500 * time.Millisecond
	memberTTL = time.Second
	restore   = 250 * time.Millisecond
	drift     = 0.02
	restart   = 3 * time.Second
	far       = 3
	// evacuation is how long after an operator has evacuated a failure domain a task may still start there.
	evacuation = 5 * time.Second
	// crashAfter is how long after its start a task crashes its worker.
	crashAfter = 10 * time.Millisecond
)

// readWorld reads the sections of what the model consists of, and takes workers and guarantees from
// the site.
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
			PassEvery: owner.Duration("pass_every", passEvery, time.Millisecond, time.Minute),
			IdleEvery: owner.Duration("idle_every", idleEvery, time.Millisecond, time.Minute),
			PassShare: owner.Number("pass_share", passShare, 0, maxFactor),
			Gap:       owner.Duration("gap", 0, 0, time.Minute),
			Append:    store.Duration("append", appending, 0, time.Minute),
			AppendGap: store.Duration("append_gap", appendGap, 0, time.Minute),
			Read:      store.Duration("read", reading, 0, time.Minute),
			Poll:      store.Duration("poll", polling, time.Millisecond, time.Minute),
			MemberTTL: store.Duration("member_ttl", memberTTL, 0, time.Hour),
			Trip:      network.Duration("trip", trip, 0, time.Minute),
			Timeout:   network.Duration("timeout", timeout, time.Millisecond, time.Minute),
			Listing:   network.Duration("listing", listing, 0, time.Hour),
			Look:      hosts.Duration("look", look, time.Millisecond, time.Hour),
			Whole:     workers.Duration("gang_wait", whole, time.Millisecond, time.Hour),
			Restore:   workers.Duration("restore", restore, 0, time.Minute),
			Restart:   workers.Duration("restart", restart, time.Millisecond, time.Hour),
			Drift:     workers.Number("drift", drift, 0, drift),
		},
		Far: workers.Number("far", far, 1, maxFactor),
	}
	readHosts(hosts, &s)
	takeSite(c, &s, numbers(workers, "speeds", []float64{1}))
	return s
}

// readHosts reads how many hosts there are, and how able; their cores are dealt in turn.
func readHosts(hosts *inifile.Section, s *world.Setup) {
	cores := numbers(hosts, "cores", []float64{1})
	for i := range hosts.Int("count", 3, 1, maxHosts) {
		s.Hosts = append(s.Hosts, world.Host{ID: id.Host(fmt.Sprintf("host-%03d", i)), Cores: cores[i%len(cores)]})
	}
}

// numbers returns the numbers above 0 of a list.
func numbers(s *inifile.Section, key string, def []float64) []float64 {
	var out []float64
	for _, v := range s.List(key) {
		x, err := strconv.ParseFloat(v, 64)
		if err != nil || !(x >= leastCores && x <= maxCores) {
			s.Fault(key, fmt.Sprintf("numbers from %g to %d", leastCores, maxCores))
			return def
		}
		out = append(out, x)
	}
	if out == nil {
		return def
	}
	return out
}

// takeSite takes workers and guarantees from a site. Speeds are dealt in turn.
func takeSite(c config.Config, s *world.Setup, speeds []float64) {
	for _, name := range config.Sorted(c.Racks) {
		r := c.Racks[name]
		for _, w := range r.Workers {
			if w.Drained {
				continue
			}
			s.Workers = append(s.Workers, world.Worker{
				ID: w.ID, Service: Service, Domain: r.Domain, Rack: r.ID, Speed: speeds[len(s.Workers)%len(speeds)],
				Capacity: job.Resources{CPU: 1000 * job.MilliCPU(w.Cores), Memory: w.Memory, Accelerators: w.Accelerators},
			})
		}
	}
	held := map[id.Customer]int{}
	for _, name := range config.Sorted(c.Guarantees) {
		g := c.Guarantees[name]
		held[g.Customer] += g.Size * g.Count
	}
	for _, name := range config.Sorted(c.Customers) {
		if held[name] > 0 {
			s.Guarantees = append(s.Guarantees, world.Guarantee{Customer: name, Accelerators: held[name]})
		}
	}
}
