package dispatch_test

import (
	"testing"

	"curlewsill.org/curlewsill/core/scripttest"
)

// TestCancels runs the scripts of testdata/cancels, in which the owner's reads of the
// jobs fail while other calls to the store succeed.
//
// It guards against tasks that start long after the cancellation of their job was
// acknowledged. With an overloaded store, an owner learned of cancellations up to
// 10.4 s after it, and placed hundreds of tasks a second meanwhile.
func TestCancels(t *testing.T) {
	scripttest.EachIn(t, "cancels", func(t *testing.T, text string) { newScript(t).run(text) })
}
