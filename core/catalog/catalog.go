// Package catalog holds the platform's configuration in force: queues, services
// and customers with their keys.
//
// A catalog is immutable. Its version only grows while a process runs.
package catalog

import (
	"strings"
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
)

// Version is the version number of a configuration; a later configuration has a
// higher one.
type Version int64

// Queue accepts jobs of one kind.
type Queue struct {
	Name id.Queue
	// Host and Prefix select the queue by a request's host name and path; of
	// several matching prefixes the longest applies.
	Host, Prefix string
	Service      id.Service
	// Priority 0 is the most urgent.
	Priority    int
	MaxAttempts int
	// DeadlineFactor and DeadlineExtra determine by when a job should be
	// completed. They become the fields of the same names of the job's
	// job.Spec.
	DeadlineFactor float64
	DeadlineExtra  time.Duration
	// Anonymous is set if jobs need no key.
	Anonymous bool
	// Advice says whether the platform's advice service must approve the
	// placements of the queue's jobs, and how long it takes to answer.
	Advice job.Advice
}

// Customer holds a customer's keys and guarantee.
type Customer struct {
	Name id.Customer
	Keys []string
	// Guaranteed is the number of accelerators that the customer can use at any
	// time.
	Guaranteed int
}

// Service is a pool of workers.
type Service struct {
	Name id.Service
	// GuardsCapacity is set if the service's workers refuse tasks that exceed
	// their capacity.
	GuardsCapacity bool
	// PoweredOff is set if the service's machines are turned off.
	PoweredOff bool
}

// Limits are the bounds on requests.
type Limits struct {
	// BodyBytes is the maximum size of a job's body; 0 if the configuration
	// sets none.
	BodyBytes int
}

// Catalog is one configuration.
type Catalog struct {
	Version   Version
	Queues    []Queue
	Services  []Service
	Customers []Customer
	Limits    Limits
	// keys maps each key to its customer.
	keys map[string]id.Customer
}

// New returns a copy of c with an index of all customers' keys, which
// CustomerByKey needs.
func New(c Catalog) *Catalog {
	c.keys = map[string]id.Customer{}
	for _, customer := range c.Customers {
		for _, k := range customer.Keys {
			c.keys[k] = customer.Name
		}
	}
	return &c
}

// QueueFor returns the queue for a request's host name and path, or nil.
func (c *Catalog) QueueFor(host, path string) *Queue {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	return best
}

// CustomerByKey returns the customer to whom a key belongs, and false for an
// unknown key.
func (c *Catalog) CustomerByKey(key string) (id.Customer, bool) {
	name, ok := c.keys[key]
	return name, ok
}
