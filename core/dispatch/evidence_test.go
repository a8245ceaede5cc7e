package dispatch_test

import (
	"testing"

	"curlewsill.org/curlewsill/core/scripttest"
)

// TestEvidence plays the scripts of testdata/evidence, in which a worker seems to be gone and isn't.
//
// Tasks ran twice at once, or once more after they were done, hundreds of times on two sites. The owner
// had given up all runs of a worker that still held its lease, and placed their tasks again; the ends of
// the first runs came later, were acknowledged as unknown ones, and neither a success nor a failure counted. Two
// kinds of evidence were taken for proof: the order in which two lives at one address were listed
// ("task-lost", "another life at its address", 0.14 s after the worker's last answer), and a lapsed entry together
// with a connection that couldn't be opened ("unlisted and refusing connections", 3.9 s after it, with 6 s
// of the lease left). Of 2,570 runs that were given up in these ways 2,102 were still there.
func TestEvidence(t *testing.T) {
	scripttest.EachIn(t, "evidence", func(t *testing.T, text string) { newScript(t).run(text) })
}
