package entry

import (
	"context"
	"encoding/binary"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/election"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/internal/ring"
	"curlewsill.org/curlewsill/platform"
)

// logStore is a store without a network. Each read of its log returns the same
// records. It counts the reads.
type logStore struct {
	records []jobtable.Record
	reads   int
}

// RoundTrip implements http.RoundTripper. It answers a read of the log.
func (s *logStore) RoundTrip(req *http.Request) (*http.Response, error) {
	s.reads++
	from, err := strconv.ParseUint(req.URL.Query().Get("From"), 10, 64)
	if err != nil {
		return nil, err
	}
	b := binary.BigEndian.AppendUint64(nil, from+uint64(len(s.records)))
	b = binary.BigEndian.AppendUint64(b, 0)
	for _, r := range s.records {
		b = binary.BigEndian.AppendUint32(b, uint32(1+len(r.Key)+len(r.Value)))
		b = append(b, byte(len(r.Key)))
		b = append(b, r.Key...)
		b = append(b, r.Value...)
	}
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(string(b))), Header: http.Header{}, Request: req}, nil
}

// TestOutdatedState checks that a caller who asks for the state of an open job
// is answered from a table that is at most 0.5 s old.
//
// A host that nobody waits on reads the jobs rarely. Without a read for the
// call, a caller would learn of the end of a job up to jobsPause late.
func TestOutdatedState(t *testing.T) {
	for _, c := range []struct {
		age   time.Duration
		want  jobtable.State
		reads int
	}{
		{250 * time.Millisecond, jobtable.StateRunning, 0},
		{time.Second, jobtable.StateCompleted, 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			table := jobtable.New()
			spec, specErr := table.SpecRecord("j", job.Spec{Customer: "c"})
			began, beganErr := table.SummaryRecord("j", jobtable.Summary{})
			ended, endedErr := table.SummaryRecord("j", jobtable.Summary{Outcome: job.Completed, Ended: 1})
			if specErr != nil || beganErr != nil || endedErr != nil {
				t.Fatal(specErr, beganErr, endedErr)
			}
			s := &logStore{}
			h := &Host{
				log: zap.NewNop(), metrics: newMetrics(), health: newStoreHealth(zap.NewNop()), self: "a#1", clock: newTestClock(),
				table: table, events: ring.New[event](eventCapacity), watchers: watchers{},
				store: platform.NewStore("store", &http.Client{Transport: s}),
			}
			h.loaded = true
			h.applyJobs(h.now(), []jobtable.Record{spec, began}, 0)
			s.records = []jobtable.Record{ended}
			h.jobsReadAt = h.now()
			go decideEach(ctx, h.events, h.now, func(unit.Instant) {})
			time.Sleep(c.age)
			v, ok := newClientHandler(h).find(ctx, "j")
			if !ok || v.state != c.want || s.reads != c.reads {
				t.Errorf("a table %v old: state %v, known %t, after %d reads, want %v after %d", c.age, v.state, ok, s.reads, c.want, c.reads)
			}
			cancel()
			synctest.Wait()
		})
	}
}

// TestCountWithoutTable checks that a host without a table, asked for a number of
// waiting jobs, reads nothing from the store itself.
//
// Each such call read the log from its beginning, up to 1 MB, in vain. After all 147
// hosts of a site had restarted, these reads overloaded the store for 19 s: no host
// could load the jobs, and the owner learned of cancellations up to 10.4 s late.
func TestCountWithoutTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &logStore{}
		h := &Host{
			log: zap.NewNop(), metrics: newMetrics(), health: newStoreHealth(zap.NewNop()), self: "a#1", clock: newTestClock(),
			table: jobtable.New(), events: ring.New[event](eventCapacity), store: platform.NewStore("store", &http.Client{Transport: s}),
		}
		go decideEach(ctx, h.events, h.now, func(unit.Instant) {})
		c, loaded := newClientHandler(h).countWaiting(ctx, "q", callerReads)
		if loaded || c.origin.stale != notLoaded || s.reads != 0 {
			t.Errorf("after %d reads the count is told %t, %q; want no read, and that there is no table", s.reads, loaded, c.origin.stale)
		}
		cancel()
		synctest.Wait()
	})
}

// TestKnowsAllHosts checks that an owner relies on the confirmation of the other
// hosts that it has seen only if they are all hosts of the site.
//
// After a return of all hosts of a large site an owner has seen few of them. If
// it lost the store then, it would prolong leases although a host that it doesn't
// know may have taken the ownership.
func TestKnowsAllHosts(t *testing.T) {
	for _, c := range []struct {
		recorded bool
		listed   int
		want     bool
	}{{false, 9, true}, {false, 70, false}, {true, 9, false}} {
		h := newMember(&groupStore{})
		h.candidacy.Begin(election.Member{Host: "last", Ability: 50}, c.recorded)
		h.observeCandidates(h.now(), names(c.listed, 500), false)
		if got := h.knowsAllHosts(); got != c.want {
			t.Errorf("record %t, %d hosts listed: the host knows all hosts %t, want %t", c.recorded, c.listed, got, c.want)
		}
	}
}
