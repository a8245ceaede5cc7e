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

// starts is Starts by trying every position.
func starts(free uint64, size int) uint64 {
	var out uint64
	for s := 0; s+size <= block.MaxSize; s++ {
		if m := block.Run(s, size); m&free == m {
			out |= 1 << s
		}
	}
	return out
}

// longest is LongestRun by counting.
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

// TestRuns compares the shifts with plain counting.
func TestRuns(t *testing.T) {
	p := properties()
	size := gen.IntRange(1, block.MaxSize)
	p.Property("starts are the positions of free runs", prop.ForAll(
		func(free uint64, size int) bool { return block.Starts(free, size) == starts(free, size) },
		gen.UInt64(), size))
	p.Property("dense masks have the same starts", prop.ForAll(
		func(a, b, c uint64, size int) bool { return block.Starts(a|b|c, size) == starts(a|b|c, size) },
		gen.UInt64(), gen.UInt64(), gen.UInt64(), size))
	p.Property("the longest run is the longest", prop.ForAll(
		func(a, b uint64) bool { return block.LongestRun(a|b) == longest(a|b) },
		gen.UInt64(), gen.UInt64()))
	p.Property("a run around a bit is whole", prop.ForAll(
		func(a, b uint64, i int) bool {
			free := a | b
			r := block.RunAt(free, i)
			if free>>i&1 == 0 {
				return r == 0
			}
			n := bits.OnesCount64(r)
			low := bits.TrailingZeros64(r)
			edge := (low == 0 || free>>(low-1)&1 == 0) && (low+n == 64 || free>>(low+n)&1 == 0)
			return r == block.Run(low, n) && r&^free == 0 && r>>i&1 == 1 && edge
		},
		gen.UInt64(), gen.UInt64(), gen.IntRange(0, 63)))
	p.TestingRun(t)
}
