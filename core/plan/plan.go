// Package plan shows the effects of a set of configuration changes before they
// are applied.
//
// A plan is based on the configuration in force. Its ID is a hash of its
// changes and of that configuration's offset in the log. Plans need not be
// stored: the operator who confirms a plan sends all of it back, and the ID of a
// plan that was altered no longer matches. The log accepts a confirmed plan only
// while the configuration on which it is based is still in force.
package plan

import (
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"curlewsill.org/curlewsill/core/codec"
	"curlewsill.org/curlewsill/core/config"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/record"
	"curlewsill.org/curlewsill/core/state"
)

// ErrAltered reports a plan whose ID doesn't match its changes and basis.
var ErrAltered = errors.New("plan: id does not match")

// Plan is a set of changes that an operator intends, with their effects.
type Plan struct {
	// ID is a hash of Basis and Changes.
	ID id.Plan `json:"id"`
	// Basis is the offset of the configuration on which the plan is based.
	Basis   id.Offset       `json:"basis"`
	Changes []config.Change `json:"changes"`
	// Lines describe the changes like a diff: + added, ~ changed, - removed.
	Lines []string `json:"lines"`
	// Preempts lists the running jobs that may be preempted when the customer
	// of a new or larger guarantee reclaims its accelerators.
	Preempts []id.Job `json:"preempts"`
	// Problem says why the plan can't be accepted; empty if it can.
	Problem string `json:"problem"`
}

type hashInput struct {
	Basis   id.Offset       `cbor:"1,keyasint"`
	Changes []config.Change `cbor:"2,keyasint"`
}

var hashCodec = codec.New[hashInput]()

// New returns the plan for the changes to the state's configuration. Changes
// without effect are left out.
func New(st *state.State, changes []config.Change) (Plan, error) {
	p := Plan{Basis: st.ConfigAt}
	for _, c := range changes {
		lines := describe(st.Config, c)
		if len(lines) == 0 {
			continue
		}
		p.Changes = append(p.Changes, c)
		p.Lines = append(p.Lines, lines...)
	}
	var err error
	if p.ID, err = hash(p.Basis, p.Changes); err != nil {
		return Plan{}, err
	}
	next, err := st.Config.Apply(p.Changes)
	if err != nil {
		p.Problem = err.Error()
		return p, nil
	}
	if _, err := st.CheckConfig(next); err != nil {
		p.Problem = err.Error()
		return p, nil
	}
	p.Preempts = preemptibleJobs(st, next)
	return p, nil
}

// Entry returns the log entry that confirms the plan, or ErrAltered.
func (p Plan) Entry() (record.Entry, error) {
	want, err := hash(p.Basis, p.Changes)
	if err != nil {
		return record.Entry{}, err
	}
	if want != p.ID {
		return record.Entry{}, fmt.Errorf("%w: have %s, want %s", ErrAltered, p.ID, want)
	}
	return record.Entry{Configure: &record.Configure{Plan: p.ID, Basis: p.Basis, Changes: p.Changes}}, nil
}

func hash(basis id.Offset, changes []config.Change) (id.Plan, error) {
	b, err := hashCodec.Encode(hashInput{basis, changes})
	if err != nil {
		return "", err
	}
	return id.Plan(fmt.Sprintf("%016x", xxhash.Sum64(b))), nil
}

// preemptibleJobs returns the running jobs that may be preempted because of the
// next configuration. If it adds or enlarges a guarantee, these are all running
// jobs that can be preempted, because the customer may reclaim the
// accelerators. Otherwise it returns nil.
func preemptibleJobs(st *state.State, next config.Config) []id.Job {
	guaranteeGrows := false
	for k, g := range next.Guarantees {
		if old, ok := st.Config.Guarantees[k]; !ok || g.Size*g.Count > old.Size*old.Count {
			guaranteeGrows = true
		}
	}
	if !guaranteeGrows {
		return nil
	}
	var out []id.Job
	for _, k := range config.SortedKeys(st.Jobs) {
		if j := st.Jobs[k]; j.State == state.Running && !j.NonPreemptible() {
			out = append(out, k)
		}
	}
	return out
}
