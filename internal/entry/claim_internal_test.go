package entry

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/election"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/internal/ring"
	"curlewsill.org/curlewsill/platform"
)

// TestYield checks that an owner that hands over to an abler host doesn't claim again while the
// store hasn't answered, though nobody owns the scheduling then.
func TestYield(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &storeAnswer{silent: true}
		h := &Host{
			log: zap.NewNop(), metrics: newMetrics(), table: jobtable.New(), events: ring.New[event](events), start: time.Now(),
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
