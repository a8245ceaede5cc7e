package state

import (
	"fmt"

	"curlewsill.org/curlewsill/core/block"
	"curlewsill.org/curlewsill/core/config"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/record"
	"curlewsill.org/curlewsill/core/witness"
)

// CheckPlace reports whether p could be accepted as far as accelerators and
// guarantees are concerned: its block exists, is not drained and not in use, its
// home is its own, and every other guaranteed block still has a place.
func (s *State) CheckPlace(p record.Place) error {
	j, ok := s.Jobs[p.Job]
	if !ok {
		return ErrNoJob
	}
	if !p.Block.Valid() || p.Block.Size != j.Spec.Accelerators {
		return fmt.Errorf("%w: %s for a gang of %d", ErrBlockTaken, p.Block, j.Spec.Accelerators)
	}
	free := Usable(s.Config, p.Block.Rack) &^ s.used(p.Block.Rack)
	if p.Block.Mask()&^free != 0 {
		return fmt.Errorf("%w: %s", ErrBlockTaken, p.Block)
	}
	if err := s.checkHome(j, p); err != nil {
		return err
	}
	if p.Cell.Guarantee == "" && !j.Spec.Once {
		// What can be preempted takes nothing from any guarantee.
		return nil
	}
	_, err := s.find(s.Config, &p)
	return err
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
	for _, other := range s.Jobs {
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

// CheckConfig reports whether every guarantee of c has a place beside the gangs
// that run now, and whether those gangs still have their accelerators.
func (s *State) CheckConfig(c config.Config) error {
	for _, k := range config.Sorted(s.Jobs) {
		j := s.Jobs[k]
		if j.State != Running {
			continue
		}
		if j.Block.Mask()&^Usable(s.Config, j.Block.Rack) == 0 && j.Block.Mask()&^exists(c, j.Block.Rack) != 0 {
			return fmt.Errorf("%w: job %s runs on %s", ErrBlockTaken, k, j.Block)
		}
	}
	_, err := s.find(c, nil)
	return err
}

// Witness returns a place for every guaranteed block that is not in use.
func (s *State) Witness() (witness.Witness, error) { return s.find(s.Config, nil) }

// find looks for a witness of configuration c with the placement added, if any.
func (s *State) find(c config.Config, added *record.Place) (witness.Witness, error) {
	firm := map[id.Rack]uint64{}
	bound := map[record.Cell]bool{}
	for _, j := range s.Jobs {
		if j.Firm() {
			b := held(j)
			firm[b.Rack] |= b.Mask()
			bound[j.Cell] = true
		}
	}
	if added != nil {
		b := added.Block
		if added.Cell.Guarantee != "" {
			b = added.Home
		}
		firm[b.Rack] |= b.Mask()
		bound[added.Cell] = true
	}
	return witness.Find(rooms(c, firm), needs(c, bound))
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
	for _, j := range s.Jobs {
		if j.State == Running && j.Block.Rack == rack {
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
