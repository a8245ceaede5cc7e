// Package witness shows that every guaranteed block could be given to its
// customer at this moment.
//
// A cell is one block of a guarantee. A cell in use is bound to its home, the
// place where its customer's gangs run. The witness is a concrete place for every
// other cell, disjoint from all homes, from each other and from every task that
// can't be preempted. While a witness exists, each guarantee can be reclaimed by
// stopping only tasks that may be stopped. A decision after which there would be
// no witness is not taken.
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

// ErrNone reports that no place was found for a cell. The search is greedy, so
// ErrNone doesn't prove that there is none; it errs towards refusing.
var ErrNone = errors.New("witness: no place for a guaranteed block")

// Room is what a rack offers to the cells that are not in use.
type Room struct {
	Rack id.Rack
	// Free has a bit for each accelerator that is neither part of a home nor held
	// by a task that can't be preempted, nor on a lost worker.
	Free uint64
}

// Need is a cell that is not in use.
type Need struct {
	Cell record.Cell
	// Size is the number of adjacent accelerators, 1 to block.MaxSize.
	Size int
}

// Witness is a place for each cell that is not in use.
type Witness map[record.Cell]block.Block

// Cells returns the cells of w in ascending order.
func (w Witness) Cells() []record.Cell {
	return slices.SortedFunc(maps.Keys(w), func(a, b record.Cell) int {
		return cmp.Or(cmp.Compare(a.Guarantee, b.Guarantee), cmp.Compare(a.Index, b.Index))
	})
}

// Find returns a witness, or ErrNone with the first cell that found no place. It
// sorts needs in place and leaves rooms as they are.
func Find(rooms []Room, needs []Need) (Witness, error) {
	left := slices.Clone(rooms)
	slices.SortFunc(needs, largestFirst)
	w := make(Witness, len(needs))
	for _, n := range needs {
		b, ok := bestFit(left, n.Size)
		if !ok {
			return nil, fmt.Errorf("%w: guarantee %s, block %d of size %d",
				ErrNone, n.Cell.Guarantee, n.Cell.Index, n.Size)
		}
		w[n.Cell] = b
	}
	return w, nil
}

// Keep returns a witness for needs that leaves the places of old where they are, as
// far as they are still free. If the others find no place beside them, all are placed
// anew. It sorts needs in place and leaves rooms and old as they are.
func Keep(rooms []Room, old Witness, needs []Need) (Witness, error) {
	left := slices.Clone(rooms)
	kept := make(Witness, len(needs))
	var rest []Need
	slices.SortFunc(needs, largestFirst)
	for _, n := range needs {
		b, ok := old[n.Cell]
		if !ok || b.Size != n.Size || !take(left, b) {
			rest = append(rest, n)
			continue
		}
		kept[n.Cell] = b
	}
	for _, n := range rest {
		b, ok := bestFit(left, n.Size)
		if !ok {
			return Find(rooms, needs)
		}
		kept[n.Cell] = b
	}
	return kept, nil
}

// take takes a block out of its room if it is free.
func take(rooms []Room, b block.Block) bool {
	i := slices.IndexFunc(rooms, func(r Room) bool { return r.Rack == b.Rack })
	if i < 0 || b.Mask()&^rooms[i].Free != 0 {
		return false
	}
	rooms[i].Free &^= b.Mask()
	return true
}

func largestFirst(a, b Need) int {
	return cmp.Or(
		cmp.Compare(b.Size, a.Size),
		cmp.Compare(a.Cell.Guarantee, b.Cell.Guarantee),
		cmp.Compare(a.Cell.Index, b.Cell.Index),
	)
}

// bestFit takes size accelerators from the shortest run that holds them and
// prefers a start that is a multiple of the size, which keeps the halves of a
// rack whole.
func bestFit(rooms []Room, size int) (block.Block, bool) {
	best, start, shortest := -1, 0, block.MaxSize+1
	for i, r := range rooms {
		if bits.OnesCount64(r.Free) < size {
			continue
		}
		s, run, ok := startIn(r.Free, size)
		if ok && run < shortest {
			best, start, shortest = i, s, run
		}
	}
	if best < 0 {
		return block.Block{}, false
	}
	rooms[best].Free &^= block.Run(start, size)
	return block.Block{Rack: rooms[best].Rack, Start: start, Size: size}, true
}

// startIn returns the best start for size in one rack, and the length of the run
// that it cuts into.
func startIn(free uint64, size int) (start, run int, ok bool) {
	run = block.MaxSize + 1
	aligned := false
	for starts := block.Starts(free, size); starts != 0; starts &= starts - 1 {
		s := bits.TrailingZeros64(starts)
		n := bits.OnesCount64(block.RunAt(free, s))
		a := s%size == 0
		if n < run || (n == run && a && !aligned) {
			start, run, aligned, ok = s, n, a, true
		}
	}
	return start, run, ok
}
