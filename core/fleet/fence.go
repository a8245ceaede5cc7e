package fleet

import "curlewsill.org/curlewsill/core/id"

// Fence is what an order shows its worker, which does nothing for one that is below the highest that it has seen. An owner raises
// its fence at a worker, so that orders which left before and have no answer are refused from then on.
type Fence struct {
	Epoch id.Epoch
	Raise id.Raise
}

// Below reports whether a worker that has seen another fence refuses this one.
func (f Fence) Below(o Fence) bool {
	return f.Epoch < o.Epoch || f.Epoch == o.Epoch && f.Raise < o.Raise
}
