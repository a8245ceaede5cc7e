// Package place chooses blocks for gangs.
//
// A policy gets the free accelerators of each rack and proposes where a gang
// should be placed. Whether the proposal is accepted is decided elsewhere: a
// policy knows nothing of guarantees, leases or customers.
package place

import (
	"errors"
	"fmt"
	"math/bits"

	"curlewsill.org/curlewsill/core/block"
	"curlewsill.org/curlewsill/core/id"
)

// RackSpace describes the free accelerators of one rack.
type RackSpace struct {
	Rack id.Rack
	// Free has a bit for each accelerator that the gang could take at once.
	Free uint64
	// Avoid has a bit for each accelerator that should be left free if
	// possible, because a guarantee or a large job is expected to need it.
	Avoid uint64
}

// Policy proposes blocks. Choose returns the block for a gang of the given
// size, and false if no rack has enough adjacent free accelerators. Racks must
// be in the same order in each call, because ties are decided by the order.
// Demand lists the sizes of the gangs that are waiting or guaranteed.
type Policy interface {
	Name() string
	Choose(racks []RackSpace, size int, demand []int) (block.Block, bool)
}

// Scorer returns the cost of taking size accelerators of a rack from start
// upwards. The position with the lowest cost is chosen; of equal ones, the
// first.
type Scorer func(r RackSpace, start, size int, demand []int) int

type scorePolicy struct {
	name string
	cost Scorer
}

// New returns the policy that takes the position with the lowest cost.
func New(name string, cost Scorer) Policy { return scorePolicy{name, cost} }

func (p scorePolicy) Name() string { return p.name }

func (p scorePolicy) Choose(racks []RackSpace, size int, demand []int) (block.Block, bool) {
	var best block.Block
	lowest, found := 0, false
	for _, r := range racks {
		for starts := block.Starts(r.Free, size); starts != 0; starts &= starts - 1 {
			s := bits.TrailingZeros64(starts)
			if c := p.cost(r, s, size, demand); !found || c < lowest {
				best, lowest, found = block.Block{Rack: r.Rack, Start: s, Size: size}, c, true
			}
		}
	}
	return best, found
}

// FirstFit takes the first position in the first rack that has room for the
// gang.
func FirstFit() Policy {
	return New("first-fit", func(RackSpace, int, int, []int) int { return 0 })
}

// BestFit takes a position in the shortest run of free accelerators.
func BestFit() Policy {
	return New("best-fit", func(r RackSpace, start, _ int, _ []int) int {
		return bits.OnesCount64(block.RunAt(r.Free, start))
	})
}

// Buddy places a gang at a multiple of its size, rounded up to a power of two.
// Among these positions, it looks at the largest buddy block around the position
// that is entirely free, and takes the position where this block is smallest.
// Other starts are used only if no rack has room at such a multiple.
func Buddy() Policy {
	return New("buddy", func(r RackSpace, start, size int, _ []int) int {
		blockSize := 1 << bits.Len(uint(size-1))
		if start%blockSize != 0 {
			return block.MaxSize * 2
		}
		for blockSize < block.MaxSize {
			parent := block.Run(start&^(2*blockSize-1), 2*blockSize)
			if parent&^r.Free != 0 {
				break
			}
			blockSize *= 2
		}
		return blockSize
	})
}

// Weights of Packing. A buddy block is a run of accelerators whose length is a
// power of two and whose start is a multiple of its length. costAvoid counts
// for each accelerator to be avoided. costBreak counts for each accelerator of
// an entirely free buddy block of which the gang would take only a part.
// costUnaligned counts for each accelerator of a gang whose start isn't a
// multiple of its size, rounded up to a power of two. See docs/design.
const (
	costAvoid     = 12
	costBreak     = 6
	costUnaligned = 1
)

// Packing is the policy used in production. It places small gangs in racks that
// are already fragmented. The cost of a position is the weighted sum of
//
//   - the accelerators of entirely free buddy blocks of which the gang would take
//     only a part,
//   - the accelerators to be avoided,
//   - the size of the gang, if its start isn't a multiple of this size rounded up
//     to a power of two, and,
//   - with little weight, the length of the run of free accelerators around the
//     position.
func Packing() Policy {
	return New("curlewsill", func(r RackSpace, start, size int, _ []int) int {
		m := block.Run(start, size)
		cost := costAvoid * bits.OnesCount64(m&r.Avoid)
		if start%(1<<bits.Len(uint(size-1))) != 0 {
			cost += costUnaligned * size
		}
		for blockSize := 2; blockSize <= block.MaxSize; blockSize *= 2 {
			cost += costBreak * brokenAccelerators(r.Free, start, size, blockSize)
		}
		return cost + bits.OnesCount64(block.RunAt(r.Free, start))/8
	})
}

// brokenAccelerators counts the accelerators of free buddy blocks that a gang
// of size accelerators at start would break. A buddy block of blockSize
// accelerators counts if it is entirely free and the gang would take only a
// part of it. This is possible only for the blocks at the two ends of the gang.
func brokenAccelerators(free uint64, start, size, blockSize int) int {
	m := block.Run(start, size)
	first := start / blockSize * blockSize
	last := (start + size - 1) / blockSize * blockSize
	n := 0
	for _, at := range [2]int{first, last} {
		b := block.Run(at, blockSize)
		if b&^free == 0 && b&^m != 0 {
			n += blockSize
		}
		if first == last {
			break
		}
	}
	return n
}

// Weights of Expected. expectedUnit counts for each accelerator that a gang
// size in demand can no longer use, averaged over the sizes. expectedAvoid
// counts for each accelerator to be avoided.
const (
	expectedUnit  = 64
	expectedAvoid = 8
)

// Servable returns how many of the free accelerators of a rack could be used by
// gangs of size n.
func Servable(free uint64, n int) int {
	usable := 0
	for free != 0 {
		run := block.RunAt(free, bits.TrailingZeros64(free))
		usable += bits.OnesCount64(run) / n * n
		free &^= run
	}
	return usable
}

// Expected takes the position that leaves the most usable accelerators to the
// gang sizes in demand (after FGD, ATC 2023). For each size, it counts the
// accelerators that gangs of this size could use before the placement but not
// after it. The average over the sizes is the main part of the cost. The
// accelerators to be avoided and the length of the run of free accelerators are
// added to it.
func Expected() Policy {
	return New("expected", func(r RackSpace, start, size int, demand []int) int {
		m := block.Run(start, size)
		run := block.RunAt(r.Free, start)
		lost := 0
		for _, n := range demand {
			lost += Servable(run, n) - Servable(run&^m, n)
		}
		cost := lost * expectedUnit / max(len(demand), 1)
		return cost + expectedAvoid*bits.OnesCount64(m&r.Avoid) + bits.OnesCount64(run)
	})
}

// ErrUnknown reports the name of a policy that doesn't exist.
var ErrUnknown = errors.New("place: no such policy")

// ByName returns the policy with the given name.
func ByName(name string) (Policy, error) {
	for _, p := range []Policy{FirstFit(), BestFit(), Buddy(), Packing(), Expected()} {
		if p.Name() == name {
			return p, nil
		}
	}
	return nil, fmt.Errorf("%w: %s", ErrUnknown, name)
}
