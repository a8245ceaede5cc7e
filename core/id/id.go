// Package id defines a named type for each kind of identifier, so that the
// compiler rejects an id of one kind where another kind is needed. The types have
// no methods.
//
// Other packages of this module define one main type each. The ids share a package
// because a package for each of them would make the module harder to read.
package id

type (
	// Host names an entry host, one process of this system.
	Host string
	// Incarnation distinguishes processes that run under the name of the same
	// host. It is drawn at random when a process starts.
	Incarnation uint64
	// Customer names a customer, one of the tenants that share the accelerators
	// and services.
	Customer string
	// Guarantee names one capacity guarantee of a customer.
	Guarantee string
	// Job names a job. An operator chooses the name; it is never reused.
	Job string
	// Worker names a worker, one machine with accelerators. If a worker can restart
	// under the same name, the id identifies one incarnation of it; package fleet
	// separates the name from the start time.
	Worker string
	// WorkerName names a worker in all its incarnations under that name.
	WorkerName string
	// Machine names a machine of a service for its whole lifetime; each
	// incarnation of the machine is a worker.
	Machine string
	// Wave is the number of a maintenance wave.
	Wave int
	// Rack names a rack of workers.
	Rack string
	// Domain names a failure domain.
	Domain string
	// Queue names a queue of jobs of one kind.
	Queue string
	// Service names a service that backend servers offer.
	Service string
	// Backend identifies a backend server, which executes requests of a service,
	// by its address.
	Backend string
	// Request identifies one request of a caller within one incarnation of a host.
	Request uint64
	// Call names one call of a client in the logs of all hosts. The client chooses
	// the name, or the host that takes the call if the client doesn't.
	Call string
	// Plan identifies a plan. It is a hash of the changes and of the offset of the
	// configuration that they are based on.
	Plan string
	// Lease identifies one request for the tasks of a gang and is never reused: a
	// failed request and the next one for the same job have different leases.
	Lease uint64
	// Offset is a position in the platform's log. The first record has offset 1;
	// 0 is the position before the first record.
	Offset uint64
	// Epoch identifies the term of an owner of scheduling. It is derived from the
	// offset of the record that made the host the owner: a larger epoch always
	// supersedes a smaller one.
	Epoch uint64
	// FenceRevision is the number of times that an owner has raised the fence of its
	// orders to workers.
	FenceRevision uint64
	// Seq is the sequence number of a message or batch of one writer. Numbers start
	// at 1 and are never reused.
	Seq uint64
)

// FenceRevisionBits is the number of bits of a FenceRevision. MaxFenceRevision is
// the largest FenceRevision. Epochs differ by at least 1<<FenceRevisionBits, so
// the sum of an epoch and a FenceRevision is always below the next owner's epoch.
const (
	FenceRevisionBits = 19
	MaxFenceRevision  = 1<<FenceRevisionBits - 1
)
