package entry

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/platform"
)

// TestStoreHealth runs short scripts in virtual time: a duration lets that time
// pass, begin starts a call, and the other words end the oldest call in flight
// with that result. The last word of a script is the expected health.
func TestStoreHealth(t *testing.T) {
	outcomes := map[string]error{"done": nil, "refused": fmt.Errorf("store: %w", platform.ErrNotDone), "unanswered": platform.ErrNoAnswer}
	for _, script := range []string{
		"well",
		"begin 10ms done well",
		"begin 10ms refused well",
		"begin 10ms refused 100ms begin 60ms refused refusing",
		"begin 10ms refused 200ms begin 10ms done well",
		"begin 10ms refused 200ms begin 10ms done begin refused well",
		"begin 390ms well",
		"begin 410ms hanging",
		"begin 410ms done well",
		"begin 300ms begin 10ms done begin 100ms well",
		"begin 1500ms unanswered well",
		"begin 1500ms unanswered begin 410ms hanging",
		"begin 10ms refused 200ms begin 410ms refusing",
		"begin 10ms unanswered begin 10ms unanswered 200ms begin 10ms done well",
		"begin 10ms unanswered begin 10ms unanswered begin 10ms unanswered well",
		"begin 10ms unanswered begin 10ms unanswered begin 10ms unanswered 200ms hanging",
		"begin 10ms unanswered begin 10ms unanswered begin 10ms unanswered 200ms begin 10ms done well",
		"begin 10ms unanswered begin 10ms unanswered begin 10ms unanswered 200ms begin 10ms refused well",
	} {
		synctest.Test(t, func(t *testing.T) {
			h := newStoreHealth(zap.NewNop())
			var inFlight []func(error)
			words := strings.Fields(script)
			for _, word := range words[:len(words)-1] {
				if d, err := time.ParseDuration(word); err == nil {
					time.Sleep(d)
					continue
				}
				if word == "begin" {
					inFlight = append(inFlight, h.begin())
					continue
				}
				inFlight[0](outcomes[word])
				inFlight = inFlight[1:]
			}
			want := words[len(words)-1]
			got := "well"
			if h.hanging() {
				got = "hanging"
			}
			if h.refusing() {
				got = "refusing"
			}
			if got != want {
				t.Errorf("%s: the store is %s", script, got)
			}
		})
	}
}
