// Package admission decides which work may take the workers that are reserved
// for urgent work.
//
// The load that this answers: floods of urgent gangs beside many tasks that have
// time to wait. If such tasks fill the reserve, each urgent gang stops some of
// them, often within a second of their start, and the next task takes their
// place. On a site where accelerators were the scarce resource, a quarter of all
// tasks that could wait were admitted because less than half of the processors
// was in use, and half of these were stopped.
package admission

// maxScarcestUse is the fraction of the scarcest resource in use below which
// room is ample.
const maxScarcestUse = 0.5

// Load is the load of a service.
type Load struct {
	// Spare is the number of empty workers in excess of the reserve. It is
	// negative while the reserve is short.
	Spare int
	// ScarcestUse is the greatest of the fractions of the resources in use, from
	// 0 to 1.
	ScarcestUse float64
}

// Work is a step with tasks that wait.
type Work struct {
	// Urgent work is what the reserve is for.
	Urgent bool
	// Idle is set for a job of which nothing runs. The platform counts such a
	// job as lost if it waits for 3 s while less than half of any resource is in
	// use.
	Idle bool
	// LongRunning work earns only while it runs. The platform requires it to run
	// again within 6 s.
	LongRunning bool
	// Pressing reports whether the work has to start now to be completed in time.
	Pressing func() bool
	// Relaxed reports whether the work has waited for so long, and there is so
	// much room, that the platform requires it to start. It is called only if
	// the answer matters, since it searches all workers.
	Relaxed func() bool
}

// MayUseReserve reports whether work may take a worker that is reserved for
// urgent work.
func MayUseReserve(l Load, w Work) bool {
	switch {
	case w.Urgent, l.Spare > 0, w.Pressing():
		return true
	case l.ScarcestUse >= maxScarcestUse && !w.Idle && !w.LongRunning:
		return false
	}
	return w.Relaxed()
}
