package state

import "errors"

// Errors of the reducer: the reasons for which an entry is void, and those for which
// a record or a snapshot can't be applied. Callers test for them with errors.Is.
var (
	// ErrDuplicate reports a batch that was applied before.
	ErrDuplicate = errors.New("state: duplicate batch")
	// ErrLate reports a batch whose basis, the last record that its writer had
	// applied, is older than Window allows.
	ErrLate = errors.New("state: batch is too late")
	// ErrStaleEpoch reports a decision of a host that is no longer the owner, or a
	// claim that replaces an epoch that is no longer in force.
	ErrStaleEpoch = errors.New("state: stale epoch")
	// ErrStalePlan reports a plan that is based on a configuration that is no
	// longer in force.
	ErrStalePlan = errors.New("state: stale plan")
	// ErrJobExists reports a second submission of a job.
	ErrJobExists = errors.New("state: job exists")
	// ErrNoJob reports a job that doesn't exist.
	ErrNoJob = errors.New("state: no such job")
	// ErrJobState reports an entry that the state of its job doesn't allow.
	ErrJobState = errors.New("state: job is in another state")
	// ErrNotRepeatable reports a second start of a job that must run at most once.
	ErrNotRepeatable = errors.New("state: job must not be repeated")
	// ErrBlockTaken reports a placement on accelerators that are in use, drained
	// or unknown.
	ErrBlockTaken = errors.New("state: block is taken")
	// ErrKeyTaken reports a claim or a release of an idempotency key that another
	// request holds.
	ErrKeyTaken = errors.New("state: key is taken")
	// ErrFull reports that maxJobs or maxKeys is reached.
	ErrFull = errors.New("state: full")
	// ErrGap reports a record that doesn't follow the last one applied.
	ErrGap = errors.New("state: gap in the log")
	// ErrSnapshot reports a snapshot that is damaged or older than the state.
	ErrSnapshot = errors.New("state: unusable snapshot")
)
