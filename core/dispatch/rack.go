package dispatch

// rackWeight is the penalty for using an empty worker of a wholly empty rack;
// in a partly empty rack the penalty is less. It is more than the function
// leftover ever returns, so that whole racks are kept for gangs that ask for
// one.
const rackWeight = 4

// emptyWorkerPenalty returns the penalty, in addition to the leftover, for
// placing something on a worker: 0 if the worker is in use, otherwise
// proportional to the share of empty workers in its rack.
func (d *Dispatcher) emptyWorkerPenalty(w *worker) float64 {
	if !d.policy.UsedRacksFirst || w.rackUse == nil || !w.empty() {
		return 0
	}
	return rackWeight * float64(w.rackUse.empty) / float64(w.rackUse.all)
}
