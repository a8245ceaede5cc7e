package setup

import (
	"fmt"
	"strconv"
	"time"

	"curlewsill.org/curlewsill/core/config"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/internal/inifile"
)

// readKind reads the section of one kind of job. By default its jobs are of all
// customers of the site.
func readKind(s *inifile.Section, c config.Config) Kind {
	k := Kind{
		Name: s.Name, Priority: s.Int("priority", 1, 0, maxSize), PerSecond: s.Number("per_second", 0, 0, maxRate),
		Tasks: readDistribution(s, "tasks", 1, maxTasks), Run: readDistribution(s, "run_s", 1, maxTime.Seconds()),
		RunDeviation: s.Number("uneven", 0, 0, 1), Tail: readShare(s, "tail"), TailFactor: s.Number("tail_factor", tailFactor, 1, maxFactor),
		EstimateSpread: s.Number("estimate_spread", 0, 0, maxFactor),
		EstimateFactor: s.Number("estimate_factor", 1, 1.0/maxFactor, maxFactor), Accelerators: readAccelerators(s),
		Cores:  job.MilliCPU(1000 * s.Number("cores", 1, 0, maxCores)),
		Memory: s.Size("memory", unit.GiB, unit.KiB, maxCores*unit.GiB),
		Steps:  s.Number("steps", 1, 1, maxFactor),
		Gang:   readShare(s, "gang"), SameRack: readShare(s, "same_rack"), Checkpointing: readShare(s, "saves"), RackLocal: readShare(s, "near"),
		Cancelled: readShare(s, "cancelled"), AlwaysFails: readShare(s, "hopeless"), FailProbability: readShare(s, "fails"),
		Crashes: readShare(s, "crashes"), CrashAfter: s.Duration("crash_after", crashDelay, time.Millisecond, maxTime),
		MaxAttempts: s.Int("attempts", 3, 1, maxSize), DeadlineFactor: s.Number("stretch", 3, 0, maxFactor),
		DeadlineExtra: s.Duration("target", time.Second, 0, maxTime),
		Worth:         s.Number("worth", 1, 0, maxFactor), LateWorth: s.Number("late_worth", 0, 0, maxFactor),
	}
	for _, name := range s.List("customers") {
		if _, ok := c.Customers[id.Customer(name)]; !ok {
			s.Reject("customers", "customers of the site")
		}
		k.Customers = append(k.Customers, id.Customer(name))
	}
	if k.Customers == nil {
		k.Customers = config.SortedKeys(c.Customers)
	}
	if len(k.Customers) == 0 {
		s.Reject("customers", "a customer of the site")
	}
	return k
}

// readShare reads a number from 0 to 1, 0 by default.
func readShare(s *inifile.Section, key string) float64 { return s.Number(key, 0, 0, 1) }

// readDistribution reads the three keys of a distribution: KEY for the mean,
// KEY_spread and KEY_most.
func readDistribution(s *inifile.Section, key string, def, limit float64) LogNormal {
	d := LogNormal{Mean: s.Number(key, def, 0, limit), Spread: s.Number(key+"_spread", 0, 0, maxFactor)}
	d.Max = s.Number(key+"_most", limit, 0, limit)
	return d
}

// readAccelerators reads the numbers of accelerators from which a task's need
// is drawn; 1 by default.
func readAccelerators(s *inifile.Section) []int {
	var out []int
	for _, v := range s.List("accelerators") {
		n, err := strconv.Atoi(v)
		if err != nil || n < 0 || n > maxSize {
			s.Reject("accelerators", fmt.Sprintf("whole numbers from 0 to %d", maxSize))
			return []int{1}
		}
		out = append(out, n)
	}
	if out == nil {
		return []int{1}
	}
	return out
}
