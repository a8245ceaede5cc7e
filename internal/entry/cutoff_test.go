package entry_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"curlewsill.org/curlewsill/internal/faultproxy"
)

// TestOwnerCutOffWithWorker cuts an owner off from the store and from the other hosts, together with a worker, as when a
// failure domain is cut off.
//
// The other host claims, can't reach that worker, and counts its leases from its claim. The former owner, which nobody tells
// of that, goes on renewing them, so that the task runs on while it is started again elsewhere.
func TestOwnerCutOffWithWorker(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.strict = true
	plain := s.address
	s.run("proxied\nlinks\nworkers 1\nhosts 1\nsubmit 0 j1 1 endless 200\nawait 0 j1 running")
	s.address = plain // the next host reaches the store by a way of its own
	s.run("hosts 1\nworkers 1\nrest 2s")
	s.cutOff()
	s.startsOnce()
}

// TestOwnerCutOffBeforeNextStarts is the same with another host that starts only after the owner was cut off, as when a failure
// domain is cut off while a host of another one is down.
//
// The owner asks the hosts that its last look at the group has shown, and that is as old as the cut: nobody. So it is assured
// for ever, while the host that has started owns the scheduling and starts the task again.
func TestOwnerCutOffBeforeNextStarts(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.strict = true
	plain := s.address
	s.run("proxied\nlinks\nworkers 1\nhosts 1\nsubmit 0 j1 1 endless 200\nawait 0 j1 running\nworkers 1\nrest 1s")
	s.cutOff()
	s.address = plain // the next host reaches the store by a way of its own
	s.run("hosts 1")
	s.startsOnce()
}

// TestOwnerCutOffBeforeNextReturns is the same with a host that the owner knew, that was down for some seconds when the owner was cut
// off, and that comes back meanwhile.
func TestOwnerCutOffBeforeNextReturns(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.strict = true
	plain := s.address
	s.run("proxied\nlinks\nworkers 1\nhosts 1\nsubmit 0 j1 1 endless 200\nawait 0 j1 running")
	s.address = plain // the next host reaches the store by a way of its own
	s.run("hosts 1\nworkers 1\nrest 2s\nkill 1\nrest 4s")
	s.cutOff()
	s.run("start 1")
	s.startsOnce()
}

// cutOff cuts the first host off from the store and from the other hosts, and the first worker off from all but the
// connections that are open.
func (s *site) cutOff() {
	for _, p := range s.proxies["store"] {
		p.Cut(faultproxy.Both)
	}
	s.between.mu.Lock()
	for _, p := range s.between.proxies {
		p.Cut(faultproxy.Both)
	}
	s.between.mu.Unlock()
	if err := s.proxies["workers"][0].Mute(); err != nil {
		s.t.Fatal(err)
	}
}

// startsOnce waits until a task starts on the second worker, and fails if one runs on the first then.
func (s *site) startsOnce() {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if len(s.worker(1).Starts()) == 0 {
			continue
		}
		rec := httptest.NewRecorder()
		req := httptest.NewRequest("POST", "/hold", strings.NewReader(`{"FencingToken":9007199254740991}`))
		s.worker(0).ServeHTTP(rec, req)
		if strings.Contains(rec.Body.String(), `"Running":[[`) {
			s.t.Errorf("the task was started again while it ran: %s", rec.Body)
		}
		return
	}
	s.t.Error("the task wasn't started elsewhere within 30 s")
}
