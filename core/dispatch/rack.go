package dispatch

import "curlewsill.org/curlewsill/core/id"

// rackWeight is added for opening a worker of a rack that is wholly empty, less for
// one that is partly so. It outweighs the most that leftover returns, so that whole
// racks are kept. Measured: docs/design/07-worth.md.
const rackWeight = 4

// rackUse is the part of each rack's workers on which nothing runs.
type rackUse map[id.Rack]float64

// emptyByRack returns how empty the racks of the workers are.
func emptyByRack(workers []*worker) rackUse {
	all, empty := map[id.Rack]int{}, map[id.Rack]int{}
	for _, w := range workers {
		all[w.Rack]++
		if w.empty() {
			empty[w.Rack]++
		}
	}
	out := make(rackUse, len(all))
	for name, n := range all {
		out[name] = float64(empty[name]) / float64(n)
	}
	return out
}

// opening returns what it costs, beside the leftover, to place something on a worker:
// nothing on one that is in use, and the more the emptier the rack is.
func (u rackUse) opening(w *worker) float64 {
	if !w.empty() {
		return 0
	}
	return rackWeight * u[w.Rack]
}
