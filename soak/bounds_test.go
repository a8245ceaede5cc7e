package soak

import "time"

// The platform's bounds as the soak's settings give them. What the judge waits for is patience times
// as long, so that no verdict hangs on the load of the machine.
const (
	toleranceFactor    = 3
	recoveryTime       = 3 * time.Second        // without a fault for so long, a host counts as in touch
	grace              = 6 * time.Second        // between SIGTERM and SIGKILL
	maxLease           = 10 * time.Second       // the longest lease of a worker
	stopTime           = 900 * time.Millisecond // what a stop takes at most
	cancelTime         = 3 * time.Second        // after a cancel nothing is started
	visibleTime        = 3 * time.Second        // after its acknowledgement a job is known
	configTime         = 2 * time.Second        // a configuration is in force
	handover           = 3 * time.Second        // a refused owner may go on so long
	drainTime          = 2 * time.Second        // after that nothing is started on a worker that leaves
	minCutTime         = 200 * time.Millisecond // a call that is cut sooner may not have been read
	maxAttempts        = 4                      // runs of a task that may fail
	workerCapacity     = 8                      // tasks of one accelerator that a worker has room for
	maxMemory          = 284 << 20              // bytes that a process may hold
	maxDescriptors     = 400                    // descriptors: 8 to each of 30 workers, links, listeners, callers
	maxRefusedOrders   = 3                      // orders that a refused owner may repeat after handover
	minCrashes         = 2                      // workers that a task must have crashed to be given up
	crashBudget        = 3                      // after so many it is started at most
	startsAfterCrashes = 2                      // times more
)
