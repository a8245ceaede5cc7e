// Package inventory is the scheduling owner's map of all accelerators: which of
// them have a worker that answers, which are held by gangs, and where
// guaranteed blocks are or could be placed.
//
// A cell is one block of a guarantee, and the home of a cell in use is the
// block in which the gangs that use it run. Homes and the accelerators of gangs
// that must run at most once are firm: no other cell can have its place there.
//
// Each rack has 64-bit masks that are kept up to date as gangs come and go, so
// a query costs a few bit operations for each rack and never an iteration over
// gangs.
package inventory

import (
	"math/bits"

	"curlewsill.org/curlewsill/core/block"
	"curlewsill.org/curlewsill/core/config"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/record"
	"curlewsill.org/curlewsill/core/state"
	"curlewsill.org/curlewsill/core/witness"
)

// Holding describes what one gang holds.
type Holding struct {
	Customer id.Customer
	Block    block.Block
	// Cell and Home are set for a gang that uses a guarantee: its cell and the
	// home of that cell.
	Cell record.Cell
	Home block.Block
	// Once and Urgent are copied from the job: whether it must run at most
	// once, and whether it is urgent.
	Once, Urgent bool
}

// NonPreemptible reports whether the gang can't be preempted.
func (h Holding) NonPreemptible() bool { return h.Once || h.Cell.Guarantee != "" }

// Rack is the map of one rack. In its masks, each bit stands for an
// accelerator.
type Rack struct {
	ID     id.Rack
	Config config.Rack
	// Usable has the accelerators that exist and are not drained. Live has the
	// usable accelerators whose worker answers.
	Usable, Live uint64
	// Busy has the accelerators held by gangs. Of these, Stopping has those
	// whose gang is stopping, NonPreemptible those whose gang can't be
	// preempted, and Urgent those whose gang is urgent.
	Busy, Stopping, NonPreemptible, Urgent uint64
	// Firm has the accelerators at which no unused cell can have its place: the
	// homes of the cells in use and the blocks of gangs that must run at most
	// once.
	Firm uint64
	// UnusedCells has the accelerators at which the cells that are not in use
	// have their places.
	UnusedCells uint64
	// reserved has the blocks that Reserve has reserved since the last
	// BeginPass. reservedFirm has the homes of their cells.
	reserved, reservedFirm uint64
}

// Taken returns the accelerators on which nothing new may be placed.
func (r *Rack) Taken() uint64 { return r.Busy | r.reserved }

// Staying returns the accelerators that are reserved or held by gangs that are
// not stopping.
func (r *Rack) Staying() uint64 { return r.Busy&^r.Stopping | r.reserved }

// Guarded returns the accelerators that guaranteed blocks need: the places of
// the unused cells, and all accelerators that are firm or reserved as firm.
func (r *Rack) Guarded() uint64 { return r.UnusedCells | r.Firm | r.reservedFirm }

// cellHome is the home of a cell in use.
type cellHome struct {
	block block.Block
	// gangs is how many gangs use the cell.
	gangs int
}

// Inventory is the map of all racks. It is not safe for concurrent use.
type Inventory struct {
	// Racks holds the racks in ascending order of their IDs. Other packages may
	// read the elements, but must not change them.
	Racks []Rack

	rackIndex     map[id.Rack]int
	holdings      map[id.Job]Holding
	homes         map[record.Cell]cellHome
	reservedHomes map[record.Cell]block.Block
	// heldBy has the number of accelerators that the gangs of each customer hold.
	heldBy map[id.Customer]int
	// unusedPlaces has the place of each cell that is neither in use nor
	// reserved. placesStale is set when the places must be recomputed.
	unusedPlaces witness.Witness
	placesStale  bool
	atRisk       bool
	// freed grows whenever something was freed that a waiting job might use.
	freed uint64
}

// New returns an inventory without racks.
func New() *Inventory {
	return &Inventory{
		rackIndex: map[id.Rack]int{}, holdings: map[id.Job]Holding{}, homes: map[record.Cell]cellHome{},
		reservedHomes: map[record.Cell]block.Block{}, heldBy: map[id.Customer]int{}, placesStale: true,
	}
}

// Configure applies the racks of a configuration. Gangs keep what they hold.
func (inv *Inventory) Configure(c config.Config) {
	live := map[id.Rack]uint64{}
	for i := range inv.Racks {
		live[inv.Racks[i].ID] = inv.Racks[i].Live
	}
	inv.Racks, inv.rackIndex = nil, map[id.Rack]int{}
	for _, k := range config.SortedKeys(c.Racks) {
		inv.rackIndex[k] = len(inv.Racks)
		usable := state.UsableAccelerators(c, k)
		inv.Racks = append(inv.Racks, Rack{ID: k, Config: c.Racks[k], Usable: usable, Live: live[k] & usable})
	}
	for _, h := range inv.holdings {
		inv.markHolding(h)
	}
	inv.placesStale = true
	inv.freed++
}

// Rack returns the map of a rack, or nil.
func (inv *Inventory) Rack(k id.Rack) *Rack {
	if i, ok := inv.rackIndex[k]; ok {
		return &inv.Racks[i]
	}
	return nil
}

// SetLive sets which accelerators of a rack have a worker that answers.
func (inv *Inventory) SetLive(k id.Rack, live uint64) {
	r := inv.Rack(k)
	if r == nil || r.Live == live&r.Usable {
		return
	}
	if live&r.Usable&^r.Live != 0 {
		inv.freed++
	}
	r.Live, inv.placesStale = live&r.Usable, true
}

// FreedCount returns a number that grows whenever something is freed that a
// waiting job might use.
func (inv *Inventory) FreedCount() uint64 { return inv.freed }

// HeldBy returns how many accelerators a customer's gangs hold.
func (inv *Inventory) HeldBy(c id.Customer) int { return inv.heldBy[c] }

// Home returns the home of a cell that is in use or reserved, or false.
func (inv *Inventory) Home(c record.Cell) (block.Block, bool) {
	if b, ok := inv.reservedHomes[c]; ok {
		return b, true
	}
	h, ok := inv.homes[c]
	return h.block, ok
}

// Add records what a gang holds. The block must be free.
func (inv *Inventory) Add(j id.Job, h Holding) {
	inv.holdings[j] = h
	inv.heldBy[h.Customer] += h.Block.Size
	if h.Cell.Guarantee != "" {
		current := inv.homes[h.Cell]
		inv.homes[h.Cell] = cellHome{h.Home, current.gangs + 1}
	}
	inv.markHolding(h)
	inv.placesStale = inv.placesStale || h.NonPreemptible()
}

// markHolding sets the bits of a holding in the masks of its rack.
func (inv *Inventory) markHolding(h Holding) {
	r := inv.Rack(h.Block.Rack)
	if r == nil {
		return
	}
	m := h.Block.Mask()
	r.Busy |= m
	if h.Urgent {
		r.Urgent |= m
	}
	switch {
	case h.Cell.Guarantee != "":
		r.NonPreemptible |= m
		r.Firm |= h.Home.Mask()
	case h.Once:
		r.NonPreemptible |= m
		r.Firm |= m
	}
}

// MarkStopping records that a gang is stopping.
func (inv *Inventory) MarkStopping(j id.Job) {
	h, ok := inv.holdings[j]
	if !ok {
		return
	}
	if r := inv.Rack(h.Block.Rack); r != nil {
		r.Stopping |= h.Block.Mask()
	}
}

// Remove records that a gang no longer holds anything.
func (inv *Inventory) Remove(j id.Job) {
	h, ok := inv.holdings[j]
	if !ok {
		return
	}
	delete(inv.holdings, j)
	inv.heldBy[h.Customer] -= h.Block.Size
	inv.freed++
	inv.placesStale = inv.placesStale || h.NonPreemptible()
	if r := inv.Rack(h.Block.Rack); r != nil {
		m := h.Block.Mask()
		r.Busy &^= m
		r.Stopping &^= m
		r.NonPreemptible &^= m
		r.Urgent &^= m
		if h.Once && h.Cell.Guarantee == "" {
			r.Firm &^= m
		}
	}
	inv.releaseHome(h)
}

// releaseHome removes one gang from the home of its cell, and also removes the
// home if this was its last gang.
func (inv *Inventory) releaseHome(h Holding) {
	if h.Cell.Guarantee == "" {
		return
	}
	current := inv.homes[h.Cell]
	if current.gangs--; current.gangs > 0 {
		inv.homes[h.Cell] = current
		return
	}
	delete(inv.homes, h.Cell)
	if r := inv.Rack(current.block.Rack); r != nil {
		r.Firm &^= current.block.Mask()
	}
}

// Reserve reserves block b for a gang that waits until the gangs running there
// have stopped. If the waiting gang uses a guarantee, Reserve also reserves
// block h as the home of its cell. BeginPass drops both reservations.
func (inv *Inventory) Reserve(b block.Block, cell record.Cell, h block.Block) {
	if r := inv.Rack(b.Rack); r != nil {
		r.reserved |= b.Mask()
		if cell.Guarantee != "" {
			r.reservedFirm |= h.Mask()
			inv.reservedHomes[cell] = h
			inv.placesStale = true
		}
	}
}

// BeginPass drops all reservations and updates the places of the unused cells as
// Refresh does.
func (inv *Inventory) BeginPass(c config.Config, agreed witness.Witness) {
	if len(inv.reservedHomes) > 0 {
		inv.placesStale = true
		clear(inv.reservedHomes)
	}
	for i := range inv.Racks {
		inv.Racks[i].reserved, inv.Racks[i].reservedFirm = 0, 0
	}
	inv.Refresh(c, agreed)
}

// Refresh recomputes the places of the unused cells if anything changed that
// they depend on. It starts from agreed, the witness of the replicated state, and
// changes as few of its places as possible.
func (inv *Inventory) Refresh(c config.Config, agreed witness.Witness) {
	if !inv.placesStale {
		return
	}
	inv.placesStale = false
	w, err := inv.findPlaces(c, agreed, func(r *Rack) uint64 { return r.Live })
	inv.atRisk = err != nil
	if err != nil {
		// The accelerators of lost workers are needed. Plan as if these workers
		// were back, and report that guarantees are at risk.
		w, _ = inv.findPlaces(c, agreed, func(r *Rack) uint64 { return r.Usable })
	}
	inv.setUnusedPlaces(w)
}

func (inv *Inventory) setUnusedPlaces(w witness.Witness) {
	inv.unusedPlaces = w
	for i := range inv.Racks {
		inv.Racks[i].UnusedCells = 0
	}
	for _, b := range w {
		if r := inv.Rack(b.Rack); r != nil {
			r.UnusedCells |= b.Mask()
		}
	}
}

// AtRisk reports whether some guaranteed block has no place on workers that
// answer.
func (inv *Inventory) AtRisk() bool { return inv.atRisk }

// UnusedCellPlace returns the place of a cell that is not in use, or false.
func (inv *Inventory) UnusedCellPlace(c record.Cell) (block.Block, bool) {
	b, ok := inv.unusedPlaces[c]
	return b, ok
}

// findPlaces returns a place for each cell that is neither in use nor reserved.
// It changes as few places of old as possible.
func (inv *Inventory) findPlaces(c config.Config, old witness.Witness, usable func(*Rack) uint64) (witness.Witness, error) {
	racks := make([]witness.RackSpace, len(inv.Racks))
	for i := range inv.Racks {
		r := &inv.Racks[i]
		racks[i] = witness.RackSpace{Rack: r.ID, Free: usable(r) &^ (r.Firm | r.reservedFirm)}
	}
	var needs []witness.Need
	for _, k := range config.SortedKeys(c.Guarantees) {
		g := c.Guarantees[k]
		for i := range g.Count {
			cell := record.Cell{Guarantee: k, Index: i}
			if _, used := inv.Home(cell); !used {
				needs = append(needs, witness.Need{Cell: cell, Size: g.Size})
			}
		}
	}
	return witness.Update(racks, old, needs)
}

// FitsGuarantees reports whether a gang that can't be preempted may take b:
// every unused cell must still have a place on workers that answer. If so, it
// adopts these places.
func (inv *Inventory) FitsGuarantees(c config.Config, b block.Block) bool {
	r := inv.Rack(b.Rack)
	firmBefore := r.Firm
	r.Firm |= b.Mask()
	w, err := inv.findPlaces(c, inv.unusedPlaces, func(r *Rack) uint64 { return r.Live })
	r.Firm = firmBefore
	if err != nil {
		return false
	}
	inv.setUnusedPlaces(w)
	return true
}

// CouldFitGuarantees reports whether a gang of the given size that can't be
// preempted could be placed on otherwise empty racks such that every guarantee
// still has a place.
func CouldFitGuarantees(c config.Config, size int) bool {
	empty := New()
	empty.Configure(c)
	for i := range empty.Racks {
		r := &empty.Racks[i]
		r.Live = r.Usable
	}
	for i := range empty.Racks {
		r := &empty.Racks[i]
		// It is enough to try the first possible start of each rack, because it
		// leaves the longest run of free accelerators.
		starts := block.Starts(r.Usable, size)
		if starts == 0 {
			continue
		}
		if empty.FitsGuarantees(c, block.Block{Rack: r.ID, Start: bits.TrailingZeros64(starts), Size: size}) {
			return true
		}
	}
	return false
}
