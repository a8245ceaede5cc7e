package entry_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"curlewsill.org/curlewsill/internal/faultproxy"
)

// TestOwnerCutOffWithWorker cuts an owner off from the store and from the other
// hosts, together with a worker, as when a failure domain is partitioned.
//
// The other host claims the ownership, can't reach that worker, and waits for
// its leases to expire, counted from its own claim. If the former owner, which
// doesn't learn of the claim, continues to renew the leases, the task still
// runs when it is started again elsewhere.
func TestOwnerCutOffWithWorker(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.strict = true
	storeAddress := s.address
	s.run("proxied\nlinks\nworkers 1\nhosts 1\nsubmit 0 j1 1 endless 200\nawait 0 j1 running")
	s.address = storeAddress // the next host reaches the store over a separate connection
	s.run("hosts 1\nworkers 1\nrest 2s")
	s.cutOff()
	s.checkStartedOnce()
}

// TestOwnerCutOffBeforeNextStarts is like TestOwnerCutOffWithWorker, but the
// other host starts only after the owner was cut off, as when a failure domain
// is partitioned while a host in another domain is down.
//
// The owner's last read of the group is as old as the partition and lists no
// other host. If the owner asks only the hosts of that read, it asks none. It
// then counts as the sole owner forever, while the new host takes the ownership
// and starts the task again.
func TestOwnerCutOffBeforeNextStarts(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.strict = true
	storeAddress := s.address
	s.run("proxied\nlinks\nworkers 1\nhosts 1\nsubmit 0 j1 1 endless 200\nawait 0 j1 running\nworkers 1\nrest 1s")
	s.cutOff()
	s.address = storeAddress // the next host reaches the store over a separate connection
	s.run("hosts 1")
	s.checkStartedOnce()
}

// TestOwnerCutOffBeforeNextReturns is like TestOwnerCutOffWithWorker, but the
// other host is down when the owner is cut off, and returns during the
// partition. It went down only some seconds before, so that the owner knows it.
func TestOwnerCutOffBeforeNextReturns(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.strict = true
	storeAddress := s.address
	s.run("proxied\nlinks\nworkers 1\nhosts 1\nsubmit 0 j1 1 endless 200\nawait 0 j1 running")
	s.address = storeAddress // the next host reaches the store over a separate connection
	s.run("hosts 1\nworkers 1\nrest 2s\nkill 1\nrest 4s")
	s.cutOff()
	s.run("start 1")
	s.checkStartedOnce()
}

// TestCancelledWhileSubmitterIsCutOff submits a job at a host that was cut off a moment
// ago, cancels it at another host, and ends the cut.
//
// It guards against the start of a job whose cancelling was acknowledged, since the
// host repeats the append of its record until the store answers.
func TestCancelledWhileSubmitterIsCutOff(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.run("links\nworkers 1\nhosts 1\nsubmit 0 j0 1 short 200\nawait 0 j0 completed\nproxied\nhosts 1\nrest 2s\nagain 1 j0 200")
	s.eachHostProxy(func(p *faultproxy.Proxy) { p.Cut(faultproxy.Both) })
	s.run("submit 1 j1 1 short 504\ncancel 0 j1 410")
	s.eachHostProxy((*faultproxy.Proxy).Heal)
	s.run("rest 4s\nstarts j1 0\nstate 0 j1 410\nagain 0 j1 503\nagain 1 j1 503\nsubmit 1 j2 1 short 200\nawait 0 j2 completed")
}

// eachHostProxy calls do for each proxy in front of the store and of a host.
func (s *site) eachHostProxy(do func(*faultproxy.Proxy)) {
	for _, p := range s.proxies["store"] {
		do(p)
	}
	s.storeProxy.mu.Lock()
	defer s.storeProxy.mu.Unlock()
	for _, p := range s.storeProxy.proxies {
		do(p)
	}
}

// cutOff cuts the first host off from the store and from the other hosts, and
// the first worker off from everything but its open connections.
func (s *site) cutOff() {
	s.eachHostProxy(func(p *faultproxy.Proxy) { p.Cut(faultproxy.Both) })
	if err := s.proxies["workers"][0].IgnoreConnects(); err != nil {
		s.t.Fatal(err)
	}
}

// checkStartedOnce waits until a task starts on the second worker, and fails if
// one still runs on the first worker by then.
func (s *site) checkStartedOnce() {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if len(s.worker(1).Starts()) == 0 {
			continue
		}
		rec := httptest.NewRecorder()
		req := httptest.NewRequest("POST", "/hold", strings.NewReader(`{"FencingToken":9007199254740991}`))
		s.worker(0).ServeHTTP(rec, req)
		if strings.Contains(rec.Body.String(), `"Running":[[`) {
			s.t.Errorf("the task was started again while its first run was still running: %s", rec.Body)
		}
		return
	}
	s.t.Error("the task wasn't started elsewhere within 30 s")
}
