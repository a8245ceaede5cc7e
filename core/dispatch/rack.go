package dispatch

// rackWeight is added for opening a worker of a rack that is wholly empty, less for
// one that is partly so. It outweighs the most that leftover returns, so that whole
// racks are kept for gangs that ask for one.
const rackWeight = 4

// opening returns what it costs, beside the leftover, to place something on a worker:
// nothing on one that is in use, and the more the emptier the rack is.
func (d *Dispatcher) opening(w *worker) float64 {
	if !d.policy.UsedRacksFirst || w.rackUse == nil || !w.empty() {
		return 0
	}
	return rackWeight * float64(w.rackUse.empty) / float64(w.rackUse.all)
}
