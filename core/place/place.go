// Package place chooses blocks for gangs.
//
// A policy sees the free accelerators of each rack and proposes where a gang should
// go. Whether the proposal may be taken is decided elsewhere: a policy knows
// nothing of guarantees, leases or customers.
package place

import (
	"errors"
	"fmt"
	"math/bits"

	"curlewsill.org/curlewsill/core/block"
	"curlewsill.org/curlewsill/core/id"
)

// Room is what one rack offers.
type Room struct {
	Rack id.Rack
	// Free has a bit for each accelerator that the gang could have at once.
	Free uint64
	// Avoid has a bit for each accelerator that is better left alone, because a
	// guarantee or a large job is expected to need it.
	Avoid uint64
}

// Policy proposes blocks. Choose returns the block for a gang of the given size, and
// false if no rack holds it. Rooms are in a fixed order. Demand lists the sizes of gangs
// that wait or are guaranteed.
type Policy interface {
	Name() string
	Choose(rooms []Room, size int, demand []int) (block.Block, bool)
}

// Scorer rates the cut of size accelerators at start out of a rack. The lowest
// cost wins; the first of equals.
type Scorer func(r Room, start, size int, demand []int) int

type scored struct {
	name string
	cost Scorer
}

// New returns the policy that takes the cheapest start under cost.
func New(name string, cost Scorer) Policy { return scored{name, cost} }

func (p scored) Name() string { return p.name }

func (p scored) Choose(rooms []Room, size int, demand []int) (block.Block, bool) {
	var best block.Block
	lowest, found := 0, false
	for _, r := range rooms {
		for starts := block.Starts(r.Free, size); starts != 0; starts &= starts - 1 {
			s := bits.TrailingZeros64(starts)
			if c := p.cost(r, s, size, demand); !found || c < lowest {
				best, lowest, found = block.Block{Rack: r.Rack, Start: s, Size: size}, c, true
			}
		}
	}
	return best, found
}

// FirstFit takes the first start of the first rack that holds the gang.
func FirstFit() Policy {
	return New("first-fit", func(Room, int, int, []int) int { return 0 })
}

// BestFit cuts the gang out of the shortest run of free accelerators.
func BestFit() Policy {
	return New("best-fit", func(r Room, start, _ int, _ []int) int {
		return bits.OnesCount64(block.RunAt(r.Free, start))
	})
}

// Buddy places a gang only at multiples of its size, rounded up to a power of two,
// and prefers the smallest buddy block that is wholly free.
func Buddy() Policy {
	return New("buddy", func(r Room, start, size int, _ []int) int {
		unit := 1 << bits.Len(uint(size-1))
		if start%unit != 0 {
			return block.MaxSize * 2
		}
		for unit < block.MaxSize {
			whole := block.Run(start&^(2*unit-1), 2*unit)
			if whole&^r.Free != 0 {
				break
			}
			unit *= 2
		}
		return unit
	})
}

// Weights of Packing. They were chosen on recorded traces; see docs/design.
const (
	costAvoid = 12
	costBreak = 6
	costOdd   = 1
)

// Packing is the policy of the product. It charges a start for each larger buddy
// block that the gang would break, for accelerators better left alone, and for a
// start that isn't a multiple of the size. Small gangs so end up in racks that are
// broken already.
func Packing() Policy {
	return New("curlewsill", func(r Room, start, size int, _ []int) int {
		m := block.Run(start, size)
		cost := costAvoid * bits.OnesCount64(m&r.Avoid)
		if start%(1<<bits.Len(uint(size-1))) != 0 {
			cost += costOdd * size
		}
		for unit := 2; unit <= block.MaxSize; unit *= 2 {
			cost += costBreak * broken(r.Free, start, size, unit)
		}
		return cost + bits.OnesCount64(block.RunAt(r.Free, start))/8
	})
}

// broken counts the accelerators of aligned blocks of the given size that are free now
// and would be cut by the run m of the given start and size. Only the blocks at its
// two ends can be.
func broken(free uint64, start, size, unit int) int {
	m := block.Run(start, size)
	first := start / unit * unit
	last := (start + size - 1) / unit * unit
	n := 0
	for _, at := range [2]int{first, last} {
		b := block.Run(at, unit)
		if b&^free == 0 && b&^m != 0 {
			n += unit
		}
		if first == last {
			break
		}
	}
	return n
}

// Weights of Expected. One accelerator that the sizes in demand lose weighs expectedUnit.
const (
	expectedUnit  = 64
	expectedAvoid = 8
)

// Servable returns how many of the free accelerators of a rack gangs of size n could
// use.
func Servable(free uint64, n int) int {
	got := 0
	for free != 0 {
		run := block.RunAt(free, bits.TrailingZeros64(free))
		got += bits.OnesCount64(run) / n * n
		free &^= run
	}
	return got
}

// Expected takes the start that costs the sizes in demand the fewest accelerators (after
// FGD, ATC 2023): for each size, those that it could use before and can't afterwards.
func Expected() Policy {
	return New("expected", func(r Room, start, size int, demand []int) int {
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

// Named returns the policy with the given name.
func Named(name string) (Policy, error) {
	for _, p := range []Policy{FirstFit(), BestFit(), Buddy(), Packing(), Expected()} {
		if p.Name() == name {
			return p, nil
		}
	}
	return nil, fmt.Errorf("%w: %s", ErrUnknown, name)
}
