package block_test

import (
	"math/bits"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"curlewsill.org/curlewsill/core/block"
)

const seed = 1

// properties returns a set of properties with a fixed seed.
func properties() *gopter.Properties {
	return gopter.NewProperties(gopter.DefaultTestParametersWithSeed(seed))
}

// starts computes Starts by testing every position.
func starts(free uint64, size int) uint64 {
	var out uint64
	for s := 0; s+size <= block.MaxSize; s++ {
		if m := block.Run(s, size); m&free == m {
			out |= 1 << s
		}
	}
	return out
}

// longest computes LongestRun by counting.
func longest(free uint64) int {
	best, n := 0, 0
	for i := range block.MaxSize {
		n++
		if free>>i&1 == 0 {
			n = 0
		}
		best = max(best, n)
	}
	return best
}

// TestRuns compares the functions on bit masks with implementations that test
// or count single bits.
func TestRuns(t *testing.T) {
	p := properties()
	size := gen.IntRange(1, block.MaxSize)
	p.Property("Starts returns all positions of free runs", prop.ForAll(
		func(free uint64, size int) bool { return block.Starts(free, size) == starts(free, size) },
		gen.UInt64(), size))
	p.Property("Starts returns all positions of free runs in dense masks", prop.ForAll(
		func(a, b, c uint64, size int) bool { return block.Starts(a|b|c, size) == starts(a|b|c, size) },
		gen.UInt64(), gen.UInt64(), gen.UInt64(), size))
	p.Property("LongestRun returns the length of the longest run", prop.ForAll(
		func(a, b uint64) bool { return block.LongestRun(a|b) == longest(a|b) },
		gen.UInt64(), gen.UInt64()))
	p.Property("RunAt returns the entire run around a bit", prop.ForAll(
		func(a, b uint64, i int) bool {
			free := a | b
			r := block.RunAt(free, i)
			if free>>i&1 == 0 {
				return r == 0
			}
			n := bits.OnesCount64(r)
			low := bits.TrailingZeros64(r)
			bounded := (low == 0 || free>>(low-1)&1 == 0) && (low+n == 64 || free>>(low+n)&1 == 0)
			return r == block.Run(low, n) && r&^free == 0 && r>>i&1 == 1 && bounded
		},
		gen.UInt64(), gen.UInt64(), gen.IntRange(0, 63)))
	p.TestingRun(t)
}
