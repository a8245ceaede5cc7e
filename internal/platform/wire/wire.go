// Package wire defines the HTTP interface of the platform: the log, the host list
// and the workers. Clients and stand-ins share it; docs/PLATFORM.md describes it.
package wire

import (
	"curlewsill.org/curlewsill/core/id"
)

// The paths of the platform's services.
const (
	// RecordsPath takes POST of one record, and GET with from, limit and wait_ms.
	RecordsPath = "/v1/records"
	// HostsPath takes GET, and PUT of an Announcement under /v1/hosts/{id}.
	HostsPath = "/v1/hosts"
	// WorkersPath takes POST of a sync under /v1/workers/{id}/sync.
	WorkersPath = "/v1/workers"
)

// Appended answers an append.
type Appended struct {
	Offset id.Offset `json:"offset"`
}

// Records answers a read.
type Records struct {
	// First is the offset of the first record of Records.
	First id.Offset `json:"first"`
	// Head is the offset of the newest record of the log, Oldest that of the
	// oldest one kept.
	Head   id.Offset `json:"head"`
	Oldest id.Offset `json:"oldest"`
	// Records are encoded in base64 by JSON.
	Records [][]byte `json:"records"`
}

// EntryHost is one entry host in the host list.
type EntryHost struct {
	ID id.Host `json:"id"`
	// Peers is the address that the host listens on for other hosts.
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

// Announcement tells the stand-in's host list of a host or of backend servers.
type Announcement struct {
	Entry   *EntryHost `json:"entry,omitempty"`
	Service id.Service `json:"service,omitempty"`
	// Backends replaces the list of the service.
	Backends []Backend `json:"backends,omitempty"`
}
