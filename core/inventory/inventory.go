// Package inventory is the map of all accelerators as the owner of scheduling sees them:
// which workers answer, what gangs hold, and where guaranteed blocks are or could be.
//
// Everything is a 64-bit mask for each rack and is kept up to date as gangs come and
// go, so a question costs a few shifts for each rack and never a walk over gangs.
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

// Holding is what one gang holds.
type Holding struct {
	Customer id.Customer
	Block    block.Block
	// Cell and Home are those of a gang that uses a guarantee.
	Cell record.Cell
	Home block.Block
	// Once and Urgent are the job's marks.
	Once, Urgent bool
}

// Firm reports whether the gang can't be preempted.
func (h Holding) Firm() bool { return h.Once || h.Cell.Guarantee != "" }

// Rack is the map of one rack. A bit stands for an accelerator.
type Rack struct {
	ID     id.Rack
	Config config.Rack
	// Usable has the accelerators that exist and are not drained, and Live those
	// of them whose worker answers.
	Usable, Live uint64
	// Busy has those that gangs hold, Leaving those of them whose gang was told to
	// stop, Pinned those whose gang can't be preempted, Urgent those whose gang is
	// urgent.
	Busy, Leaving, Pinned, Urgent uint64
	// Firm has the homes of cells in use and the gangs that must not be repeated.
	Firm uint64
	// Spare has the places of the cells that are not in use.
	Spare uint64
	// kept and keptFirm are set aside until the next Begin.
	kept, keptFirm uint64
}

// Taken returns what nothing new may be placed on.
func (r *Rack) Taken() uint64 { return r.Busy | r.kept }

// Staying returns what gangs hold that were not told to stop, or is set aside.
func (r *Rack) Staying() uint64 { return r.Busy&^r.Leaving | r.kept }

// Guarded returns the places of all guaranteed blocks.
func (r *Rack) Guarded() uint64 { return r.Spare | r.Firm | r.keptFirm }

// home is the place of a cell in use.
type home struct {
	block block.Block
	// gangs is how many gangs use the cell; 0 for one that is only set aside.
	gangs int
}

// Inventory is the map of all racks. It is not safe for concurrent use.
type Inventory struct {
	// Racks is in ascending order of ids. The caller may read its elements.
	Racks []Rack

	at       map[id.Rack]int
	holdings map[id.Job]Holding
	homes    map[record.Cell]home
	kept     map[record.Cell]block.Block
	held     map[id.Customer]int
	spare    witness.Witness
	stale    bool
	risk     bool
	// room grows whenever something was freed that a waiting job might use.
	room uint64
}

// New returns a map without racks.
func New() *Inventory {
	return &Inventory{
		at: map[id.Rack]int{}, holdings: map[id.Job]Holding{}, homes: map[record.Cell]home{},
		kept: map[record.Cell]block.Block{}, held: map[id.Customer]int{}, stale: true,
	}
}

// Configure takes over the racks of a configuration. Gangs stay where they are.
func (f *Inventory) Configure(c config.Config) {
	live := map[id.Rack]uint64{}
	for i := range f.Racks {
		live[f.Racks[i].ID] = f.Racks[i].Live
	}
	f.Racks, f.at = nil, map[id.Rack]int{}
	for _, k := range config.Sorted(c.Racks) {
		f.at[k] = len(f.Racks)
		usable := state.Usable(c, k)
		f.Racks = append(f.Racks, Rack{ID: k, Config: c.Racks[k], Usable: usable, Live: live[k] & usable})
	}
	for _, h := range f.holdings {
		f.mark(h)
	}
	f.stale = true
	f.room++
}

// Rack returns the map of a rack, or nil.
func (f *Inventory) Rack(k id.Rack) *Rack {
	if i, ok := f.at[k]; ok {
		return &f.Racks[i]
	}
	return nil
}

// SetLive says which accelerators of a rack have a worker that answers.
func (f *Inventory) SetLive(k id.Rack, live uint64) {
	r := f.Rack(k)
	if r == nil || r.Live == live&r.Usable {
		return
	}
	if live&r.Usable&^r.Live != 0 {
		f.room++
	}
	r.Live, f.stale = live&r.Usable, true
}

// Room returns a number that has grown if anything was freed since it was asked last.
func (f *Inventory) Room() uint64 { return f.room }

// Held returns how many accelerators a customer's gangs hold.
func (f *Inventory) Held(c id.Customer) int { return f.held[c] }

// Home returns where a cell is, if it is in use or set aside.
func (f *Inventory) Home(c record.Cell) (block.Block, bool) {
	if b, ok := f.kept[c]; ok {
		return b, true
	}
	h, ok := f.homes[c]
	return h.block, ok
}

// Add notes what a gang holds. The block must be free.
func (f *Inventory) Add(j id.Job, h Holding) {
	f.holdings[j] = h
	f.held[h.Customer] += h.Block.Size
	if h.Cell.Guarantee != "" {
		x := f.homes[h.Cell]
		f.homes[h.Cell] = home{h.Home, x.gangs + 1}
	}
	f.mark(h)
	f.stale = f.stale || h.Firm()
}

// mark sets the bits of a holding.
func (f *Inventory) mark(h Holding) {
	r := f.Rack(h.Block.Rack)
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
		r.Pinned |= m
		r.Firm |= h.Home.Mask()
	case h.Once:
		r.Pinned |= m
		r.Firm |= m
	}
}

// Leave notes that a gang was told to stop.
func (f *Inventory) Leave(j id.Job) {
	h, ok := f.holdings[j]
	if !ok {
		return
	}
	if r := f.Rack(h.Block.Rack); r != nil {
		r.Leaving |= h.Block.Mask()
	}
}

// Remove notes that a gang holds nothing any more.
func (f *Inventory) Remove(j id.Job) {
	h, ok := f.holdings[j]
	if !ok {
		return
	}
	delete(f.holdings, j)
	f.held[h.Customer] -= h.Block.Size
	f.room++
	f.stale = f.stale || h.Firm()
	if r := f.Rack(h.Block.Rack); r != nil {
		m := h.Block.Mask()
		r.Busy &^= m
		r.Leaving &^= m
		r.Pinned &^= m
		r.Urgent &^= m
		if h.Once && h.Cell.Guarantee == "" {
			r.Firm &^= m
		}
	}
	f.leaveHome(h)
}

// leaveHome gives up a cell's home when its last gang is gone.
func (f *Inventory) leaveHome(h Holding) {
	if h.Cell.Guarantee == "" {
		return
	}
	x := f.homes[h.Cell]
	if x.gangs--; x.gangs > 0 {
		f.homes[h.Cell] = x
		return
	}
	delete(f.homes, h.Cell)
	if r := f.Rack(x.block.Rack); r != nil {
		r.Firm &^= x.block.Mask()
	}
}

// Keep sets a block aside for a gang that waits for others to stop, with the home of
// its cell if it has one, until the next Begin.
func (f *Inventory) Keep(b block.Block, cell record.Cell, h block.Block) {
	if r := f.Rack(b.Rack); r != nil {
		r.kept |= b.Mask()
		if cell.Guarantee != "" {
			r.keptFirm |= h.Mask()
			f.kept[cell] = h
			f.stale = true
		}
	}
}

// Begin forgets what was set aside and brings the places of unused cells up to date.
// Agreed is the standing witness of the state, of which it moves as little as it can.
func (f *Inventory) Begin(c config.Config, agreed witness.Witness) {
	if len(f.kept) > 0 {
		f.stale = true
		clear(f.kept)
	}
	for i := range f.Racks {
		f.Racks[i].kept, f.Racks[i].keptFirm = 0, 0
	}
	f.Refresh(c, agreed)
}

// Refresh finds the places of unused cells anew if something has changed.
func (f *Inventory) Refresh(c config.Config, agreed witness.Witness) {
	if !f.stale {
		return
	}
	f.stale = false
	w, err := f.find(c, agreed, func(r *Rack) uint64 { return r.Live })
	f.risk = err != nil
	if err != nil {
		// Lost workers took the room. Plan as if they were back, and say so.
		w, _ = f.find(c, agreed, func(r *Rack) uint64 { return r.Usable })
	}
	f.setSpare(w)
}

func (f *Inventory) setSpare(w witness.Witness) {
	f.spare = w
	for i := range f.Racks {
		f.Racks[i].Spare = 0
	}
	for _, b := range w {
		if r := f.Rack(b.Rack); r != nil {
			r.Spare |= b.Mask()
		}
	}
}

// AtRisk reports whether some guaranteed block has no place on live workers.
func (f *Inventory) AtRisk() bool { return f.risk }

// Spare returns the place of a cell that is not in use.
func (f *Inventory) Spare(c record.Cell) (block.Block, bool) {
	b, ok := f.spare[c]
	return b, ok
}

// find looks for a place for each cell that is neither in use nor set aside.
func (f *Inventory) find(c config.Config, old witness.Witness, usable func(*Rack) uint64) (witness.Witness, error) {
	rooms := make([]witness.Room, len(f.Racks))
	for i := range f.Racks {
		r := &f.Racks[i]
		rooms[i] = witness.Room{Rack: r.ID, Free: usable(r) &^ (r.Firm | r.keptFirm)}
	}
	var needs []witness.Need
	for _, k := range config.Sorted(c.Guarantees) {
		g := c.Guarantees[k]
		for i := range g.Count {
			cell := record.Cell{Guarantee: k, Index: i}
			if _, used := f.Home(cell); !used {
				needs = append(needs, witness.Need{Cell: cell, Size: g.Size})
			}
		}
	}
	return witness.Keep(rooms, old, needs)
}

// Clears reports whether every unused cell would still have a place on live workers if
// a gang that can't be preempted took b, and moves the places if so.
func (f *Inventory) Clears(c config.Config, b block.Block) bool {
	r := f.Rack(b.Rack)
	was := r.Firm
	r.Firm |= b.Mask()
	w, err := f.find(c, f.spare, func(r *Rack) uint64 { return r.Live })
	r.Firm = was
	if err != nil {
		return false
	}
	f.setSpare(w)
	return true
}

// CouldClear reports whether a gang of the size that can't be preempted could be placed
// on empty racks so that every guarantee still has a place.
func CouldClear(c config.Config, size int) bool {
	empty := New()
	empty.Configure(c)
	for i := range empty.Racks {
		r := &empty.Racks[i]
		r.Live = r.Usable
	}
	for i := range empty.Racks {
		r := &empty.Racks[i]
		// The first start of the size leaves the longest run behind.
		starts := block.Starts(r.Usable, size)
		if starts == 0 {
			continue
		}
		if empty.Clears(c, block.Block{Rack: r.ID, Start: bits.TrailingZeros64(starts), Size: size}) {
			return true
		}
	}
	return false
}
