package jobtable

import (
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/unit"
)

// plainProgress is a job's progress without counts of crashes, as hosts that know of none write and read it. A job
// under which no worker crashed is written so, which keeps hosts of both kinds readable for each other.
type plainProgress struct {
	_       struct{} `cbor:",toarray"`
	Outcome job.Outcome
	Ended   unit.Instant
	Tasks   []job.TaskState
}

// plainHeader is the first byte of an encoded plainProgress: CBOR for an array of three.
const plainHeader = 0x83

// encodeProgress returns the value of a progress record.
func (t *Table) encodeProgress(p job.Progress) ([]byte, error) {
	if len(p.Crashes) > 0 {
		return t.progress.Encode(p)
	}
	return t.plain.Encode(plainProgress{Outcome: p.Outcome, Ended: p.Ended, Tasks: p.Tasks})
}

// decodeProgress returns what the value of a progress record says.
func (t *Table) decodeProgress(value []byte) (job.Progress, error) {
	if value[0] != plainHeader {
		return t.progress.Decode(value)
	}
	p, err := t.plain.Decode(value)
	return job.Progress{Outcome: p.Outcome, Ended: p.Ended, Tasks: p.Tasks}, err
}
