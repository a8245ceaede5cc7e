// Package wire defines the HTTP interface of the platform: the log, the host
// list and the workers. Clients and stand-ins use it; docs/PLATFORM.md describes
// it.
package wire

import (
	"curlewsill.org/curlewsill/core/id"
)

// The paths of the platform's services.
const (
	// RecordsPath accepts POST with one record as the body, and GET with the
	// query parameters from, limit and wait_ms.
	RecordsPath = "/v1/records"
	// HostsPath accepts GET, and PUT with an Announcement under /v1/hosts/{id}.
	HostsPath = "/v1/hosts"
	// WorkersPath accepts POST with a sync under /v1/workers/{id}/sync.
	WorkersPath = "/v1/workers"
)

// Appended is the answer to an append.
type Appended struct {
	Offset id.Offset `json:"offset"`
}

// Records is the answer to a read.
type Records struct {
	// First is the offset of the first record of Records.
	First id.Offset `json:"first"`
	// Head is the offset of the newest record of the log, and Oldest the offset
	// of the oldest record that the log still has.
	Head   id.Offset `json:"head"`
	Oldest id.Offset `json:"oldest"`
	// Records holds the records, which JSON encodes in base64.
	Records [][]byte `json:"records"`
}

// EntryHost is one entry host in the host list.
type EntryHost struct {
	ID id.Host `json:"id"`
	// Peers is the address at which the host listens for connections of other
	// hosts.
	Peers string `json:"peers"`
}

// Backend is one backend server in the host list.
type Backend struct {
	ID      id.Backend `json:"id"`
	Leaving bool       `json:"leaving,omitempty"`
}

// Hosts is the host list.
type Hosts struct {
	Entry    []EntryHost              `json:"entry"`
	Services map[id.Service][]Backend `json:"services"`
}

// Announcement registers a host or the backend servers of a service in the
// stand-in's host list.
type Announcement struct {
	Entry   *EntryHost `json:"entry,omitempty"`
	Service id.Service `json:"service,omitempty"`
	// Backends replaces the service's previous list of backend servers.
	Backends []Backend `json:"backends,omitempty"`
}
