package world_test

import (
	"fmt"
	"testing"
	"time"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/policy"
	"curlewsill.org/curlewsill/core/scripttest"
	"curlewsill.org/curlewsill/core/world"
)

// evacuationBound is how long after an evacuation a task may still start, the figure of the users' sites.
const evacuationBound = 5 * time.Second

// TestEvacuation plays the scripts of testdata/evacuation, in which the operator evacuates failure domains of a site that has three.
//
// Nothing read the operator's records of evacuations: on one day with an evacuation 247 tasks began in the domain after the platform's bound.
func TestEvacuation(t *testing.T) {
	scripttest.EachIn(t, "evacuation", func(t *testing.T, text string) { (&player{t: t, change: evacuates}).run(text) })
}

// evacuates makes a site one of three failure domains with an operator who evacuates them.
func evacuates(s *world.Setup) {
	for i := range s.Workers {
		s.Workers[i].Domain = id.Domain(fmt.Sprintf("d%d", i*3/len(s.Workers)))
	}
	c := config
	c.Evacuation = evacuationBound
	s.Make = func(e id.Epoch, t *jobtable.Table) *dispatch.Dispatcher { return dispatch.New(c, policy.New(), e, t) }
	s.Evacuation, s.Times.Poll = evacuationBound, 700*time.Millisecond
}

// TestLongEvacuations is TestLong with an operator who evacuates failure domains, beside owners that change, late orders, cuts, workers that begin
// again under their names and outages of the store.
func TestLongEvacuations(t *testing.T) {
	eachDelivery(t, playEvacuations)
}

// playEvacuations plays one seed of TestLongEvacuations. In each other one workers tell their starts, so that they may begin again under their names.
func playEvacuations(t *testing.T, seed uint64, length time.Duration, d world.Delivery) *world.World {
	kinds := []world.FaultKind{
		world.Evacuate, world.KillOwner, world.Evacuate, world.Late, world.Apart, world.Evacuate, world.Silence, world.StoreDown, world.Evacuate,
		world.StoreSlow, world.Drain, world.KillHosts, world.Kill,
	}
	tells := seed%2 == 0
	if tells {
		kinds = append(kinds, world.Reborn)
	}
	return playSite(t, seed, kinds, randomJob, length, func(s *world.Setup) {
		evacuates(s)
		s.TellStart, s.Delivery = tells, d
	})
}
