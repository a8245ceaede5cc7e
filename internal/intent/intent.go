// Package intent reads configuration changes from an operator's INI file: objects to
// set, in sections like [customer NAME], and objects to delete, in sections like
// [delete customer NAME].
package intent

import (
	"fmt"
	"strings"
	"time"

	"curlewsill.org/curlewsill/core/block"
	"curlewsill.org/curlewsill/core/config"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/internal/inifile"
)

// Upper bounds of the objects' fields.
const (
	maxWeight      = 1000
	maxQuota       = 1_000_000
	maxCount       = 10_000
	maxCores       = 4096
	maxMemory      = 64 * 1024 * unit.GiB
	maxSlots       = 10_000
	maxConnections = 100_000
	maxTimeout     = time.Hour
)

// Load returns the configuration changes in a file.
func Load(name string) ([]config.Change, error) {
	f, err := inifile.Read(name)
	if err != nil {
		return nil, err
	}
	return readChanges(f)
}

// Parse is like Load, for the content of a file. Errors refer to the file as name.
func Parse(name string, data []byte) ([]config.Change, error) {
	f, err := inifile.Parse(name, data)
	if err != nil {
		return nil, err
	}
	return readChanges(f)
}

// readChanges returns the changes in an order in which each object refers only to
// earlier ones.
func readChanges(f *inifile.File) ([]config.Change, error) {
	var out []config.Change
	for _, s := range f.Sections("customer") {
		out = append(out, config.Change{SetCustomer: &config.Customer{
			ID:     id.Customer(s.Name),
			Weight: s.Int("weight", 1, 1, maxWeight),
			Quota:  s.Int("quota", 0, 0, maxQuota),
		}})
	}
	for _, s := range f.Sections("rack") {
		out = append(out, config.Change{SetRack: readRack(s)})
	}
	for _, s := range f.Sections("guarantee") {
		out = append(out, config.Change{SetGuarantee: &config.Guarantee{
			ID:       id.Guarantee(s.Name),
			Customer: id.Customer(s.Required("customer")),
			Size:     s.Int("size", 1, 1, block.MaxSize),
			Count:    s.Int("count", 1, 1, maxCount),
		}})
	}
	for _, s := range f.Sections("service") {
		out = append(out, config.Change{SetService: readService(s)})
	}
	for _, s := range f.Sections("delete") {
		out = append(out, readDelete(s))
	}
	return out, f.Err()
}

func readRack(s *inifile.Section) *config.Rack {
	r := &config.Rack{ID: id.Rack(s.Name), Domain: id.Domain(s.Required("domain"))}
	n := s.Int("workers", 8, 1, block.MaxSize)
	accelerators := s.Int("accelerators", 8, 1, block.MaxSize)
	cores := s.Int("cores", 1, 1, maxCores)
	memory := s.Size("memory", unit.GiB, unit.MiB, maxMemory)
	if n*accelerators > block.MaxSize {
		s.Reject("accelerators", fmt.Sprintf("at most %d accelerators in the rack", block.MaxSize))
		return r
	}
	drained := map[id.Worker]bool{}
	for _, w := range s.List("drained") {
		drained[id.Worker(w)] = true
	}
	for i := range n {
		w := id.Worker(fmt.Sprintf("%s-w%d", s.Name, i))
		r.Workers = append(r.Workers, config.Worker{
			ID: w, Accelerators: accelerators, Cores: cores, Memory: memory, Drained: drained[w],
		})
		delete(drained, w)
	}
	if len(drained) > 0 {
		s.Reject("drained", "workers of this rack, as in "+s.Name+"-w0")
	}
	return r
}

func readService(s *inifile.Section) *config.Service {
	out := &config.Service{
		ID:          id.Service(s.Name),
		Slots:       s.Int("slots", 8, 1, maxSlots),
		Connections: s.Int("connections", 60, 1, maxConnections),
		Timeout:     s.Duration("timeout", 30*time.Second, time.Millisecond, maxTimeout),
	}
	for _, b := range s.List("drained") {
		out.Drained = append(out.Drained, id.Backend(b))
	}
	return out
}

func readDelete(s *inifile.Section) config.Change {
	kind, name, _ := strings.Cut(s.Name, " ")
	switch kind {
	case "customer":
		return config.Change{DeleteCustomer: id.Customer(name)}
	case "guarantee":
		return config.Change{DeleteGuarantee: id.Guarantee(name)}
	case "rack":
		return config.Change{DeleteRack: id.Rack(name)}
	case "service":
		return config.Change{DeleteService: id.Service(name)}
	}
	s.Reject("", "a section [delete customer|guarantee|rack|service NAME]")
	return config.Change{}
}
