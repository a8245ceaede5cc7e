// Package block describes sets of adjacent accelerators.
//
// Accelerators are adjacent when they are consecutive in one rack. A rack has
// at most 64 of them, numbered from 0 in the order of its workers, so any set
// of accelerators of a rack fits into one 64-bit mask, and free runs are found
// with shift operations.
package block

import (
	"fmt"
	"math/bits"

	"curlewsill.org/curlewsill/core/id"
)

// MaxSize is the number of accelerators in the largest possible rack, and
// therefore the size of the largest possible gang.
const MaxSize = 64

// Block is a run of adjacent accelerators.
type Block struct {
	// Rack is the rack that contains the whole block; a block never spans two
	// racks.
	Rack id.Rack `cbor:"1,keyasint" json:"rack"`
	// Start is the first accelerator; 0 <= Start < MaxSize.
	Start int `cbor:"2,keyasint" json:"start"`
	// Size is the number of accelerators; Start+Size <= MaxSize.
	Size int `cbor:"3,keyasint" json:"size"`
}

// Mask returns the accelerators of b as bits of its rack's mask.
func (b Block) Mask() uint64 { return Run(b.Start, b.Size) }

// Overlaps reports whether b and o share an accelerator.
func (b Block) Overlaps(o Block) bool {
	return b.Rack == o.Rack && b.Mask()&o.Mask() != 0
}

// Valid reports whether b lies within the largest possible rack.
func (b Block) Valid() bool {
	return b.Rack != "" && b.Start >= 0 && b.Size > 0 && b.Size <= MaxSize && b.Start+b.Size <= MaxSize
}

// String returns the block as rack[first:end).
func (b Block) String() string {
	return fmt.Sprintf("%s[%d:%d)", b.Rack, b.Start, b.Start+b.Size)
}

// Run returns a mask of size consecutive bits from start upwards.
func Run(start, size int) uint64 {
	if size >= MaxSize {
		return ^uint64(0) << start
	}
	return (uint64(1)<<size - 1) << start
}

// Starts returns the positions at which a run of size free accelerators begins,
// as a mask. A bit set in free stands for a free accelerator.
func Starts(free uint64, size int) uint64 {
	// Before each iteration, bit i of free is set if length consecutive
	// accelerators from i upwards are free.
	length := 1
	for length < size {
		step := min(length, size-length)
		free &= free >> step
		length += step
	}
	return free
}

// LongestRun returns the length of the longest run of set bits in free.
func LongestRun(free uint64) int {
	n := 0
	for free != 0 {
		free &= free >> 1
		n++
	}
	return n
}

// RunAt returns the entire run of set bits in free that contains bit i, as a
// mask. It returns 0 if bit i is not set.
func RunAt(free uint64, i int) uint64 {
	if free>>i&1 == 0 {
		return 0
	}
	up := bits.TrailingZeros64(^(free >> i))
	down := bits.LeadingZeros64(^(free << (MaxSize - 1 - i)))
	return Run(i-down+1, up+down-1)
}
