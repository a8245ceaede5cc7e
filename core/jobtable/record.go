package jobtable

import (
	"strconv"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/unit"
)

// The prefixes of the keys, and the key of the owner.
const (
	specPrefix     = "spec/"
	cancelPrefix   = "cancel/"
	summaryPrefix  = "summary/"
	progressPrefix = "progress/"
	wavePrefix     = "wave/"
	ownerKey       = "owner"
)

// Record is one keyed record of the store. An empty value drops the key.
type Record struct {
	Key   string
	Value []byte
}

// Owner is the claim of the host that schedules. An empty host means that the owner has
// given the ownership back.
type Owner struct {
	_    struct{} `cbor:",toarray"`
	Host id.Host
	// Epoch only grows: a claim with a lower one than the newest has no effect.
	Epoch id.Epoch
}

// Summary is what callers are told of a job that an owner has placed, or ended.
type Summary struct {
	_       struct{} `cbor:",toarray"`
	Outcome job.Outcome
	// Ended is when Outcome was reached.
	Ended unit.Instant
}

// Wave is how far a wave of maintenance is.
type Wave struct {
	_ struct{} `cbor:",toarray"`
	// Seen is the time of day at which an owner first saw the wave.
	Seen unit.Instant
	// Begun holds the machines whose maintenance has begun, in the order of that.
	Begun []id.Machine
}

// SpecRecord returns the record that makes a job known.
func (t *Table) SpecRecord(j id.Job, s job.Spec) (Record, error) {
	b, err := t.specs.Encode(s)
	return Record{Key: specPrefix + string(j), Value: b}, err
}

// CancelRecord returns the record that cancels a job for good.
func (t *Table) CancelRecord(j id.Job) Record {
	return Record{Key: cancelPrefix + string(j), Value: []byte{1}}
}

// SummaryRecord returns the record of what callers are told of a job.
func (t *Table) SummaryRecord(j id.Job, s Summary) (Record, error) {
	b, err := t.summaries.Encode(s)
	return Record{Key: summaryPrefix + string(j), Value: b}, err
}

// DropProgressRecord returns the record that drops a job's progress.
func DropProgressRecord(j id.Job) Record { return Record{Key: progressPrefix + string(j)} }

// ProgressRecord returns the record of a job's progress.
func (t *Table) ProgressRecord(j id.Job, p job.Progress) (Record, error) {
	b, err := t.encodeProgress(p)
	return Record{Key: progressPrefix + string(j), Value: b}, err
}

// WaveRecord returns the record of how far a wave is.
func (t *Table) WaveRecord(n id.Wave, w Wave) (Record, error) {
	b, err := t.waveCodec.Encode(w)
	return Record{Key: wavePrefix + strconv.Itoa(int(n)), Value: b}, err
}

// OwnerRecord returns the record of a claim.
func (t *Table) OwnerRecord(o Owner) (Record, error) {
	b, err := t.owners.Encode(o)
	return Record{Key: ownerKey, Value: b}, err
}

// ForgetRecords returns the records that drop an ended job, whose progress has gone before. The spec goes first: what
// has no spec is no job, so no prefix of them makes an ended job look new.
func (t *Table) ForgetRecords(j id.Job) []Record {
	return []Record{
		{Key: specPrefix + string(j)},
		{Key: cancelPrefix + string(j)},
		{Key: summaryPrefix + string(j)},
	}
}
