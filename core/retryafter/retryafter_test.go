package retryafter_test

import (
	"strconv"
	"testing"
	"time"

	"curlewsill.org/curlewsill/core/retryafter"
	"curlewsill.org/curlewsill/core/scripttest"
)

// TestOutages plays callers who are refused during an outage and come back as
// they are told. Each line of testdata/outages.txt has the duration of the
// outage, how long it has lasted at the first call, how often the caller tries
// in all, and how long after the end of the outage the caller is served, or
// "never".
//
// With one second for every refusal, callers who try five times were not served
// if they first called in the first two seconds of an outage of 6.4 s.
func TestOutages(t *testing.T) {
	scripttest.EachLine(t, "outages.txt", func(f []string) {
		outage, err := time.ParseDuration(f[0])
		if err != nil {
			t.Fatal(err)
		}
		at, err := time.ParseDuration(f[1])
		if err != nil {
			t.Fatal(err)
		}
		tries, err := strconv.Atoi(f[2])
		if err != nil {
			t.Fatal(err)
		}
		for tries--; tries > 0 && at < outage; tries-- {
			at += retryafter.For(at)
		}
		got := "never"
		if at >= outage {
			got = (at - outage).String()
		}
		if got != f[3] {
			t.Errorf("%v: served %s", f, got)
		}
	})
}
