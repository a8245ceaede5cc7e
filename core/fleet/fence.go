package fleet

import "curlewsill.org/curlewsill/core/id"

// Fence is the fencing token of an order. A worker rejects an order whose fence
// is below the highest one that it has seen. An owner raises the fence at a
// worker so that the worker rejects orders that were sent before and are not
// answered yet.
type Fence struct {
	Epoch    id.Epoch
	Revision id.FenceRevision
}

// Below reports whether f is lower than o, so that a worker that has seen o
// rejects an order with f.
func (f Fence) Below(o Fence) bool {
	return f.Epoch < o.Epoch || f.Epoch == o.Epoch && f.Revision < o.Revision
}
