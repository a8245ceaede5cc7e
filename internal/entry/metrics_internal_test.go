package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/policy"
	"curlewsill.org/curlewsill/core/speed"
	"curlewsill.org/curlewsill/core/unit"
)

// TestSpeedClassMetric checks that each speed class of workers is a series of its
// own, and that a host which is no longer the owner reports none. Otherwise the
// sum over all hosts would count workers twice after a takeover.
func TestSpeedClassMetric(t *testing.T) {
	h := &Host{log: zap.NewNop(), metrics: newMetrics(), table: jobtable.New(), clock: newTestClock()}
	_, cancel := context.WithCancel(context.Background())
	h.owner = &owner{host: h, cancel: cancel, core: dispatch.New(dispatch.Config{}, policy.New(), 0, h.table)}
	h.metrics.setSpeedClasses([speed.Classes]int{speed.Unknown: 1, speed.Typical: 20, speed.Fast: 3, speed.Slow: 4})
	check := func(want ...string) {
		t.Helper()
		rec := httptest.NewRecorder()
		h.metrics.handler().ServeHTTP(rec, httptest.NewRequest("GET", "/metrics", nil))
		for _, line := range want {
			if !strings.Contains(rec.Body.String(), "\ncurlewsill_worker_speed_workers"+line+"\n") {
				t.Errorf("no line %s", line)
			}
		}
	}
	check(`{class="unknown"} 1`, `{class="typical"} 20`, `{class="fast"} 3`, `{class="slow"} 4`)
	h.stepDown("test")
	check(`{class="unknown"} 0`, `{class="typical"} 0`, `{class="fast"} 0`, `{class="slow"} 0`)
}

// TestAnswerMetrics checks that answers about jobs are counted by their age and
// source, and refusals by their reason, each on the host that was called.
func TestAnswerMetrics(t *testing.T) {
	h := &Host{log: zap.NewNop(), metrics: newMetrics()}
	now := unit.At(time.Unix(1000, 0))
	old := now.Add(-3 * time.Second)
	for _, r := range []reply{
		reply{status: http.StatusOK}.from(aboutCount, origin{source: ownTable, completeAt: old}),
		reply{status: http.StatusGone}.from(aboutGone, origin{source: "peer:1", completeAt: old}),
		refused("").from(aboutState, origin{source: ownTable, completeAt: old, stale: readFailed}),
		reply{status: http.StatusOK}.from(aboutState, origin{source: ownTable}),
		{status: http.StatusNotFound},
		refused("no configuration yet"),
	} {
		h.metrics.answer(r, func() unit.Instant { return now })
	}
	rec := httptest.NewRecorder()
	h.metrics.handler().ServeHTTP(rec, httptest.NewRequest("GET", "/metrics", nil))
	got := map[string]bool{}
	for line := range strings.Lines(rec.Body.String()) {
		if strings.HasPrefix(line, "curlewsill_answer") && !strings.Contains(line, "_bucket") {
			got[strings.TrimSpace(line)] = true
		}
	}
	for _, want := range []string{
		`curlewsill_answer_age_seconds_sum{about="count",source="own"} 3`,
		`curlewsill_answer_age_seconds_count{about="count",source="own"} 1`,
		`curlewsill_answer_age_seconds_sum{about="gone",source="candidate"} 3`,
		`curlewsill_answer_age_seconds_count{about="gone",source="candidate"} 1`,
		`curlewsill_answers_refused_total{about="state",stale="the read failed"} 1`,
	} {
		if !got[want] {
			t.Errorf("no line %s", want)
		}
		delete(got, want)
	}
	for line := range got {
		t.Errorf("line %s", line)
	}
}
