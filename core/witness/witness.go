// Package witness shows that every guaranteed block could be given to its
// customer at this moment.
//
// A cell is one block of a guarantee. A cell in use is bound to its home, the
// block in which its customer's gangs run. A witness is a set of actual places
// for all other cells. These places don't overlap each other, a home, or a task
// that can't be preempted. While a witness exists, each guarantee can be
// reclaimed by stopping only preemptible tasks. A decision after which no
// witness would exist is not taken.
package witness

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math/bits"
	"slices"

	"curlewsill.org/curlewsill/core/block"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/record"
)

// ErrNoPlace reports that no place was found for a cell. The search is greedy,
// so ErrNoPlace doesn't prove that there is none. The error is on the safe
// side: at worst, a decision is refused that could have been accepted.
var ErrNoPlace = errors.New("witness: no place for a guaranteed block")

// RackSpace describes what one rack offers to the cells that are not in use.
type RackSpace struct {
	Rack id.Rack
	// Free has a bit for each accelerator that the place of an unused cell may
	// include. Such an accelerator is neither part of a home nor held by a task
	// that can't be preempted. The caller may also leave out the accelerators
	// of lost workers.
	Free uint64
}

// Need is a cell that is not in use.
type Need struct {
	Cell record.Cell
	// Size is the number of adjacent accelerators, 1 to block.MaxSize.
	Size int
}

// Witness maps each cell that is not in use to its place.
type Witness map[record.Cell]block.Block

// Cells returns the cells that have a place in w, sorted by guarantee and index.
func (w Witness) Cells() []record.Cell {
	return slices.SortedFunc(maps.Keys(w), func(a, b record.Cell) int {
		return cmp.Or(cmp.Compare(a.Guarantee, b.Guarantee), cmp.Compare(a.Index, b.Index))
	})
}

// Find returns a witness. If it finds no place for a cell, it returns
// ErrNoPlace with the first such cell. It sorts needs in place and doesn't
// change racks.
func Find(racks []RackSpace, needs []Need) (Witness, error) {
	remaining := slices.Clone(racks)
	slices.SortFunc(needs, largestFirst)
	w := make(Witness, len(needs))
	for _, n := range needs {
		b, ok := bestFit(remaining, n.Size)
		if !ok {
			return nil, fmt.Errorf("%w: guarantee %s, block %d of size %d",
				ErrNoPlace, n.Cell.Guarantee, n.Cell.Index, n.Size)
		}
		w[n.Cell] = b
	}
	return w, nil
}

// Update returns a witness for needs that keeps the places of old as far as
// they are still free. If the remaining cells don't fit beside them, it
// searches new places for all cells. It sorts needs in place and changes
// neither racks nor old.
func Update(racks []RackSpace, old Witness, needs []Need) (Witness, error) {
	remaining := slices.Clone(racks)
	kept := make(Witness, len(needs))
	var rest []Need
	slices.SortFunc(needs, largestFirst)
	for _, n := range needs {
		b, ok := old[n.Cell]
		if !ok || b.Size != n.Size || !takeBlock(remaining, b) {
			rest = append(rest, n)
			continue
		}
		kept[n.Cell] = b
	}
	for _, n := range rest {
		b, ok := bestFit(remaining, n.Size)
		if !ok {
			return Find(racks, needs)
		}
		kept[n.Cell] = b
	}
	return kept, nil
}

// takeBlock removes a block from the free accelerators of its rack if all of
// them are free.
func takeBlock(racks []RackSpace, b block.Block) bool {
	i := slices.IndexFunc(racks, func(r RackSpace) bool { return r.Rack == b.Rack })
	if i < 0 || b.Mask()&^racks[i].Free != 0 {
		return false
	}
	racks[i].Free &^= b.Mask()
	return true
}

func largestFirst(a, b Need) int {
	return cmp.Or(
		cmp.Compare(b.Size, a.Size),
		cmp.Compare(a.Cell.Guarantee, b.Cell.Guarantee),
		cmp.Compare(a.Cell.Index, b.Cell.Index),
	)
}

// bestFit takes size adjacent accelerators from the shortest sequence of free
// accelerators that is long enough. It prefers a start that is a multiple of the
// size, so that the halves of a rack stay unbroken for larger blocks.
func bestFit(racks []RackSpace, size int) (block.Block, bool) {
	best, start, shortest := -1, 0, block.MaxSize+1
	for i, r := range racks {
		if bits.OnesCount64(r.Free) < size {
			continue
		}
		s, run, ok := bestStart(r.Free, size)
		if ok && run < shortest {
			best, start, shortest = i, s, run
		}
	}
	if best < 0 {
		return block.Block{}, false
	}
	racks[best].Free &^= block.Run(start, size)
	return block.Block{Rack: racks[best].Rack, Start: start, Size: size}, true
}

// bestStart returns the best start for size accelerators in one rack, and the
// length of the sequence of free accelerators that contains it.
func bestStart(free uint64, size int) (start, run int, ok bool) {
	run = block.MaxSize + 1
	aligned := false
	for starts := block.Starts(free, size); starts != 0; starts &= starts - 1 {
		s := bits.TrailingZeros64(starts)
		n := bits.OnesCount64(block.RunAt(free, s))
		alignedHere := s%size == 0
		if n < run || (n == run && alignedHere && !aligned) {
			start, run, aligned, ok = s, n, alignedHere, true
		}
	}
	return start, run, ok
}
