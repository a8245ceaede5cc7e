package jobtable

import (
	"fmt"
	"strconv"
	"strings"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/tombstone"
	"curlewsill.org/curlewsill/core/unit"
)

// The prefixes of the keys, and the keys of the ownership claim and of the latest
// outage.
const (
	specPrefix     = "spec/"
	cancelPrefix   = "cancel/"
	summaryPrefix  = "summary/"
	progressPrefix = "progress/"
	wavePrefix     = "wave/"
	withheldPrefix = "withheld/"
	ownerKey       = "owner"
	outageKey      = "outage"
	// tombstonePrefix comes after all other prefixes of the job log in the order of
	// keys. A read of the newest records that begins behind the tombstones of a job
	// returns nothing but later tombstones.
	tombstonePrefix = "tombstone/"
)

// Record is one keyed record of the store. An empty value deletes the key.
type Record struct {
	Key   string
	Value []byte
}

// Owner is the ownership claim of the host that schedules. An empty host means
// that the owner has released the ownership.
type Owner struct {
	_    struct{} `cbor:",toarray"`
	Host id.Host
	// Epoch only increases: a claim with an epoch below that of the newest claim
	// has no effect.
	Epoch id.Epoch
}

// Summary is the state that callers see of a job of which a task has begun, or
// that has ended.
type Summary struct {
	_       struct{} `cbor:",toarray"`
	Outcome job.Outcome
	// Ended is when Outcome was reached.
	Ended unit.Instant
}

// Wave is the state of a maintenance wave.
type Wave struct {
	_ struct{} `cbor:",toarray"`
	// FirstSeen is the wall-clock time at which an owner first read the wave.
	FirstSeen unit.Instant
	// Started has the machines whose maintenance has started, in the order of the
	// starts.
	Started []id.Machine
}

// Outage is the latest outage of the store.
type Outage struct {
	_ struct{} `cbor:",toarray"`
	// Ended is the wall-clock time, by the host that has recorded the outage, at
	// which the store answered again.
	Ended unit.Instant
}

// Withheld tells which ends of a worker must not be acknowledged.
type Withheld struct {
	_ struct{} `cbor:",toarray"`
	// Seq is the sequence number of the first end that must not be; 0 if none is
	// known yet.
	Seq uint64
	// Runs are the runs that were given up on the worker and whose tasks were
	// placed again. Their successes must not be acknowledged.
	Runs []GivenUpRun
}

// GivenUpRun names a run of a task.
type GivenUpRun struct {
	_    struct{} `cbor:",toarray"`
	Task job.TaskID
	Run  job.RunNumber
}

// Tombstone cancels a job that the log doesn't have, whenever it comes.
type Tombstone struct {
	_ struct{} `cbor:",toarray"`
	// Customer is the customer whose job is cancelled; empty for any customer.
	Customer id.Customer
	// Written is the wall-clock time of the cancellation, by the host that wrote it.
	Written unit.Instant
	// Expired is set by the owner: a job that comes after this record isn't cancelled.
	Expired bool
}

// SpecRecord returns the record that publishes an accepted job.
func (t *Table) SpecRecord(j id.Job, s job.Spec) (Record, error) {
	b, err := t.specs.Encode(s)
	return Record{Key: specPrefix + string(j), Value: b}, err
}

// CancelRecord returns the record that cancels a job permanently.
func (t *Table) CancelRecord(j id.Job) Record {
	return Record{Key: cancelPrefix + string(j), Value: []byte{1}}
}

// TombstoneRecord returns the record of a tombstone of a job. Hosts of the version
// before reject the record and go on.
func (t *Table) TombstoneRecord(j id.Job, x Tombstone) (Record, error) {
	b, err := t.tombstoneCodec.Encode(x)
	return Record{Key: tombstonePrefix + tombstone.Name(j, x.Customer, x.Written), Value: b}, err
}

// DropTombstoneRecord returns the record that deletes a tombstone of a job.
func DropTombstoneRecord(j id.Job, x Tombstone) Record {
	return Record{Key: tombstonePrefix + tombstone.Name(j, x.Customer, x.Written)}
}

// TombstonesFrom returns the greatest key before those of a job's tombstones.
func TombstonesFrom(j id.Job) string { return tombstonePrefix + tombstone.Prefix(j) }

// IsTombstoneOf reports whether a key is that of a tombstone of a job.
func IsTombstoneOf(key string, j id.Job) bool { return strings.HasPrefix(key, TombstonesFrom(j)) }

// CoveredBy returns when a tombstone that cancels a customer's job was written, if
// there is one among records that begin behind TombstonesFrom. The job's own record
// has the offset at; offsets holds those of the others. It returns an error for a
// tombstone of the job that can't be read.
func (t *Table) CoveredBy(recs []Record, offsets []id.Offset, j id.Job, customer id.Customer, at id.Offset) (unit.Instant, bool, error) {
	var set tombstone.Set
	for i, r := range recs {
		if !IsTombstoneOf(r.Key, j) {
			break
		}
		x, err := t.tombstoneCodec.Decode(r.Value)
		if err != nil {
			return 0, false, fmt.Errorf("jobtable: tombstone of %s: %w", j, err)
		}
		if !x.Expired || offsets[i] > at {
			set.Put(j, x.Customer, x.Written)
		}
	}
	written, covered := set.Covering(j, customer)
	return written, covered, nil
}

// SummaryRecord returns the record of a job's summary, from which callers see
// its state.
func (t *Table) SummaryRecord(j id.Job, s Summary) (Record, error) {
	b, err := t.summaries.Encode(s)
	return Record{Key: summaryPrefix + string(j), Value: b}, err
}

// DropProgressRecord returns the record that deletes a job's progress.
func DropProgressRecord(j id.Job) Record { return Record{Key: progressPrefix + string(j)} }

// ProgressRecord returns the record of a job's progress.
func (t *Table) ProgressRecord(j id.Job, p job.Progress) (Record, error) {
	b, err := t.encodeProgress(p)
	return Record{Key: progressPrefix + string(j), Value: b}, err
}

// WaveRecord returns the record of the state of a wave.
func (t *Table) WaveRecord(n id.Wave, w Wave) (Record, error) {
	b, err := t.waveCodec.Encode(w)
	return Record{Key: wavePrefix + strconv.Itoa(int(n)), Value: b}, err
}

// WithheldRecord returns the record of which ends of a worker must not be
// acknowledged. Hosts of the version before reject the record and go on.
func (t *Table) WithheldRecord(w id.Worker, x Withheld) (Record, error) {
	b, err := t.withheldCodec.Encode(x)
	return Record{Key: withheldPrefix + string(w), Value: b}, err
}

// DropWithheldRecord returns the record that deletes that of a worker.
func DropWithheldRecord(w id.Worker) Record { return Record{Key: withheldPrefix + string(w)} }

// OutageRecord returns the record of the latest outage of the store, for the job
// log. Hosts of the version before reject it and go on.
func (t *Table) OutageRecord(o Outage) (Record, error) {
	b, err := t.outages.Encode(o)
	return Record{Key: outageKey, Value: b}, err
}

// OwnerRecord returns the record of an ownership claim.
func (t *Table) OwnerRecord(o Owner) (Record, error) {
	b, err := t.owners.Encode(o)
	return Record{Key: ownerKey, Value: b}, err
}

// DeleteRecords returns the records that delete an ended job, whose progress must
// be deleted before. They are to be written in order. The spec comes first,
// because an entry without a spec is not a job: if only some of the records are
// written, the ended job is never shown as a new one.
func (t *Table) DeleteRecords(j id.Job) []Record {
	return []Record{
		{Key: specPrefix + string(j)},
		{Key: cancelPrefix + string(j)},
		{Key: summaryPrefix + string(j)},
	}
}
