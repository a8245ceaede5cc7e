package dispatch

import "time"

// Config holds the bounds that the platform sets and how long ended jobs are kept.
type Config struct {
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// StopTime is how long a worker may take to stop a task.
	StopTime time.Duration
	// SaveEvery is how much of a task's run time passes between two checkpoints.
	SaveEvery time.Duration
	// KeepEnded is how long the state of an ended job must be known.
	KeepEnded time.Duration
	// Handover is how long a new owner orders no machine about after another one may have.
	Handover time.Duration
	// Away is how long a machine is down for its maintenance.
	Away time.Duration
}

// Figures of the owner. Where no source is named, a figure is a choice; those that were
// measured are in docs/design/07-worth.md.
const (
	// clockDrift is how much faster than a worker's clock ours may run: theirs
	// may be 2 % slow by the platform's word.
	clockDrift = 1.0 / 0.98
	// lapseSlack is added to each lease's end for the way of an order, a few
	// milliseconds, and for late timers.
	lapseSlack = 200 * time.Millisecond
	// renewWait is how long a renewal may wait at the worker for news; the
	// platform allows 2 s.
	renewWait = 2 * time.Second
	// sharedWait is the same on a worker where tasks that use what others leave run beside
	// serving ones: the worker's figures are those of the last half second.
	sharedWait = 500 * time.Millisecond
	// renewPause is the pause before another renewal when the last one brought
	// nothing that could be waited for.
	renewPause = 500 * time.Millisecond
	// silentAfter is how long after its last answer a worker gets no new tasks.
	// It is one renewal that waited in full, and one lost.
	silentAfter = 3500 * time.Millisecond
	// busyPause is how long a worker that refused a start is left alone; a
	// renewal that is sent at once tells meanwhile what it holds.
	busyPause = 500 * time.Millisecond
	// nearWait is how long urgent work waits for room near its data or in one rack
	// before it takes room elsewhere; it must have begun after about 3 s.
	nearWait = 1200 * time.Millisecond
	// roomyWait is the same for other work while there is room to spare. The
	// platform counts a job as lost that waits 3 s then.
	roomyWait = 2 * time.Second
	// lastingPatience is how long long-running tasks wait before room that is kept for
	// others is given up. The platform counts one as lost that waits 3 s with room.
	lastingPatience = time.Second
	// farUsage is the part of a service's capacity in use below which work that
	// isn't urgent may be placed where it is slow. The platform asks for work to
	// start when under half is in use.
	farUsage = 0.5
	// claimTime is how long room is kept for a step that others were stopped for: twice
	// the time that a stop may take by default.
	claimTime = 2 * time.Second
	// failStreak is how many runs of different jobs fail in a row before a worker
	// is suspected, and failPause how long it then gets no tasks. A sound worker
	// fails one run in twenty on the users' sites.
	failStreak = 3
	failPause  = 5 * time.Second
	// trialTime is how long the first run after a suspension must go on before the worker
	// is taken for sound. Workers that fail all they start do so within 50 ms.
	trialTime = 2 * time.Second
	// suspicionWeight is added for each failure in a row on a worker; it outweighs all
	// else by which workers are compared, so that others are taken first.
	suspicionWeight = 10
	// upkeepAgain is when an order to take a machine down that got no answer is repeated.
	// The platform answers one that was done in the same way.
	upkeepAgain = time.Second
	// sharingWeight is added for each run on a worker that a task would disturb, or that
	// would disturb it; it outweighs all but suspicion.
	sharingWeight = 8
	// avoidAfterFailure is how long a task isn't placed again where it has just
	// failed, if there are other workers. It is less than the 3 s after which a
	// waiting job counts as lost while there is room.
	avoidAfterFailure = 2 * time.Second
	// stopPatience times the time that a stop may take is when a run that is still listed is
	// ordered to stop again.
	stopPatience = 3
	// resendAfter is when an order without an answer is repeated. Workers answer
	// within a few milliseconds. Measured.
	resendAfter = 300 * time.Millisecond
	// goneAfter is how long a worker that the list has dropped must be silent before its
	// refused connections, or its announced end, count: two renewals after renewPause.
	goneAfter = time.Second
	// evacuateSlack is the time that a stop needs on its way and to be noted.
	evacuateSlack = 500 * time.Millisecond
	// trustPercent is the least progress, in percent, from which a run's remaining time
	// is estimated; below, the customer's estimate counts.
	trustPercent = 10
	// lateFactor times the time allowed is when a job stops earning anything.
	lateFactor = 3
	// acceleratorWeight makes free accelerators count more than free processors
	// or memory when the fullest worker is sought: they are what runs short.
	acceleratorWeight = 2
	// rackWeight is added for opening a worker of a rack that is wholly empty, less for
	// one that is partly so. It outweighs the most that leftover returns, so that whole
	// racks are kept. Measured: docs/design/07-worth.md.
	rackWeight = 4
	// lastingLoss is what stopping a long-running task costs, as time of its cores: the
	// platform wants it back within 6 s.
	lastingLoss = 6 * time.Second
	// stopCost is added for each run that is stopped, in core-seconds, so that
	// few are stopped when little work is lost either way.
	stopCost = 1
	// shortestWait and longestWait bound how far ahead room is kept for a gang that
	// nobody is stopped for; the time doubles in between. mostWaitingClaims bounds how
	// many gangs that is done for at a time, because kept room lies idle.
	shortestWait      = time.Second
	longestWait       = 8 * time.Second
	mostWaitingClaims = 2
	// forgetJobs bounds how many ended jobs are dropped in one batch; each is
	// three records.
	forgetJobs = 20
)
