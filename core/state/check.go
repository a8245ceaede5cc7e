package state

import (
	"fmt"

	"curlewsill.org/curlewsill/core/block"
	"curlewsill.org/curlewsill/core/config"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/record"
	"curlewsill.org/curlewsill/core/witness"
)

// CheckPlace returns the witness after placement p, or the reason why p can't
// be accepted with regard to accelerators and guarantees. The block of p must
// exist and be neither drained nor in use. Its home must not overlap what
// non-preemptible jobs outside its cell hold. Every other guaranteed block must
// still have a place.
func (s *State) CheckPlace(p record.Place) (witness.Witness, error) {
	j, ok := s.Jobs[p.Job]
	if !ok {
		return nil, ErrNoJob
	}
	if !p.Block.Valid() || p.Block.Size != j.Spec.Accelerators {
		return nil, fmt.Errorf("%w: %s for a gang of %d", ErrBlockTaken, p.Block, j.Spec.Accelerators)
	}
	free := UsableAccelerators(s.Config, p.Block.Rack) &^ s.inUse(p.Block.Rack)
	if p.Block.Mask()&^free != 0 {
		return nil, fmt.Errorf("%w: %s", ErrBlockTaken, p.Block)
	}
	if err := s.checkHome(j, p); err != nil {
		return nil, err
	}
	if p.Cell.Guarantee == "" && !j.Spec.AtMostOnce {
		// A gang that can be preempted takes no accelerators from a guarantee.
		return s.Witness, nil
	}
	return s.find(s.Config, &p)
}

// checkHome checks the cell of a placement, if it has one. A placement that
// can't be preempted holds its home or, without a cell, its block. checkHome
// checks that this block doesn't overlap what another non-preemptible job
// holds. Jobs in the same cell share one home, so their placements must name
// the same home.
func (s *State) checkHome(j *Job, p record.Place) error {
	required := p.Block
	if p.Cell.Guarantee != "" {
		if err := s.checkCell(j, p); err != nil {
			return err
		}
		required = p.Home
	} else if !j.Spec.AtMostOnce {
		return nil
	}
	for _, other := range s.running {
		if !other.NonPreemptible() {
			continue
		}
		sameCell := p.Cell.Guarantee != "" && other.Cell == p.Cell
		if sameCell && other.Home != p.Home {
			return fmt.Errorf("%w: the cell is at %s", ErrBlockTaken, other.Home)
		}
		if !sameCell && heldBlock(other).Overlaps(required) {
			return fmt.Errorf("%w: %s overlaps %s", ErrBlockTaken, required, heldBlock(other))
		}
	}
	return nil
}

// checkCell checks a placement that uses a guarantee. A cell is one block of a
// guarantee, and its home is the place to which it is bound while jobs use it. The
// cell must belong to a guarantee of the job's customer. The home must have the
// size of the guarantee's blocks, contain the block of the placement, and consist
// of accelerators on which new tasks may be placed.
func (s *State) checkCell(j *Job, p record.Place) error {
	g, ok := s.Config.Guarantees[p.Cell.Guarantee]
	switch {
	case !ok || p.Cell.Index < 0 || p.Cell.Index >= g.Count || g.Customer != j.Spec.Customer:
		return fmt.Errorf("%w: no cell %s/%d of customer %s",
			ErrBlockTaken, p.Cell.Guarantee, p.Cell.Index, j.Spec.Customer)
	case !p.Home.Valid() || p.Home.Size != g.Size || p.Home.Rack != p.Block.Rack,
		p.Block.Mask()&^p.Home.Mask() != 0:
		return fmt.Errorf("%w: %s is not within a home of size %d", ErrBlockTaken, p.Block, g.Size)
	case p.Home.Mask()&^UsableAccelerators(s.Config, p.Home.Rack) != 0:
		return fmt.Errorf("%w: home %s is not usable", ErrBlockTaken, p.Home)
	}
	return nil
}

// CheckConfig returns the witness for configuration c, or the reason why c can't
// be accepted while the present gangs run: one of them would lose its
// accelerators, or a guarantee would have no place.
func (s *State) CheckConfig(c config.Config) (witness.Witness, error) {
	for _, k := range config.SortedKeys(s.running) {
		j := s.running[k]
		if j.Block.Mask()&^existing(c, j.Block.Rack) != 0 {
			return nil, fmt.Errorf("%w: job %s runs on %s", ErrBlockTaken, k, j.Block)
		}
	}
	return s.find(c, nil)
}

// CheckWitness returns an error if s.Witness isn't a valid witness. It asserts an
// invariant that the reducer maintains.
func (s *State) CheckWitness() error {
	held, bound := s.heldAccelerators(s.Config, nil)
	free := map[id.Rack]uint64{}
	for _, r := range rackSpaces(s.Config, held) {
		free[r.Rack] = r.Free
	}
	for _, n := range needs(s.Config, bound) {
		b := s.Witness[n.Cell]
		if b.Size != n.Size || b.Mask()&^free[b.Rack] != 0 {
			return fmt.Errorf("%w: guarantee %s, block %d at %s", witness.ErrNoPlace, n.Cell.Guarantee, n.Cell.Index, b)
		}
		free[b.Rack] &^= b.Mask()
	}
	return nil
}

// find returns a witness for configuration c and the running jobs, plus placement
// added if it isn't nil. It keeps the places of the current witness if possible.
func (s *State) find(c config.Config, added *record.Place) (witness.Witness, error) {
	held, bound := s.heldAccelerators(c, added)
	return witness.Update(rackSpaces(c, held), s.Witness, needs(c, bound))
}

// heldAccelerators returns the accelerators of each rack that are not available
// to unused cells, and the cells of c that are bound to their home. The
// accelerators are the homes of the cells in use and the blocks of the other
// non-preemptible jobs. A cell in use is bound if its home still has the size
// of the guarantee and is usable. A bound cell needs no place in the witness,
// because its home becomes its place as soon as no job uses the cell any more.
// If added isn't nil, this placement counts like a non-preemptible job.
func (s *State) heldAccelerators(c config.Config, added *record.Place) (map[id.Rack]uint64, map[record.Cell]bool) {
	held, bound := map[id.Rack]uint64{}, map[record.Cell]bool{}
	hold := func(cell record.Cell, home, own block.Block) {
		b := own
		if cell.Guarantee != "" {
			b = home
			fits := c.Guarantees[cell.Guarantee].Size == home.Size
			bound[cell] = bound[cell] || fits && home.Mask()&^UsableAccelerators(c, home.Rack) == 0
		}
		held[b.Rack] |= b.Mask()
	}
	for _, j := range s.running {
		if j.NonPreemptible() {
			hold(j.Cell, j.Home, j.Block)
		}
	}
	if added != nil {
		hold(added.Cell, added.Home, added.Block)
	}
	return held, bound
}

// releaseHome makes the home of an ended job's cell the cell's place in the witness,
// unless another non-preemptible job still uses the cell.
func (s *State) releaseHome(j *Job) {
	g, ok := s.Config.Guarantees[j.Cell.Guarantee]
	if !ok || j.Cell.Index >= g.Count || g.Size != j.Home.Size {
		return
	}
	for _, o := range s.running {
		if o.NonPreemptible() && o.Cell == j.Cell {
			return
		}
	}
	if _, has := s.Witness[j.Cell]; !has {
		s.Witness[j.Cell] = j.Home
	}
}

// heldBlock returns the block that a non-preemptible job holds: the home of its
// cell, or its own block.
func heldBlock(j *Job) block.Block {
	if j.Cell.Guarantee != "" {
		return j.Home
	}
	return j.Block
}

// rackSpaces returns, for each rack, the usable accelerators that no
// non-preemptible job holds.
func rackSpaces(c config.Config, held map[id.Rack]uint64) []witness.RackSpace {
	out := make([]witness.RackSpace, 0, len(c.Racks))
	for _, k := range config.SortedKeys(c.Racks) {
		out = append(out, witness.RackSpace{Rack: k, Free: UsableAccelerators(c, k) &^ held[k]})
	}
	return out
}

// needs returns the cells of c that need a place in the witness.
func needs(c config.Config, bound map[record.Cell]bool) []witness.Need {
	var out []witness.Need
	for _, k := range config.SortedKeys(c.Guarantees) {
		g := c.Guarantees[k]
		for i := range g.Count {
			cell := record.Cell{Guarantee: k, Index: i}
			if !bound[cell] {
				out = append(out, witness.Need{Cell: cell, Size: g.Size})
			}
		}
	}
	return out
}

// inUse returns the accelerators of a rack on which gangs run.
func (s *State) inUse(rack id.Rack) uint64 {
	var m uint64
	for _, j := range s.running {
		if j.Block.Rack == rack {
			m |= j.Block.Mask()
		}
	}
	return m
}

// UsableAccelerators returns the accelerators of a rack on which new tasks may be
// placed.
func UsableAccelerators(c config.Config, rack id.Rack) uint64 {
	r := c.Racks[rack]
	var m uint64
	for i, w := range r.Workers {
		if !w.Drained {
			m |= r.WorkerBlock(i).Mask()
		}
	}
	return m
}

// existing returns all accelerators of a rack, including drained ones.
func existing(c config.Config, rack id.Rack) uint64 {
	r, ok := c.Racks[rack]
	if !ok {
		return 0
	}
	return block.Run(0, r.Accelerators())
}
