// Package catalog holds the configuration in force on the platform: queues, services
// and customers with their keys.
//
// A catalog is immutable. Its version only grows within the life of a process.
package catalog

import (
	"strings"
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
)

// Version numbers configurations; a later one has a higher version.
type Version int64

// Queue is where jobs of one kind are handed in.
type Queue struct {
	Name id.Queue
	// Host and Prefix select the queue; the longest prefix wins.
	Host, Prefix string
	Service      id.Service
	// Priority 0 goes first.
	Priority    int
	MaxAttempts int
	Stretch     float64
	Target      time.Duration
	// Anonymous queues ask for no key.
	Anonymous bool
	// Advice says whether placements need a permit of the advice service.
	Advice job.Advice
}

// Customer holds keys and a guarantee.
type Customer struct {
	Name id.Customer
	Keys []string
	// Guaranteed is how many accelerators are the customer's at any time.
	Guaranteed int
}

// Service is a pool of workers.
type Service struct {
	Name id.Service
	// GuardsCapacity is set if its workers refuse what doesn't fit.
	GuardsCapacity bool
	// PoweredOff pools hold machines that are off.
	PoweredOff bool
}

// Limits bound requests.
type Limits struct {
	// BodyBytes bounds a job; 0 if the configuration names no bound.
	BodyBytes int
}

// Catalog is one configuration.
type Catalog struct {
	Version   Version
	Queues    []Queue
	Services  []Service
	Customers []Customer
	Limits    Limits
	// keys leads from a key to its customer.
	keys map[string]id.Customer
}

// New returns a catalog that answers for the given configuration.
func New(c Catalog) *Catalog {
	c.keys = map[string]id.Customer{}
	for _, cust := range c.Customers {
		for _, k := range cust.Keys {
			c.keys[k] = cust.Name
		}
	}
	return &c
}

// Find returns the queue for a host name and path, or nil.
func (c *Catalog) Find(host, path string) *Queue {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	return best
}

// Holder returns the customer who holds a key.
func (c *Catalog) Holder(key string) (id.Customer, bool) {
	name, ok := c.keys[key]
	return name, ok
}
