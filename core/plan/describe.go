package plan

import (
	"fmt"
	"slices"
	"strings"

	"curlewsill.org/curlewsill/core/config"
	"curlewsill.org/curlewsill/core/unit"
)

// describe returns the lines of a diff for one change: the object, marked as
// added (+), changed (~) or removed (-), and below it its properties that are
// added or removed. A change without effect has no lines.
func describe(c config.Config, ch config.Change) []string {
	switch {
	case ch.SetCustomer != nil:
		return diffObject("customer", ch.SetCustomer.ID, c.Customers, *ch.SetCustomer, customerProperties)
	case ch.SetGuarantee != nil:
		return diffObject("guarantee", ch.SetGuarantee.ID, c.Guarantees, *ch.SetGuarantee, guaranteeProperties)
	case ch.SetRack != nil:
		return diffObject("rack", ch.SetRack.ID, c.Racks, *ch.SetRack, rackProperties)
	case ch.SetService != nil:
		return diffObject("service", ch.SetService.ID, c.Services, *ch.SetService, serviceProperties)
	}
	return []string{"- " + strings.TrimPrefix(ch.String(), "delete ")}
}

// diffObject returns the diff of one object.
func diffObject[K ~string, V any](kind string, key K, have map[K]V, want V, properties func(V) []string) []string {
	var before []string
	mark := "+"
	if old, ok := have[key]; ok {
		before, mark = properties(old), "~"
	}
	after := properties(want)
	var lines []string
	for _, f := range before {
		if !slices.Contains(after, f) {
			lines = append(lines, "    - "+f)
		}
	}
	for _, f := range after {
		if !slices.Contains(before, f) {
			lines = append(lines, "    + "+f)
		}
	}
	if len(lines) == 0 && mark == "~" {
		return nil
	}
	return append([]string{fmt.Sprintf("%s %s %s", mark, kind, key)}, lines...)
}

func customerProperties(c config.Customer) []string {
	quota := "no quota"
	if c.Quota > 0 {
		quota = fmt.Sprintf("quota %d accelerators", c.Quota)
	}
	return []string{fmt.Sprintf("weight %d", c.Weight), quota}
}

func guaranteeProperties(g config.Guarantee) []string {
	return []string{fmt.Sprintf("customer %s", g.Customer), fmt.Sprintf("%d x %d adjacent accelerators", g.Count, g.Size)}
}

func rackProperties(r config.Rack) []string {
	out := []string{fmt.Sprintf("domain %s", r.Domain)}
	for _, w := range r.Workers {
		f := fmt.Sprintf("worker %s: %d accelerators, %d cores, %d MiB", w.ID, w.Accelerators, w.Cores, w.Memory/unit.MiB)
		if w.Drained {
			f += ", drained"
		}
		out = append(out, f)
	}
	return out
}

func serviceProperties(s config.Service) []string {
	out := []string{
		fmt.Sprintf("%d slots", s.Slots), fmt.Sprintf("%d connections", s.Connections), fmt.Sprintf("timeout %s", s.Timeout),
	}
	for _, b := range s.Drained {
		out = append(out, fmt.Sprintf("drained %s", b))
	}
	return out
}
