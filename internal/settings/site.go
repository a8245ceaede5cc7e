package settings

import (
	"time"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/policy"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/internal/inifile"
)

// Site is the settings of an entry host on the users' platform.
type Site struct {
	// Host and Domain say who and where this process is.
	Host   id.Host
	Domain id.Domain
	// Callers, Readiness, Peers and Metrics are the addresses to listen on.
	Callers, Readiness, Peers, Metrics string
	// Store is the address of the platform's metadata store.
	Store string
	// Partitions is how many partitions a topic of the store has.
	Partitions int
	// LeastTTL is the shortest time after which the store drops a silent member.
	LeastTTL time.Duration
	// ConfigBound is within which time a configuration must be in force on all hosts.
	ConfigBound time.Duration
	// Memory is what the process may use before the platform ends it.
	Memory unit.Bytes
	// Descriptors is how many files and connections the process may have open.
	Descriptors int
	// Cores is the part of a core that the process may use, 1 for a whole one.
	Cores float64
	// Link is what the host can send or receive.
	Link unit.MegabitsPerSecond
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// Machines is the address of the service that takes machines down for maintenance;
	// empty if there is none.
	Machines string
	// Advice is the address of the service that says where steps of some queues may
	// run; empty if there is none.
	Advice string
	// Workers holds the bounds that workers and machines keep to.
	Workers dispatch.Config
	// Policy says which mechanisms the owner decides by.
	Policy   policy.Policy
	LogLevel string
}

// Bounds of a site's settings.
const (
	maxPartitions = 4096
	maxPeriod     = 24 * time.Hour
	// leastEvacuation is the shortest bound that a host keeps: an order takes up to 1 s of it.
	leastEvacuation = 1500 * time.Millisecond
	// leastDescriptors leaves some beside the connections to the store, to peers and to callers.
	leastDescriptors, mostDescriptors = 256, 1 << 24
	// leastCores and mostCores bound the processor share, leastLink and mostLink the link in
	// Mbit/s.
	leastCores, mostCores = 0.01, 1024
	leastLink, mostLink   = 0.1, 1_000_000
)

// LoadSite reads and checks the file. The error lists every fault.
func LoadSite(name string) (Site, error) {
	f, err := inifile.Read(name)
	if err != nil {
		return Site{}, err
	}
	s := readSite(f)
	return s, f.Err()
}

// readSite reads the sections. Faults are kept in f.
func readSite(f *inifile.File) Site {
	host, store, limits := f.Section("host"), f.Section("store"), f.Section("limits")
	workers, machines := f.Section("workers"), f.Section("machines")
	return Site{
		Host:        id.Host(host.Need("id")),
		Domain:      id.Domain(host.Need("domain")),
		Callers:     host.Address("callers", "127.0.0.1:8080"),
		Readiness:   host.Address("readiness", "127.0.0.1:8081"),
		Peers:       host.Address("peers", "127.0.0.1:8082"),
		Metrics:     host.Address("metrics", "127.0.0.1:8083"),
		Store:       store.Address("address", ""),
		Partitions:  store.Int("partitions", 12, 1, maxPartitions),
		LeastTTL:    store.Duration("least_ttl", time.Second, time.Millisecond, time.Minute),
		ConfigBound: store.Duration("config_bound", 2*time.Second, time.Second, time.Minute),
		Memory:      limits.Size("memory", 256*unit.MiB, 24*unit.MiB, 64*unit.GiB),
		Descriptors: limits.Int("descriptors", 1024, leastDescriptors, mostDescriptors),
		Cores:       limits.Number("cores", 1, leastCores, mostCores),
		Link:        unit.MegabitsPerSecond(limits.Number("link_mbps", 1000, leastLink, mostLink)),
		Grace:       limits.Duration("grace", 6*time.Second, time.Second, time.Hour),
		Machines:    machines.OptionalAddress("address"),
		Advice:      workers.OptionalAddress("advice"),
		Workers:     readBounds(workers, machines),
		Policy:      readPolicy(f.Section("policy")),
		LogLevel:    f.Section("log").OneOf("level", "info", "debug", "warn", "error"),
	}
}

// readBounds reads the bounds of workers and machines, and how long ended jobs are kept.
func readBounds(workers, machines *inifile.Section) dispatch.Config {
	return dispatch.Config{
		MaxLease:  workers.Duration("max_lease", 10*time.Second, time.Second, maxPeriod),
		StopTime:  workers.Duration("stop", time.Second, time.Millisecond, time.Minute),
		SaveEvery: workers.Duration("save", time.Second, time.Millisecond, maxPeriod),
		KeepEnded: workers.Duration("keep_ended", 2*time.Minute, time.Second, maxPeriod),
		Handover:  machines.Duration("handover", 3*time.Second, time.Millisecond, time.Minute),
		Away:      machines.Duration("away", 2*time.Second, time.Millisecond, time.Hour),
		// Where no bound is set, starts don't wait for news of evacuations: a host that can't read them would stop all work.
		Evacuation: workers.Duration("evacuation", 0, leastEvacuation, time.Minute),
	}
}

// readPolicy reads the switches of the policy. All are on unless it says otherwise.
func readPolicy(s *inifile.Section) policy.Policy {
	p := policy.New()
	for _, name := range policy.Names() {
		p, _ = p.With(name, s.Bool(name, true))
	}
	return p
}
