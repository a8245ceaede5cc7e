// Package plan shows what a set of changes would do before anything happens.
//
// A plan is drawn upon the configuration in force. Its id is a hash of its changes
// and of that configuration's offset, so it needs to be stored nowhere: whoever
// confirms it sends it back whole, and a plan that was altered no longer has its id.
// The log accepts a confirmed plan only while its basis is in force.
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

// ErrAltered reports a plan whose id doesn't belong to its changes and basis.
var ErrAltered = errors.New("plan: id does not match")

// Plan is an operator's intent and its effects.
type Plan struct {
	// ID is a hash of Basis and Changes.
	ID id.Plan `json:"id"`
	// Basis is the offset of the configuration that the plan was drawn upon.
	Basis   id.Offset       `json:"basis"`
	Changes []config.Change `json:"changes"`
	// Lines describe the changes like a diff: + added, ~ changed, - removed.
	Lines []string `json:"lines"`
	// Preempts lists running jobs that the reclaiming of a new guarantee could
	// stop.
	Preempts []id.Job `json:"preempts"`
	// Problem says why the plan can't be accepted; empty if it can.
	Problem string `json:"problem"`
}

type identity struct {
	Basis   id.Offset       `cbor:"1,keyasint"`
	Changes []config.Change `cbor:"2,keyasint"`
}

var identities = codec.New[identity]()

// Draw returns the plan for changes upon the state's configuration. Changes that
// change nothing are left out.
func Draw(st *state.State, changes []config.Change) (Plan, error) {
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
	p.Preempts = borrowers(st, next)
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
	b, err := identities.Encode(identity{basis, changes})
	if err != nil {
		return "", err
	}
	return id.Plan(fmt.Sprintf("%016x", xxhash.Sum64(b))), nil
}

// borrowers returns the jobs that run on borrowed accelerators if the
// configuration would add a guarantee, because its customer may reclaim them.
func borrowers(st *state.State, next config.Config) []id.Job {
	grows := false
	for k, g := range next.Guarantees {
		if old, ok := st.Config.Guarantees[k]; !ok || g.Size*g.Count > old.Size*old.Count {
			grows = true
		}
	}
	if !grows {
		return nil
	}
	var out []id.Job
	for _, k := range config.Sorted(st.Jobs) {
		if j := st.Jobs[k]; j.State == state.Running && !j.Firm() {
			out = append(out, k)
		}
	}
	return out
}
