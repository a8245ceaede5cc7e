package config

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"curlewsill.org/curlewsill/core/block"
	"curlewsill.org/curlewsill/core/id"
)

// Config is one configuration. It is immutable once built: Apply returns a new
// one, which shares the objects that didn't change.
type Config struct {
	// Each map is keyed by the id that its objects carry.
	Customers  map[id.Customer]Customer   `cbor:"1,keyasint" json:"customers"`
	Guarantees map[id.Guarantee]Guarantee `cbor:"2,keyasint" json:"guarantees"`
	Racks      map[id.Rack]Rack           `cbor:"3,keyasint" json:"racks"`
	Services   map[id.Service]Service     `cbor:"4,keyasint" json:"services"`
}

// New returns an empty configuration.
func New() Config {
	return Config{
		Customers:  map[id.Customer]Customer{},
		Guarantees: map[id.Guarantee]Guarantee{},
		Racks:      map[id.Rack]Rack{},
		Services:   map[id.Service]Service{},
	}
}

// Apply returns the configuration after applying the changes in order. It returns
// an ErrInvalid error, and no configuration, if a change or the result is invalid.
func (c Config) Apply(changes []Change) (Config, error) {
	next := Config{
		Customers:  maps.Clone(c.Customers),
		Guarantees: maps.Clone(c.Guarantees),
		Racks:      maps.Clone(c.Racks),
		Services:   maps.Clone(c.Services),
	}
	for _, ch := range changes {
		if err := next.apply(ch); err != nil {
			return Config{}, err
		}
	}
	if err := next.check(); err != nil {
		return Config{}, err
	}
	return next, nil
}

func (c Config) apply(ch Change) error {
	switch {
	case ch.SetCustomer != nil:
		c.Customers[ch.SetCustomer.ID] = *ch.SetCustomer
	case ch.SetGuarantee != nil:
		c.Guarantees[ch.SetGuarantee.ID] = *ch.SetGuarantee
	case ch.SetRack != nil:
		c.Racks[ch.SetRack.ID] = *ch.SetRack
	case ch.SetService != nil:
		c.Services[ch.SetService.ID] = *ch.SetService
	case ch.DeleteCustomer != "":
		return remove(c.Customers, ch.DeleteCustomer, "customer")
	case ch.DeleteGuarantee != "":
		return remove(c.Guarantees, ch.DeleteGuarantee, "guarantee")
	case ch.DeleteRack != "":
		return remove(c.Racks, ch.DeleteRack, "rack")
	case ch.DeleteService != "":
		return remove(c.Services, ch.DeleteService, "service")
	default:
		return fmt.Errorf("%w: empty change", ErrInvalid)
	}
	return nil
}

func remove[K ~string, V any](m map[K]V, key K, kind string) error {
	if _, ok := m[key]; !ok {
		return fmt.Errorf("%w: %s %s: delete: no such %s", ErrInvalid, kind, key, kind)
	}
	delete(m, key)
	return nil
}

func (c Config) check() error {
	for _, k := range SortedKeys(c.Customers) {
		if err := c.Customers[k].check(); err != nil {
			return err
		}
	}
	for _, k := range SortedKeys(c.Guarantees) {
		if err := c.checkGuarantee(c.Guarantees[k]); err != nil {
			return err
		}
	}
	for _, k := range SortedKeys(c.Services) {
		if err := c.Services[k].check(); err != nil {
			return err
		}
	}
	return c.checkRacks()
}

func (c Customer) check() error {
	switch {
	case c.ID == "":
		return fmt.Errorf("%w: customer: id is empty", ErrInvalid)
	case c.Weight < 1:
		return fmt.Errorf("%w: customer %s: weight is %d, want at least 1", ErrInvalid, c.ID, c.Weight)
	case c.Quota < 0:
		return fmt.Errorf("%w: customer %s: quota is %d, want 0 (no limit) or more", ErrInvalid, c.ID, c.Quota)
	}
	return nil
}

func (c Config) checkGuarantee(g Guarantee) error {
	switch {
	case g.ID == "":
		return fmt.Errorf("%w: guarantee: id is empty", ErrInvalid)
	case c.Customers[g.Customer].ID == "":
		return fmt.Errorf("%w: guarantee %s: no customer %q", ErrInvalid, g.ID, g.Customer)
	case g.Size < 1 || g.Size > block.MaxSize:
		return fmt.Errorf("%w: guarantee %s: size is %d, want 1 to %d", ErrInvalid, g.ID, g.Size, block.MaxSize)
	case g.Count < 1:
		return fmt.Errorf("%w: guarantee %s: count is %d, want at least 1", ErrInvalid, g.ID, g.Count)
	}
	return nil
}

func (s Service) check() error {
	switch {
	case s.ID == "":
		return fmt.Errorf("%w: service: id is empty", ErrInvalid)
	case s.Slots < 1:
		return fmt.Errorf("%w: service %s: slots is %d, want at least 1", ErrInvalid, s.ID, s.Slots)
	case s.Connections < 1:
		return fmt.Errorf("%w: service %s: connections is %d, want at least 1", ErrInvalid, s.ID, s.Connections)
	case s.Timeout <= 0:
		return fmt.Errorf("%w: service %s: timeout is %s, want more than 0", ErrInvalid, s.ID, s.Timeout)
	}
	return nil
}

func (c Config) checkRacks() error {
	seen := map[id.Worker]id.Rack{}
	for _, k := range SortedKeys(c.Racks) {
		r := c.Racks[k]
		if r.ID == "" || len(r.Workers) == 0 {
			return fmt.Errorf("%w: rack %q: id or workers are empty", ErrInvalid, r.ID)
		}
		for _, w := range r.Workers {
			if other, dup := seen[w.ID]; dup {
				return fmt.Errorf("%w: worker %s: in rack %s and in rack %s", ErrInvalid, w.ID, other, r.ID)
			}
			if w.ID == "" || w.Accelerators < 1 {
				return fmt.Errorf("%w: rack %s: worker %q: accelerators is %d, want at least 1",
					ErrInvalid, r.ID, w.ID, w.Accelerators)
			}
			seen[w.ID] = r.ID
		}
		if n := r.Accelerators(); n > block.MaxSize {
			return fmt.Errorf("%w: rack %s: %d accelerators, want at most %d", ErrInvalid, r.ID, n, block.MaxSize)
		}
	}
	return nil
}

// SortedKeys returns the keys of m in ascending order. All code that makes decisions
// iterates over maps in this order, so that every host makes the same decisions.
func SortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
