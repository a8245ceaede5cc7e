package entry

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/election"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/policy"
	"curlewsill.org/curlewsill/internal/ring"
	"curlewsill.org/curlewsill/internal/wslink"
	"curlewsill.org/curlewsill/platform"
)

// TestEpochsApart checks that no increase of an owner's fence reaches the epoch
// of the next claim.
func TestEpochsApart(t *testing.T) {
	for range 1000 {
		if now, next := drawEpoch(7), drawEpoch(8); now+id.MaxFenceRevision >= next {
			t.Fatalf("epochs %d and %d are %d apart", now, next, next-now)
		}
	}
}

// TestLoadedLate checks that a host that has read the group of live hosts
// before it loads the jobs doesn't claim against an owner that the group lists.
//
// Loading takes up to 8 s over 10 Mbit/s, while the host reads the group every
// 120 ms. If reads from before the end of the load count as reads in which the
// owner is missing, the host claims as soon as it has loaded: when 41 hosts
// came back at once, this made eight of them owners within 8 s, although all
// were alive.
func TestLoadedLate(t *testing.T) {
	for _, c := range []struct {
		owner  id.Host
		claims bool
	}{
		{"large#1", false},
		{"dead#1", true}, // the group doesn't list it, so the host claims at once
	} {
		synctest.Test(t, func(t *testing.T) {
			h := &Host{
				log: zap.NewNop(), metrics: newMetrics(), self: "small#1", table: jobtable.New(), clock: newTestClock(), watchers: watchers{},
				election: election.New(election.Member{Host: "small#1", Ability: 100}),
			}
			group := []election.Member{{Host: "small#1", Ability: 100}, {Host: "large#1", Ability: 500}}
			for range 10 {
				h.election.ObserveGroup(h.now(), group, h.table.Owner().Host)
				time.Sleep(h.election.PollInterval())
			}
			rec, err := jobtable.New().OwnerRecord(jobtable.Owner{Host: c.owner, Epoch: 7})
			if err != nil {
				t.Fatal(err)
			}
			h.loadJobs(h.now(), []jobtable.Record{rec}, 1)
			if got := h.mayClaim(h.now()); got != c.claims {
				t.Errorf("the owner is %s: the host claims %t", c.owner, got)
			}
		})
	}
}

// TestFirstClaim checks that a host that has read an empty jobs log treats the
// first claim in it as a new claim.
//
// Otherwise the claim counts as older than the host's start, and earlier reads
// of the group still count as reads in which the owner is missing. Three hosts
// that started together thus took the ownership from one another within 0.4 s,
// each just after the one before had begun to schedule.
func TestFirstClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &Host{
			log: zap.NewNop(), metrics: newMetrics(), self: "b#1", table: jobtable.New(), clock: newTestClock(), watchers: watchers{},
			election: election.New(election.Member{Host: "b#1", Ability: 100}),
		}
		h.loadJobs(h.now(), nil, 0)
		group := []election.Member{{Host: "a#1", Ability: 100}, {Host: "b#1", Ability: 100}}
		for range 3 {
			h.election.ObserveGroup(h.now(), group, h.table.Owner().Host)
			time.Sleep(h.election.PollInterval())
		}
		rec, err := jobtable.New().OwnerRecord(jobtable.Owner{Host: "a#1", Epoch: 7})
		if err != nil {
			t.Fatal(err)
		}
		h.applyJobs(h.now(), []jobtable.Record{rec}, 0)
		time.Sleep(time.Second / 2)
		if h.mayClaim(h.now()) {
			t.Error("the host claims half a second after the first claim")
		}
	})
}

// TestFollowsOwner checks that a host forwards records to a new owner, and
// watches it, as soon as it has read the claim.
//
// It guards against updating the owner only after reads of the group of live
// hosts. When the store has just become slow, hosts would then append their
// callers' records themselves, one after the other, until the next read of the
// group is answered, for 0.3 s or more.
func TestFollowsOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &Host{
			log: zap.NewNop(), metrics: newMetrics(), self: "b#1", table: jobtable.New(), clock: newTestClock(), watchers: watchers{},
			election: election.New(election.Member{Host: "b#1", Ability: 100}), peerAddresses: map[id.Host]string{"a#1": "there"},
		}
		h.loadJobs(h.now(), nil, 0)
		h.election.ObserveGroup(h.now(), []election.Member{{Host: "a#1", Ability: 100}, {Host: "b#1", Ability: 100}}, "")
		rec, err := jobtable.New().OwnerRecord(jobtable.Owner{Host: "a#1", Epoch: 7})
		if err != nil {
			t.Fatal(err)
		}
		h.applyJobs(h.now(), []jobtable.Record{rec}, 0)
		if at := h.forwardAddress.Load(); at == nil || *at != "there" {
			t.Errorf("records are forwarded to %v", at)
		}
		if w := h.watched.Load(); w == nil || w.owner != "a#1" {
			t.Errorf("the watched owner is %v", w)
		}
	})
}

// TestClaimsPause checks that a host that should claim pauses between reads
// that the store refuses at once.
//
// Without the pause every pass, 5 ms apart, begins such a read: hundreds of
// calls to a store that refuses one host.
func TestClaimsPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := &fixedStore{status: http.StatusServiceUnavailable}
		h := &Host{
			log: zap.NewNop(), metrics: newMetrics(), health: newStoreHealth(zap.NewNop()), self: "a#1",
			links: wslink.New(nil, wslink.Policies{}, 0, zap.NewNop()), table: jobtable.New(), events: ring.New[event](eventCapacity), clock: newTestClock(),
			store: platform.NewStore("store", &http.Client{Transport: store}), loaded: true,
			election: election.New(election.Member{Host: "a#1", Ability: 100}),
		}
		h.election.ObserveGroup(h.now(), []election.Member{{Host: "a#1", Ability: 100}}, "gone#1")
		h.election.ObserveGroup(h.now(), []election.Member{{Host: "a#1", Ability: 100}}, "gone#1")
		go h.decide(ctx)
		time.Sleep(time.Second)
		synctest.Wait()
		if got, most := store.tries(), int(time.Second/minRetryPause); got > most || got < 2 {
			t.Errorf("%d reads within 1s, want 2 to %d", got, most)
		}
		cancel()
		synctest.Wait()
	})
}

// TestYield checks that an owner that hands over to a more able host doesn't
// claim again until the store has answered, although nobody owns the scheduling
// then.
func TestYield(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fixedStore{silent: true}
		h := &Host{
			log: zap.NewNop(), metrics: newMetrics(), table: jobtable.New(), events: ring.New[event](eventCapacity), clock: newTestClock(),
			store: platform.NewStore("store", &http.Client{Transport: store}), loaded: true,
			election: election.New(election.Member{Host: "small", Ability: 100}),
		}
		h.owner = &owner{host: h, epoch: 0, cancel: func() {}, core: dispatch.New(dispatch.Config{}, policy.New(), 0, jobtable.New())}
		group := []election.Member{{Host: "small", Ability: 100}, {Host: "large", Ability: 500}}
		h.election.ObserveGroup(h.now(), group, "small")
		time.Sleep(10 * time.Second)
		h.election.ObserveGroup(h.now(), group, "small")
		h.yield(t.Context(), h.now())
		if h.owner != nil {
			t.Fatal("the owner has not handed over")
		}
		if !h.claiming {
			t.Error("the host may claim again before the store has the release")
		}
		(<-h.events.C())(h.now())
		if h.claiming {
			t.Error("the host can't claim after the release has ended")
		}
	})
}
