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

// playCalls plays a script of calls to the store in virtual time, as
// TestStoreHealth describes it, and returns the script's last word.
func playCalls(script string) (h *storeHealth, want string) {
	outcomes := map[string]error{"done": nil, "refused": fmt.Errorf("store: %w", platform.ErrNotDone), "unanswered": platform.ErrNoAnswer}
	h = newStoreHealth(zap.NewNop())
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
	return h, words[len(words)-1]
}

// TestStoreHealth runs short scripts in virtual time: a duration lets that time
// pass, begin starts a call, and the other words end the oldest call in flight
// with that result. The last word of a script is the expected health.
func TestStoreHealth(t *testing.T) {
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
			h, want := playCalls(script)
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

// TestOutage checks for how long the store counts as unavailable, which
// determines when refused callers come back. The scripts are those of
// TestStoreHealth, with that duration as the last word.
func TestOutage(t *testing.T) {
	for _, script := range []string{
		"0s",
		"begin 10ms done 2s 0s",
		"begin 10ms refused 2s 2.01s",
		"begin 1s unanswered 500ms 1.5s",
		"begin 1s unanswered begin 1s refused 2s",
		"begin 1s unanswered begin 10ms done 0s",
		"begin 390ms 0s",
		"begin 410ms 410ms",
		"begin 10ms begin 10ms done 400ms 0s",
	} {
		synctest.Test(t, func(t *testing.T) {
			h, want := playCalls(script)
			if got := h.outage().String(); got != want {
				t.Errorf("%s: unavailable for %s", script, got)
			}
		})
	}
}
