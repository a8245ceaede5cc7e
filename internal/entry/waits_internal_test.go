package entry

import (
	"strconv"
	"strings"
	"testing"

	"curlewsill.org/curlewsill/core/scripttest"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/internal/settings"
)

// TestMostWaits derives how many renewals may wait for news at workers from a host's limits, by testdata/waits/renewals.txt: descriptors, memory in
// MiB, and the number.
//
// It was 1,024 on every host. On 1,100 workers the renewals of 76 had to wait for the others' wait to end, up to 2 s, and what ended there was
// heard of as late; on 3,000 workers it would have been so for two in three.
func TestMostWaits(t *testing.T) {
	scripttest.EachLine(t, "waits/renewals.txt", func(f []string) {
		var n [3]int
		for i := range n {
			var err error
			if n[i], err = strconv.Atoi(f[i]); err != nil {
				t.Fatal(err)
			}
		}
		if got := mostWaits(settings.Site{Descriptors: n[0], Memory: unit.Bytes(n[1]) * unit.MiB}); got != n[2] {
			t.Errorf("%s: got %d", strings.Join(f, " "), got)
		}
	})
}
