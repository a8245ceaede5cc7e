package dispatch_test

import (
	"testing"

	"curlewsill.org/curlewsill/core/scripttest"
)

// TestEvidence runs the scripts of testdata/evidence, in which a worker seems
// to be gone and isn't.
//
// It guards against tasks that run twice at once, or again after they were
// done, because the owner gives up all runs of a worker that still holds its
// lease. The ends of these first runs arrived later and were acknowledged as
// unknown, so that neither successes nor failures counted. Two kinds of weak
// evidence were taken as proof. One was the order in which two incarnations at
// one address were listed; the runs were given up 0.14 s after the worker's
// last answer. The other was an expired list entry together with a refused
// connection; the runs were given up 3.9 s after the last answer, with 6 s of
// the lease left. Of 2,570 runs that were given up for these reasons, 2,102
// were still running.
func TestEvidence(t *testing.T) {
	scripttest.EachIn(t, "evidence", func(t *testing.T, text string) { newScript(t).run(text) })
}
