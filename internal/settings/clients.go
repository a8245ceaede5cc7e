package settings

import (
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/internal/inifile"
)

// Clients are the limits for all clients of a listener together.
type Clients struct {
	// Connections is the greatest number of open connections of clients.
	Connections int
	// Memory is the memory for heads, bodies and answers.
	Memory unit.Bytes
	// Header is the greatest size of a request's head.
	Header unit.Bytes
}

const (
	// connectionMemory is the memory of the process that a connection takes beside
	// what it sends: its goroutines and its reader and writer.
	connectionMemory = 24 * unit.KiB
	// siteConnectionShare and siteMemoryShare are the parts of a site's memory, as
	// divisors, for connections of clients and for what they send. What remains is
	// for the tables of jobs, the reports of workers, the buffers of the kernel and
	// garbage.
	siteConnectionShare, siteMemoryShare = 8, 6
	// edgeConnectionShare and edgeMemoryShare are the same for the edge, which holds
	// bodies and answers while backend servers work on them.
	edgeConnectionShare, edgeMemoryShare = 5, 5
	// descriptorShare is the part of the descriptors for connections of clients, as
	// a divisor. Half of them are for workers.
	descriptorShare = 4
	// minClientConnections leaves a few connections to the smallest process.
	minClientConnections = 32

	defaultHeader = 32 * unit.KiB
	// minHeader is the size of a head with a few fields.
	minHeader, maxHeader = unit.KiB, unit.MiB
	minClientMemory      = unit.MiB
	maxConnections       = 1 << 20
)

// SiteClients returns the default limits for a site's memory and descriptors.
func SiteClients(memory unit.Bytes, descriptors int) Clients {
	return Clients{
		Connections: max(minClientConnections, min(descriptors/descriptorShare, int(memory/siteConnectionShare/connectionMemory))),
		Memory:      memory / siteMemoryShare,
		Header:      defaultHeader,
	}
}

// EdgeClients returns the default limits for the memory of the edge.
func EdgeClients(memory unit.Bytes) Clients {
	return Clients{
		Connections: max(minClientConnections, int(memory/edgeConnectionShare/connectionMemory)),
		Memory:      memory / edgeMemoryShare,
		Header:      defaultHeader,
	}
}

// readClients reads the limits for clients.
func readClients(limits *inifile.Section, def Clients) Clients {
	return Clients{
		Connections: limits.Int("connections", def.Connections, 1, maxConnections),
		Memory:      limits.Size("client_memory", def.Memory, minClientMemory, 64*unit.GiB),
		Header:      limits.Size("header", def.Header, minHeader, maxHeader),
	}
}
