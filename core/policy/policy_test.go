package policy_test

import (
	"reflect"
	"slices"
	"testing"

	"curlewsill.org/curlewsill/core/policy"
)

// TestEachSwitch checks that each field of Policy has exactly one name, that
// setting a name changes its field alone, and that New has all fields on.
func TestEachSwitch(t *testing.T) {
	all := policy.New()
	v := reflect.ValueOf(all)
	names := policy.Names()
	if len(names) != v.NumField() {
		t.Fatalf("%d names for %d switches", len(names), v.NumField())
	}
	var changed []int
	for _, name := range names {
		p, ok := all.With(name, false)
		if !ok {
			t.Fatalf("no switch %q", name)
		}
		off := fieldsOff(p)
		if len(off) != 1 || !slices.Equal(p.Off(), []string{name}) {
			t.Errorf("%s switches off the fields %v", name, off)
		}
		changed = append(changed, off...)
		if back, _ := p.With(name, true); back != all {
			t.Errorf("%s: on again is %+v", name, back)
		}
	}
	slices.Sort(changed)
	changed = slices.Compact(changed)
	if len(changed) != v.NumField() || len(fieldsOff(all)) > 0 {
		t.Errorf("switched off in turn: %v; off in New: %v", changed, fieldsOff(all))
	}
}

// TestUnknownName checks that With changes nothing for an unknown name and
// returns false.
func TestUnknownName(t *testing.T) {
	if p, ok := policy.New().With("best_fit", false); ok || p != policy.New() {
		t.Errorf("got %+v, %v", p, ok)
	}
}

// fieldsOff returns the positions of the fields that are off.
func fieldsOff(p policy.Policy) []int {
	v := reflect.ValueOf(p)
	var out []int
	for i := range v.NumField() {
		if !v.Field(i).Bool() {
			out = append(out, i)
		}
	}
	return out
}
