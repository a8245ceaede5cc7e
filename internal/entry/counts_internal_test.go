package entry

import (
	"testing"
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
)

// TestCountsAreNotWalkedForEachCaller guards against callers that keep the answers of workers waiting.
//
// Symptom: an owner takes in its workers' answers seconds late while callers ask how many jobs wait.
// Sequence: each such call walks over the whole table on the goroutine that takes the answers in; the
// more jobs there are, the longer.
// Cause: the walk was made for each call.
// Settled by: 300 calls a second of 3.7 ms each, which is 10,000 jobs at a fifth of a core, beside passes
// of 3.6 ms let an answer wait for 6.4 s in virtual time, 100 calls a second for 6 ms.
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
		if age := time.Duration(int(asked/unit.Instant(time.Millisecond))-got) * time.Millisecond; age > countAge {
			t.Fatalf("a count is %v old, %v are allowed", age, countAge)
		}
		now = now.Add(every)
	}
	if most := queues * (int(calls*every/countAge) + 1); walks > most {
		t.Errorf("%d walks for %d calls, want %d at most", walks, calls, most)
	}
}
