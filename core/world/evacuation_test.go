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

// evacuationBound is how long after an evacuation a task may still start on the
// users' sites.
const evacuationBound = 5 * time.Second

// TestEvacuation runs the scripts of testdata/evacuation, in which the operator
// evacuates failure domains of a site that has three.
//
// It guards against owners that don't read the operator's records of
// evacuations. Such owners started 247 tasks in an evacuated domain after the
// platform's bound.
func TestEvacuation(t *testing.T) {
	scripttest.EachIn(t, "evacuation", func(t *testing.T, text string) { (&scriptRunner{t: t, changeSetup: enableEvacuations}).run(text) })
}

// enableEvacuations splits a site into three failure domains and lets the
// operator evacuate them.
func enableEvacuations(s *world.Setup) {
	for i := range s.Workers {
		s.Workers[i].Domain = id.Domain(fmt.Sprintf("d%d", i*3/len(s.Workers)))
	}
	c := config
	c.EvacuationLimit = evacuationBound
	s.NewDispatcher = func(e id.Epoch, t *jobtable.Table) *dispatch.Dispatcher { return dispatch.New(c, policy.New(), e, t) }
	s.EvacuationBound, s.Times.OperatorPoll = evacuationBound, 700*time.Millisecond
}

// TestLongEvacuations is TestLong with evacuations of failure domains, together
// with changes of the owner, late orders, partitions, workers that restart
// under their names, and outages of the store.
func TestLongEvacuations(t *testing.T) {
	eachDelivery(t, simulateEvacuations)
}

// simulateEvacuations runs one seed of TestLongEvacuations. With even seeds
// workers report their starts, so that they may restart under their names.
func simulateEvacuations(t *testing.T, seed uint64, length time.Duration, change func(*world.Setup)) *world.World {
	kinds := []world.FaultKind{
		world.Evacuate, world.KillOwner, world.Evacuate, world.Late, world.Apart, world.Evacuate, world.Silence, world.StoreDown, world.Evacuate,
		world.StoreSlow, world.Drain, world.KillHosts, world.Kill,
	}
	reportsStart := seed%2 == 0
	if reportsStart {
		kinds = append(kinds, world.Reborn)
	}
	return simulateSite(t, seed, kinds, randomJob, length, func(s *world.Setup) {
		enableEvacuations(s)
		s.ReportStart = reportsStart
		change(s)
	})
}
