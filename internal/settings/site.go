package settings

import (
	"time"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/policy"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/internal/inifile"
)

// Site holds the settings of an entry host on the users' platform.
type Site struct {
	// Host is the name of this process and Domain its failure domain.
	Host   id.Host
	Domain id.Domain
	// Callers, Readiness, Peers and Metrics are the addresses to listen on.
	Callers, Readiness, Peers, Metrics string
	// Store is the address of the platform's metadata store.
	Store string
	// Partitions is the number of partitions of each topic in the store.
	Partitions int
	// LeastTTL is the shortest time after which the store removes a member that
	// sends nothing.
	LeastTTL time.Duration
	// ConfigBound is the time within which a new configuration must be in force
	// on all hosts.
	ConfigBound time.Duration
	// Memory is the memory limit above which the platform kills the process.
	Memory unit.Bytes
	// Descriptors is the limit on the process's open files and connections.
	Descriptors int
	// Clients are the limits for all clients together.
	Clients Clients
	// Cores is the process's CPU limit in cores. It may be a fraction.
	Cores float64
	// Link is the bandwidth of the host's network link in each direction.
	Link unit.MegabitsPerSecond
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// Machines is the address of the service that takes machines down for
	// maintenance, or empty if there is none.
	Machines string
	// Advice is the address of the service that restricts where the steps of some
	// queues may run, or empty if there is none.
	Advice string
	// Workers holds the time limits for workers and machine maintenance.
	Workers dispatch.Config
	// Policy says which scheduling mechanisms the owner uses.
	Policy   policy.Policy
	LogLevel string
}

// Bounds of a site's settings.
const (
	maxPartitions = 4096
	maxPeriod     = 24 * time.Hour
	// minEvacuation is the shortest evacuation bound that a host can meet: a start
	// order is checked against evacuations, and then takes up to 1 s to reach its
	// worker.
	minEvacuation = 1500 * time.Millisecond
	// minCancel is the shortest bound for cancellations that a host can meet: the
	// owner reads the jobs every 0.5 s, and a start order then takes up to 1 s to
	// reach its worker.
	minCancel = 1500 * time.Millisecond
	// minDescriptors leaves spare descriptors beside the connections to the store,
	// to peers and to callers.
	minDescriptors, maxDescriptors = 256, 1 << 24
	// minCores and maxCores bound the CPU limit, minLink and maxLink the link's
	// bandwidth in Mbit/s.
	minCores, maxCores = 0.01, 1024
	minLink, maxLink   = 0.1, 1_000_000
)

// LoadSite reads and validates the file. The error lists every fault.
func LoadSite(name string) (Site, error) {
	f, err := inifile.Read(name)
	if err != nil {
		return Site{}, err
	}
	s := readSite(f)
	return s, f.Err()
}

// readSite reads the sections and records faults in f.
func readSite(f *inifile.File) Site {
	host, store, limits := f.Section("host"), f.Section("store"), f.Section("limits")
	workers, machines := f.Section("workers"), f.Section("machines")
	memory := limits.Size("memory", 256*unit.MiB, 24*unit.MiB, 64*unit.GiB)
	descriptors := limits.Int("descriptors", 1024, minDescriptors, maxDescriptors)
	return Site{
		Host:        id.Host(host.Required("id")),
		Domain:      id.Domain(host.Required("domain")),
		Callers:     host.Address("callers", "127.0.0.1:8080"),
		Readiness:   host.Address("readiness", "127.0.0.1:8081"),
		Peers:       host.Address("peers", "127.0.0.1:8082"),
		Metrics:     host.Address("metrics", "127.0.0.1:8083"),
		Store:       store.Address("address", ""),
		Partitions:  store.Int("partitions", 12, 1, maxPartitions),
		LeastTTL:    store.Duration("least_ttl", time.Second, time.Millisecond, time.Minute),
		ConfigBound: store.Duration("config_bound", 2*time.Second, time.Second, time.Minute),
		Memory:      memory,
		Descriptors: descriptors,
		Clients:     readClients(limits, SiteClients(memory, descriptors)),
		Cores:       limits.Number("cores", 1, minCores, maxCores),
		Link:        unit.MegabitsPerSecond(limits.Number("link_mbps", 1000, minLink, maxLink)),
		Grace:       limits.Duration("grace", 6*time.Second, time.Second, time.Hour),
		Machines:    machines.OptionalAddress("address"),
		Advice:      workers.OptionalAddress("advice"),
		Workers:     readWorkerConfig(workers, machines),
		Policy:      readPolicy(f.Section("policy")),
		LogLevel:    f.Section("log").OneOf("level", "info", "debug", "warn", "error"),
	}
}

// readWorkerConfig reads the time limits for workers and machine maintenance, and
// how long ended jobs are kept.
func readWorkerConfig(workers, machines *inifile.Section) dispatch.Config {
	return dispatch.Config{
		MaxLease:           workers.Duration("max_lease", 10*time.Second, time.Second, maxPeriod),
		StopTime:           workers.Duration("stop", time.Second, time.Millisecond, time.Minute),
		CheckpointInterval: workers.Duration("save", time.Second, time.Millisecond, maxPeriod),
		EndedRetention:     workers.Duration("keep_ended", 2*time.Minute, time.Second, maxPeriod),
		HandoverDelay:      machines.Duration("handover", 3*time.Second, time.Millisecond, time.Minute),
		MaintenanceTime:    machines.Duration("away", 2*time.Second, time.Millisecond, time.Hour),
		// Without a bound, starts don't depend on up-to-date evacuation records:
		// otherwise a host that can't read these records would start no tasks.
		EvacuationLimit: workers.Duration("evacuation", 0, minEvacuation, time.Minute),
		CancelLimit:     workers.Duration("cancel", 3*time.Second, minCancel, time.Minute),
	}
}

// readPolicy reads the policy's switches. A switch that is missing is on.
func readPolicy(s *inifile.Section) policy.Policy {
	p := policy.New()
	for _, name := range policy.Names() {
		p, _ = p.With(name, s.Bool(name, true))
	}
	return p
}
