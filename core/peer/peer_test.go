package peer_test

import (
	"fmt"
	"testing"
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/peer"
	"curlewsill.org/curlewsill/core/unit"
)

// TestReplacements replaces a host many times, each time under a new name, and
// checks that the table forgets the replaced ones.
func TestReplacements(t *testing.T) {
	const replaced = 400
	table := peer.New("self")
	now := unit.Instant(time.Hour)
	for i := range replaced {
		h := id.Host(fmt.Sprint("h", i))
		table.ReceiveFrame(now, peer.Frame{From: h})
		table.SetHosts(now, []id.Host{"self", h})
		now = now.Add(time.Minute)
	}
	if n := table.Len(); n > 15 {
		t.Errorf("the table has %d hosts after %d replacements", n, replaced)
	}
}
