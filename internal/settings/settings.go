// Package settings reads the settings of an entry host from an INI file.
package settings

import (
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/internal/inifile"
)

// Settings holds the configuration of an entry host that doesn't come from the log.
type Settings struct {
	// Host is the name of this process and Domain its failure domain.
	Host   id.Host
	Domain id.Domain
	// Callers, Operators and Peers are the addresses to listen on. Port 0 lets
	// the operating system choose a free port.
	Callers, Operators, Peers string
	// LogURL, HostsURL and WorkersURL are the base URLs of the platform's services.
	LogURL, HostsURL, WorkersURL string
	// TokenFile is the file with the operators' bearer token. It is required.
	TokenFile string
	// CertFile and KeyFile enable TLS. Either both are set or neither.
	CertFile, KeyFile string
	// BodyLimit is the maximum size of a request body and of a response body.
	// Requests is the maximum number of requests in flight.
	BodyLimit unit.Bytes
	Requests  int
	// Clients are the limits for all callers together.
	Clients Clients
	// MemoryLimit is the memory that the process may use.
	MemoryLimit unit.Bytes
	// StopWait is how long a planned stop waits, after the last response, for the
	// callers' connections to close and for the last spans to be exported.
	StopWait time.Duration
	// LogLevel and LogFormat configure the log lines that the process writes.
	LogLevel, LogFormat string
	// TraceURL is the endpoint to which spans are exported. If it is empty, no
	// spans are exported. TraceShare is the percentage of requests without a
	// trace context of their own that are sampled.
	TraceURL   string
	TraceShare int
}

// Upper bounds of the settings.
const (
	maxBody     = 64 * unit.MiB
	maxRequests = 65536
	maxStopWait = time.Hour
)

// Load reads and validates the file. The error lists every fault.
func Load(name string) (Settings, error) {
	f, err := inifile.Read(name)
	if err != nil {
		return Settings{}, err
	}
	s := readSettings(f)
	return s, f.Err()
}

// Parse is like Load, for the content of a file. Errors refer to the file as name.
func Parse(name string, data []byte) (Settings, error) {
	f, err := inifile.Parse(name, data)
	if err != nil {
		return Settings{}, err
	}
	s := readSettings(f)
	return s, f.Err()
}

func readSettings(f *inifile.File) Settings {
	host, platform, limits := f.Section("host"), f.Section("platform"), f.Section("limits")
	logs, traces, tls := f.Section("log"), f.Section("traces"), f.Section("tls")
	memory := limits.Size("memory", 256*unit.MiB, 24*unit.MiB, 64*unit.GiB)
	s := Settings{
		Host:        id.Host(host.Required("id")),
		Domain:      id.Domain(host.Required("domain")),
		Callers:     host.Address("callers", "127.0.0.1:8080"),
		Operators:   host.Address("operators", "127.0.0.1:8081"),
		Peers:       host.Address("peers", "127.0.0.1:8082"),
		TokenFile:   host.Required("token_file"),
		StopWait:    host.Duration("stop_wait", time.Minute, time.Second, maxStopWait),
		LogURL:      platform.URL("log"),
		HostsURL:    platform.URL("hosts"),
		WorkersURL:  platform.URL("workers"),
		BodyLimit:   limits.Size("body", 4*unit.MiB, unit.KiB, maxBody),
		Requests:    limits.Int("requests", 2048, 1, maxRequests),
		MemoryLimit: memory,
		Clients:     readClients(limits, EdgeClients(memory)),
		LogLevel:    logs.OneOf("level", "info", "debug", "warn", "error"),
		LogFormat:   logs.OneOf("format", "json", "console"),
		TraceURL:    traces.Text("url", ""),
		TraceShare:  traces.Int("share_percent", 1, 0, 100),
		CertFile:    tls.Text("cert_file", ""),
		KeyFile:     tls.Text("key_file", ""),
	}
	if s.TraceURL != "" {
		traces.URL("url")
	}
	if (s.CertFile == "") != (s.KeyFile == "") {
		tls.Reject("key_file", "cert_file and key_file, both or neither")
	}
	return s
}
