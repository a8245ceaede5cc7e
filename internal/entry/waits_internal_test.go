package entry

import (
	"strconv"
	"strings"
	"testing"

	"curlewsill.org/curlewsill/core/scripttest"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/internal/settings"
)

// TestMaxWaitingRenewals checks the maximum number of renewals that workers
// hold back at the same time. It depends on the limits of the host. Each line
// of testdata/waits/renewals.txt has the descriptors, the memory in MiB, and
// the expected number.
//
// A fixed limit of 1,024 was too low. With 1,100 workers, the renewals of 76
// workers had to wait up to 2 s until other renewals returned, so that the
// owner learned late that runs on those workers had ended. With 3,000 workers,
// two thirds of them would have been affected.
func TestMaxWaitingRenewals(t *testing.T) {
	scripttest.EachLine(t, "waits/renewals.txt", func(f []string) {
		var n [3]int
		for i := range n {
			var err error
			if n[i], err = strconv.Atoi(f[i]); err != nil {
				t.Fatal(err)
			}
		}
		if got := maxWaitingRenewals(settings.Site{Descriptors: n[0], Memory: unit.Bytes(n[1]) * unit.MiB}); got != n[2] {
			t.Errorf("%s: got %d", strings.Join(f, " "), got)
		}
	})
}
