package state

import (
	"fmt"

	"curlewsill.org/curlewsill/core/block"
	"curlewsill.org/curlewsill/core/config"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/record"
	"curlewsill.org/curlewsill/core/witness"
)

// CheckPlace returns the witness that would stand after p, or why p can't be accepted
// as far as accelerators and guarantees are concerned: its block has to exist, not to
// be drained and not to be in use, its home has to be its own, and every other
// guaranteed block has to have a place.
func (s *State) CheckPlace(p record.Place) (witness.Witness, error) {
	j, ok := s.Jobs[p.Job]
	if !ok {
		return nil, ErrNoJob
	}
	if !p.Block.Valid() || p.Block.Size != j.Spec.Accelerators {
		return nil, fmt.Errorf("%w: %s for a gang of %d", ErrBlockTaken, p.Block, j.Spec.Accelerators)
	}
	free := Usable(s.Config, p.Block.Rack) &^ s.used(p.Block.Rack)
	if p.Block.Mask()&^free != 0 {
		return nil, fmt.Errorf("%w: %s", ErrBlockTaken, p.Block)
	}
	if err := s.checkHome(j, p); err != nil {
		return nil, err
	}
	if p.Cell.Guarantee == "" && !j.Spec.Once {
		// What can be preempted takes nothing from any guarantee.
		return s.Spare, nil
	}
	return s.find(s.Config, &p)
}

// checkHome checks the cell that a placement uses, and that what the placement
// would hold for good overlaps nothing that is held already.
func (s *State) checkHome(j *Job, p record.Place) error {
	claimed := p.Block
	if p.Cell.Guarantee != "" {
		if err := s.checkCell(j, p); err != nil {
			return err
		}
		claimed = p.Home
	} else if !j.Spec.Once {
		return nil
	}
	for _, other := range s.running {
		if !other.Firm() {
			continue
		}
		sameCell := p.Cell.Guarantee != "" && other.Cell == p.Cell
		if sameCell && other.Home != p.Home {
			return fmt.Errorf("%w: the cell is at %s", ErrBlockTaken, other.Home)
		}
		if !sameCell && held(other).Overlaps(claimed) {
			return fmt.Errorf("%w: %s overlaps %s", ErrBlockTaken, claimed, held(other))
		}
	}
	return nil
}

func (s *State) checkCell(j *Job, p record.Place) error {
	g, ok := s.Config.Guarantees[p.Cell.Guarantee]
	switch {
	case !ok || p.Cell.Index < 0 || p.Cell.Index >= g.Count || g.Customer != j.Spec.Customer:
		return fmt.Errorf("%w: no cell %s/%d of customer %s",
			ErrBlockTaken, p.Cell.Guarantee, p.Cell.Index, j.Spec.Customer)
	case !p.Home.Valid() || p.Home.Size != g.Size || p.Home.Rack != p.Block.Rack,
		p.Block.Mask()&^p.Home.Mask() != 0:
		return fmt.Errorf("%w: %s is not within a home of size %d", ErrBlockTaken, p.Block, g.Size)
	case p.Home.Mask()&^Usable(s.Config, p.Home.Rack) != 0:
		return fmt.Errorf("%w: home %s is not usable", ErrBlockTaken, p.Home)
	}
	return nil
}

// CheckConfig returns the witness that would stand with configuration c, or why c
// can't be accepted beside the gangs that run now: one of them would lose its
// accelerators, or a guarantee would have no place.
func (s *State) CheckConfig(c config.Config) (witness.Witness, error) {
	for _, k := range config.Sorted(s.running) {
		j := s.running[k]
		if j.Block.Mask()&^exists(c, j.Block.Rack) != 0 {
			return nil, fmt.Errorf("%w: job %s runs on %s", ErrBlockTaken, k, j.Block)
		}
	}
	return s.find(c, nil)
}

// CheckWitness reports whether the standing witness is one. It is the assertion of
// what the reducer sees to.
func (s *State) CheckWitness() error {
	firm, bound := s.firm(s.Config, nil)
	free := map[id.Rack]uint64{}
	for _, r := range rooms(s.Config, firm) {
		free[r.Rack] = r.Free
	}
	for _, n := range needs(s.Config, bound) {
		b := s.Spare[n.Cell]
		if b.Size != n.Size || b.Mask()&^free[b.Rack] != 0 {
			return fmt.Errorf("%w: guarantee %s, block %d at %s", witness.ErrNone, n.Cell.Guarantee, n.Cell.Index, b)
		}
		free[b.Rack] &^= b.Mask()
	}
	return nil
}

// find looks for a witness of configuration c with the placement added, if any. It
// moves as few places of the standing witness as it can.
func (s *State) find(c config.Config, added *record.Place) (witness.Witness, error) {
	firm, bound := s.firm(c, added)
	return witness.Keep(rooms(c, firm), s.Spare, needs(c, bound))
}

// firm returns what can't be taken back, and the cells of c that need no other place
// because their home will do when they are free again.
func (s *State) firm(c config.Config, added *record.Place) (map[id.Rack]uint64, map[record.Cell]bool) {
	firm, bound := map[id.Rack]uint64{}, map[record.Cell]bool{}
	note := func(cell record.Cell, home, own block.Block) {
		b := own
		if cell.Guarantee != "" {
			b = home
			fits := c.Guarantees[cell.Guarantee].Size == home.Size
			bound[cell] = bound[cell] || fits && home.Mask()&^Usable(c, home.Rack) == 0
		}
		firm[b.Rack] |= b.Mask()
	}
	for _, j := range s.running {
		if j.Firm() {
			note(j.Cell, j.Home, j.Block)
		}
	}
	if added != nil {
		note(added.Cell, added.Home, added.Block)
	}
	return firm, bound
}

// unbind gives the home of an ended job's cell back to the standing witness.
func (s *State) unbind(j *Job) {
	g, ok := s.Config.Guarantees[j.Cell.Guarantee]
	if !ok || j.Cell.Index >= g.Count || g.Size != j.Home.Size {
		return
	}
	for _, o := range s.running {
		if o.Firm() && o.Cell == j.Cell {
			return
		}
	}
	if _, has := s.Spare[j.Cell]; !has {
		s.Spare[j.Cell] = j.Home
	}
}

// held returns what a firm job holds: the home of its cell, or its own block.
func held(j *Job) block.Block {
	if j.Cell.Guarantee != "" {
		return j.Home
	}
	return j.Block
}

func rooms(c config.Config, firm map[id.Rack]uint64) []witness.Room {
	out := make([]witness.Room, 0, len(c.Racks))
	for _, k := range config.Sorted(c.Racks) {
		out = append(out, witness.Room{Rack: k, Free: Usable(c, k) &^ firm[k]})
	}
	return out
}

func needs(c config.Config, bound map[record.Cell]bool) []witness.Need {
	var out []witness.Need
	for _, k := range config.Sorted(c.Guarantees) {
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

// used returns the accelerators of a rack that gangs hold.
func (s *State) used(rack id.Rack) uint64 {
	var m uint64
	for _, j := range s.running {
		if j.Block.Rack == rack {
			m |= j.Block.Mask()
		}
	}
	return m
}

// Usable returns the accelerators of a rack on which new tasks may be placed.
func Usable(c config.Config, rack id.Rack) uint64 {
	r := c.Racks[rack]
	var m uint64
	for i, w := range r.Workers {
		if !w.Drained {
			m |= r.Span(i).Mask()
		}
	}
	return m
}

// exists returns the accelerators that a rack has, drained or not.
func exists(c config.Config, rack id.Rack) uint64 {
	r, ok := c.Racks[rack]
	if !ok {
		return 0
	}
	return block.Run(0, r.Accelerators())
}
