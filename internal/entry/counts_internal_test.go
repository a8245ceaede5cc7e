package entry

import (
	"testing"
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
)

// TestCountsAreNotWalkedForEachCaller checks that callers who ask how many jobs
// wait share one walk over the table.
//
// A walk takes place on the goroutine that handles workers' answers. With
// 10,000 jobs on a fifth of a core a walk takes 3.7 ms: with a walk for each of
// 300 calls a second, and passes of 3.6 ms, an answer waited for 6.4 s in
// virtual time, against 6 ms at 100 calls a second.
func TestCountsAreNotWalkedForEachCaller(t *testing.T) {
	const calls, every, queues = 3000, time.Second / 300, 2
	walks := 0
	c := counts{}
	now := unit.At(time.Unix(1000, 0))
	for i := range calls {
		asked := now
		got := c.get(now, id.Queue(rune('a'+i%queues)), func(id.Queue) int {
			walks++
			return int(asked / unit.Instant(time.Millisecond))
		})
		if age := time.Duration(int(asked/unit.Instant(time.Millisecond))-got) * time.Millisecond; age > maxCountAge {
			t.Fatalf("a count is %v old, %v are allowed", age, maxCountAge)
		}
		now = now.Add(every)
	}
	if most := queues * (int(calls*every/maxCountAge) + 1); walks > most {
		t.Errorf("%d walks for %d calls, want %d at most", walks, calls, most)
	}
}
