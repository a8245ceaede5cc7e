package entry

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/election"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/internal/ring"
	"curlewsill.org/curlewsill/platform"
)

// TestEpochsApart checks that no raise of an owner's fence reaches the epoch of the next claim.
func TestEpochsApart(t *testing.T) {
	for range 1000 {
		if now, next := epochAt(7), epochAt(8); now+id.MostRaises >= next {
			t.Fatalf("epochs %d and %d are %d apart", now, next, next-now)
		}
	}
}

// TestLoadedLate checks that a host that loads the jobs after it has looked at the group doesn't claim
// against an owner that the group shows.
//
// Symptom: eight owners within 8 s after 41 hosts came back, all alive, some of them small hosts.
// Sequence: the hosts look at the group every 120 ms while they load the jobs, which takes up to 8 s
// over 10 Mbit/s; another host becomes the owner; a host has loaded, and claims at once. Cause: looks
// before that compare the group with an owner that isn't known yet, and count as looks that miss it.
// Figures: of 123 looks within 0.5 s all show 41 members, and 8 the owner that their host's table has.
func TestLoadedLate(t *testing.T) {
	for _, c := range []struct {
		owner  id.Host
		claims bool
	}{
		{"large#1", false},
		{"dead#1", true}, // the group doesn't show it: it is claimed against at once
	} {
		synctest.Test(t, func(t *testing.T) {
			h := &Host{
				log: zap.NewNop(), metrics: newMetrics(), self: "small#1", table: jobtable.New(), clock: newTestClock(), watchers: watchers{},
				election: election.New(election.Member{Host: "small#1", Ability: 100}),
			}
			group := []election.Member{{Host: "small#1", Ability: 100}, {Host: "large#1", Ability: 500}}
			for range 10 {
				h.election.Look(h.now(), group, h.table.Owner().Host)
				time.Sleep(h.election.NextLook())
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

// TestFirstClaim checks that the first claim of all is news to a host that has read the jobs before.
//
// Three hosts that began together took the ownership one after the other, at 0.629, 0.870 and 1.011 s, each as the one before had just begun to
// schedule: what a host had read before any claim counted as "nothing was read", so that the first claim was taken for one from before the host's
// start, and the looks before it went on to count as looks that miss the owner. The lines: "jobs-loaded records=0" of all three, then "claim" of
// each 240 and 140 ms after the one before, with the one before as "previous".
func TestFirstClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &Host{
			log: zap.NewNop(), metrics: newMetrics(), self: "b#1", table: jobtable.New(), clock: newTestClock(), watchers: watchers{},
			election: election.New(election.Member{Host: "b#1", Ability: 100}),
		}
		h.loadJobs(h.now(), nil, 0)
		group := []election.Member{{Host: "a#1", Ability: 100}, {Host: "b#1", Ability: 100}}
		for range 3 {
			h.election.Look(h.now(), group, h.table.Owner().Host)
			time.Sleep(h.election.NextLook())
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

// TestFollowsOwner checks that a host hands records to a new owner, and watches it, as soon as it has read its claim.
//
// On a store that had just become slow, hosts appended the records of their callers themselves for 0.3 s and more, each in a turn of its own:
// "claim" at 1.011 s, "store-pace slow=true" at 1.174 s, calls accepted at 1.479 s, and nothing gathered. Where the owner takes records was looked
// up at looks at the group only, the next of which waited for the slow store.
func TestFollowsOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &Host{
			log: zap.NewNop(), metrics: newMetrics(), self: "b#1", table: jobtable.New(), clock: newTestClock(), watchers: watchers{},
			election: election.New(election.Member{Host: "b#1", Ability: 100}), peerAddresses: map[id.Host]string{"a#1": "there"},
		}
		h.loadJobs(h.now(), nil, 0)
		h.election.Look(h.now(), []election.Member{{Host: "a#1", Ability: 100}, {Host: "b#1", Ability: 100}}, "")
		rec, err := jobtable.New().OwnerRecord(jobtable.Owner{Host: "a#1", Epoch: 7})
		if err != nil {
			t.Fatal(err)
		}
		h.applyJobs(h.now(), []jobtable.Record{rec}, 0)
		if at := h.gatherer.Load(); at == nil || *at != "there" {
			t.Errorf("records are handed to %v", at)
		}
		if w := h.watched.Load(); w == nil || w.owner != "a#1" {
			t.Errorf("%v is watched", w)
		}
	})
}

// TestClaimsPause checks that a host that is due to claim doesn't call a store that refuses again and
// again without a pause.
//
// Symptom: hundreds of calls to a store that turns one host away. Sequence: the host is due to claim,
// its read is refused at once, and the next pass, 5 ms later, begins anew. Cause: nothing paused after
// a read that failed. Figures: 642 such reads in a day of 34 s with 8 hosts, 7,554 calls in all.
func TestClaimsPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := &storeAnswer{status: http.StatusServiceUnavailable}
		h := &Host{
			log: zap.NewNop(), metrics: newMetrics(), health: newStoreHealth(zap.NewNop()), self: "a#1",
			table: jobtable.New(), events: ring.New[event](events), clock: newTestClock(),
			store: platform.NewStore("store", &http.Client{Transport: store}), loaded: true,
			election: election.New(election.Member{Host: "a#1", Ability: 100}),
		}
		h.election.Look(h.now(), []election.Member{{Host: "a#1", Ability: 100}}, "gone#1")
		h.election.Look(h.now(), []election.Member{{Host: "a#1", Ability: 100}}, "gone#1")
		go h.decide(ctx)
		time.Sleep(time.Second)
		synctest.Wait()
		if got, most := store.tries(), int(time.Second/retryLeast); got > most || got < 2 {
			t.Errorf("%d reads within 1s, want 2 to %d", got, most)
		}
		cancel()
		synctest.Wait()
	})
}

// TestYield checks that an owner that hands over to an abler host doesn't claim again while the
// store hasn't answered, though nobody owns the scheduling then.
func TestYield(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &storeAnswer{silent: true}
		h := &Host{
			log: zap.NewNop(), metrics: newMetrics(), table: jobtable.New(), events: ring.New[event](events), clock: newTestClock(),
			store: platform.NewStore("store", &http.Client{Transport: store}), loaded: true,
			election: election.New(election.Member{Host: "small", Ability: 100}),
		}
		h.owner = &owner{host: h, epoch: 0, cancel: func() {}}
		group := []election.Member{{Host: "small", Ability: 100}, {Host: "large", Ability: 500}}
		h.election.Look(h.now(), group, "small")
		time.Sleep(10 * time.Second)
		h.election.Look(h.now(), group, "small")
		h.yield(t.Context(), h.now())
		if h.owner != nil {
			t.Fatal("the owner has not handed over")
		}
		if !h.claiming {
			t.Error("the host may claim again before the store has the hand-over")
		}
		(<-h.events.C())(h.now())
		if h.claiming {
			t.Error("the host can't claim after the hand-over has ended")
		}
	})
}
