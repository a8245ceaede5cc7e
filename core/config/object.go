package config

import (
	"time"

	"curlewsill.org/curlewsill/core/block"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
)

// Customer is a tenant that holds guarantees and sends requests and jobs.
type Customer struct {
	ID id.Customer `cbor:"1,keyasint" json:"id"`
	// Weight determines the customer's share of the capacity that no guarantee
	// covers; at least 1.
	Weight int `cbor:"2,keyasint" json:"weight"`
	// Quota is the largest number of accelerators that the customer's jobs may
	// hold at one time; 0 means no limit.
	Quota int `cbor:"3,keyasint,omitempty" json:"quota,omitempty"`
}

// Guarantee is a number of blocks of adjacent accelerators, all of the same size,
// that a customer can use at any time.
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
	// Cores and Memory are the amounts that tasks may use on the worker.
	Cores  int        `cbor:"3,keyasint" json:"cores"`
	Memory unit.Bytes `cbor:"4,keyasint" json:"memory"`
	// Drained excludes the worker from new placements; running tasks stay.
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

// WorkerBlock returns the block of accelerators of the worker at index i.
func (r Rack) WorkerBlock(i int) block.Block {
	start := 0
	for _, w := range r.Workers[:i] {
		start += w.Accelerators
	}
	return block.Block{Rack: r.ID, Start: start, Size: r.Workers[i].Accelerators}
}

// Service is a set of interchangeable backend servers.
type Service struct {
	ID id.Service `cbor:"1,keyasint" json:"id"`
	// Slots is the number of requests that one backend server processes at a time.
	Slots int `cbor:"2,keyasint" json:"slots"`
	// Connections is the number of connections that one backend server accepts
	// from all hosts together.
	Connections int `cbor:"3,keyasint" json:"connections"`
	// Timeout is the largest time from the arrival of a request to its answer.
	Timeout time.Duration `cbor:"4,keyasint" json:"timeout"`
	// Drained lists the backend servers that must receive no new requests.
	Drained []id.Backend `cbor:"5,keyasint,omitempty" json:"drained,omitempty"`
}
