package config

import (
	"time"

	"curlewsill.org/curlewsill/core/block"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
)

// Customer is a holder of guarantees and a sender of requests and jobs.
type Customer struct {
	ID id.Customer `cbor:"1,keyasint" json:"id"`
	// Weight is the customer's share of what nobody holds a guarantee for;
	// at least 1.
	Weight int `cbor:"2,keyasint" json:"weight"`
	// Quota is the largest number of accelerators that the customer's jobs may
	// hold at one time; 0 means no limit.
	Quota int `cbor:"3,keyasint,omitempty" json:"quota,omitempty"`
}

// Guarantee is a set of equal blocks of adjacent accelerators that a customer can
// always have.
type Guarantee struct {
	ID id.Guarantee `cbor:"1,keyasint" json:"id"`
	// Customer must exist in the same configuration.
	Customer id.Customer `cbor:"2,keyasint" json:"customer"`
	// Size is the number of adjacent accelerators of each block,
	// 1 <= Size <= block.MaxSize.
	Size int `cbor:"3,keyasint" json:"size"`
	// Count is the number of blocks; at least 1.
	Count int `cbor:"4,keyasint" json:"count"`
}

// Worker is one machine of a rack.
type Worker struct {
	ID id.Worker `cbor:"1,keyasint" json:"id"`
	// Accelerators is at least 1; the accelerators of a rack add up to at most
	// block.MaxSize.
	Accelerators int `cbor:"2,keyasint" json:"accelerators"`
	// Cores and Memory are what tasks may use of the worker.
	Cores  int        `cbor:"3,keyasint" json:"cores"`
	Memory unit.Bytes `cbor:"4,keyasint" json:"memory"`
	// Drained keeps new tasks off the worker; running ones stay.
	Drained bool `cbor:"5,keyasint,omitempty" json:"drained,omitempty"`
}

// Rack is a row of workers whose accelerators are adjacent in the order listed.
type Rack struct {
	ID     id.Rack   `cbor:"1,keyasint" json:"id"`
	Domain id.Domain `cbor:"2,keyasint" json:"domain"`
	// Workers is never empty; a worker belongs to exactly one rack.
	Workers []Worker `cbor:"3,keyasint" json:"workers"`
}

// Accelerators returns the number of accelerators of the rack.
func (r Rack) Accelerators() int {
	n := 0
	for _, w := range r.Workers {
		n += w.Accelerators
	}
	return n
}

// Span returns the accelerators of r's i-th worker as a block.
func (r Rack) Span(i int) block.Block {
	start := 0
	for _, w := range r.Workers[:i] {
		start += w.Accelerators
	}
	return block.Block{Rack: r.ID, Start: start, Size: r.Workers[i].Accelerators}
}

// Service is a set of interchangeable backend servers.
type Service struct {
	ID id.Service `cbor:"1,keyasint" json:"id"`
	// Slots is the number of requests that one backend server runs at a time.
	Slots int `cbor:"2,keyasint" json:"slots"`
	// Connections is what one backend server accepts from all hosts together.
	Connections int `cbor:"3,keyasint" json:"connections"`
	// Timeout bounds a request from its arrival to its answer.
	Timeout time.Duration `cbor:"4,keyasint" json:"timeout"`
	// Drained lists backend servers that must get nothing new.
	Drained []id.Backend `cbor:"5,keyasint,omitempty" json:"drained,omitempty"`
}
