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

// readKind reads one kind of job.
func readKind(s *inifile.Section, c config.Config) Kind {
	k := Kind{
		Name: s.Name, Priority: s.Int("priority", 1, 0, maxSize), PerSecond: s.Number("per_second", 0, 0, maxRate),
		Tasks: readDraw(s, "tasks", 1, maxTasks), Run: readDraw(s, "run_s", 1, maxTime.Seconds()),
		Uneven: s.Number("uneven", 0, 0, 1), EstimateSpread: s.Number("estimate_spread", 0, 0, maxFactor),
		EstimateFactor: s.Number("estimate_factor", 1, 1.0/maxFactor, maxFactor), Accelerators: sizes(s),
		Cores:  job.MilliCPU(1000 * s.Number("cores", 1, 0, maxCores)),
		Memory: s.Size("memory", unit.GiB, unit.KiB, maxCores*unit.GiB),
		Steps:  s.Number("steps", 1, 1, maxFactor),
		Gang:   share(s, "gang"), SameRack: share(s, "same_rack"), Saves: share(s, "saves"), Near: share(s, "near"),
		Cancelled: share(s, "cancelled"), Hopeless: share(s, "hopeless"), Fails: share(s, "fails"),
		Crashes: share(s, "crashes"), CrashAfter: s.Duration("crash_after", crashAfter, time.Millisecond, maxTime),
		Attempts: s.Int("attempts", 3, 1, maxSize), Stretch: s.Number("stretch", 3, 0, maxFactor),
		Target: s.Duration("target", time.Second, 0, maxTime),
		Worth:  s.Number("worth", 1, 0, maxFactor), LateWorth: s.Number("late_worth", 0, 0, maxFactor),
	}
	for _, name := range s.List("customers") {
		if _, ok := c.Customers[id.Customer(name)]; !ok {
			s.Fault("customers", "customers of the site")
		}
		k.Customers = append(k.Customers, id.Customer(name))
	}
	if k.Customers == nil {
		k.Customers = config.Sorted(c.Customers)
	}
	if len(k.Customers) == 0 {
		s.Fault("customers", "a customer of the site")
	}
	return k
}

// share reads a part of a whole.
func share(s *inifile.Section, key string) float64 { return s.Number(key, 0, 0, 1) }

// readDraw reads the three keys of a distribution.
func readDraw(s *inifile.Section, key string, def, most float64) Draw {
	d := Draw{Mean: s.Number(key, def, 0, most), Spread: s.Number(key+"_spread", 0, 0, maxFactor)}
	d.Most = s.Number(key+"_most", most, 0, most)
	return d
}

// sizes reads how many accelerators a task may need.
func sizes(s *inifile.Section) []int {
	var out []int
	for _, v := range s.List("accelerators") {
		n, err := strconv.Atoi(v)
		if err != nil || n < 0 || n > maxSize {
			s.Fault("accelerators", fmt.Sprintf("whole numbers from 0 to %d", maxSize))
			return []int{1}
		}
		out = append(out, n)
	}
	if out == nil {
		return []int{1}
	}
	return out
}
