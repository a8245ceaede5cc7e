package entry

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/scripttest"
	"curlewsill.org/curlewsill/internal/settings"
)

// TestWaitOfOperator checks how long a read of the operator's log waits for new
// records, by the lines of testdata/waits/operator.txt. A line has four fields:
// the time within which a new configuration must be in force; how long a task may
// still start in an evacuated failure domain, or 0 where operators don't evacuate;
// whether the host is the owner; and the wait to expect.
func TestWaitOfOperator(t *testing.T) {
	scripttest.EachLine(t, "waits/operator.txt", func(f []string) {
		times := make([]time.Duration, 0, 3)
		for _, x := range []string{f[0], f[1], f[3]} {
			d, err := time.ParseDuration(x)
			if err != nil {
				t.Fatal(err)
			}
			times = append(times, d)
		}
		h := &Host{metrics: newMetrics(), settings: settings.Site{ConfigBound: times[0], Workers: dispatch.Config{EvacuationLimit: times[1]}}}
		owning, err := strconv.ParseBool(f[2])
		if err != nil {
			t.Fatal(err)
		}
		h.metrics.owning.Store(owning)
		if got := h.waitOfOperator(); got != times[2] {
			t.Errorf("%s: got %s", strings.Join(f, " "), got)
		}
	})
}
