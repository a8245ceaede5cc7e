package witness_test

import (
	"fmt"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/record"
	"curlewsill.org/curlewsill/core/witness"
)

const seed = 1

func racks(free []uint64) []witness.RackSpace {
	out := make([]witness.RackSpace, len(free))
	for i, f := range free {
		out[i] = witness.RackSpace{Rack: id.Rack(fmt.Sprint("r", i)), Free: f}
	}
	return out
}

func needs(sizes []int) []witness.Need {
	out := make([]witness.Need, len(sizes))
	for i, n := range sizes {
		out[i] = witness.Need{Cell: record.Cell{Guarantee: "g", Index: i}, Size: n}
	}
	return out
}

// valid reports whether w has a free place of the right size for each of ns,
// and no two of them overlap.
func valid(w witness.Witness, rs []witness.RackSpace, ns []witness.Need) bool {
	remaining := map[id.Rack]uint64{}
	for _, r := range rs {
		remaining[r.Rack] = r.Free
	}
	for _, n := range ns {
		b, ok := w[n.Cell]
		if !ok || b.Size != n.Size || b.Mask()&^remaining[b.Rack] != 0 {
			return false
		}
		remaining[b.Rack] &^= b.Mask()
	}
	return len(w) == len(ns)
}

// TestWitness checks that Find returns valid witnesses, and that Update changes
// nothing in a witness that is still valid and repairs one whose places are no
// longer all free.
func TestWitness(t *testing.T) {
	p := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(seed))
	free := gen.SliceOfN(4, gen.UInt64().Map(func(x uint64) uint64 { return x | x<<1 | x<<2 }))
	sizes := gen.SliceOf(gen.IntRange(1, 16))
	p.Property("Find returns a valid witness", prop.ForAll(func(free []uint64, sizes []int) bool {
		rs, ns := racks(free), needs(sizes)
		w, err := witness.Find(rs, ns)
		return err != nil || valid(w, rs, ns)
	}, free, sizes))
	p.Property("Update leaves a valid witness unchanged", prop.ForAll(func(free []uint64, sizes []int) bool {
		rs, ns := racks(free), needs(sizes)
		w, err := witness.Find(rs, ns)
		if err != nil {
			return true
		}
		kept, err := witness.Update(rs, w, ns)
		return err == nil && fmt.Sprint(kept) == fmt.Sprint(w)
	}, free, sizes))
	p.Property("Update repairs a witness that lost places, or returns an error", prop.ForAll(func(free, lost []uint64, sizes []int) bool {
		rs, ns := racks(free), needs(sizes)
		w, err := witness.Find(rs, ns)
		if err != nil {
			return true
		}
		for i := range rs {
			rs[i].Free &^= lost[i] & (lost[i] >> 3)
		}
		kept, err := witness.Update(rs, w, ns)
		return err != nil || valid(kept, rs, ns)
	}, free, gen.SliceOfN(4, gen.UInt64()), sizes))
	p.TestingRun(t)
}
