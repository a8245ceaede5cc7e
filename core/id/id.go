// Package id defines the named types for everything that is referred to by
// name or by number. Two ids of different kinds can't be mixed up by accident,
// and none of them carries any behavior.
//
// The package is an exception to the one-type-a-package rule of this module:
// a package for each id would hide more than it shows.
package id

type (
	// Host names an entry host, one process of the system itself.
	Host string
	// Incarnation tells two lives of the same host apart. It is drawn at random
	// when a process starts.
	Incarnation uint64
	// Customer names a customer that shares the accelerators and the services.
	Customer string
	// Guarantee names one guaranteed shape of a customer.
	Guarantee string
	// Job names a job. An operator chooses it; it is unique for ever.
	Job string
	// Worker names a worker, one machine that holds accelerators. Where a worker may begin again under its name, it
	// names one of its lives; package fleet tells the two apart.
	Worker string
	// WorkerName names a worker over all lives that it begins under that name.
	WorkerName string
	// Machine names a machine of a service for as long as it stands; a worker is one life
	// of it.
	Machine string
	// Wave numbers a wave of maintenance.
	Wave int
	// Rack names a rack of workers.
	Rack string
	// Domain names a failure domain.
	Domain string
	// Queue names a queue of jobs of one kind.
	Queue string
	// Service names a service that backend servers offer.
	Service string
	// Backend names a backend server (an executor of a service) by its address.
	Backend string
	// Request names one request of one caller within the life of one host.
	Request uint64
	// Plan names a plan. It is a hash of the changes and of their basis.
	Plan string
	// Lease names one asking for a gang's tasks, for ever. An asking that came to
	// nothing and the next one for the same job have different leases.
	Lease uint64
	// Offset is a position in the platform's log. The first record has offset 1;
	// 0 stands for "before everything".
	Offset uint64
	// Epoch is the offset of the record that made a host the owner of scheduling.
	// A larger epoch always supersedes a smaller one.
	Epoch uint64
	// Raise counts how often an owner has raised the fence that it shows to workers.
	Raise uint64
	// Seq numbers the batches of one writer, from 1 upwards without reuse.
	Seq uint64
)

// RaiseBits is how many bits a Raise has. Epochs are 1 << RaiseBits apart at least, so that the sum of both is
// below the next owner's epoch; MostRaises is the largest one.
const (
	RaiseBits  = 19
	MostRaises = 1<<RaiseBits - 1
)
