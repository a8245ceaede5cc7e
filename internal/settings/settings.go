// Package settings reads the settings of an entry host from an INI file.
package settings

import (
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/internal/inifile"
)

// Settings is everything that an entry host learns from outside the log.
type Settings struct {
	// Host and Domain say who and where this process is.
	Host   id.Host
	Domain id.Domain
	// Callers, Operators and Peers are the addresses to listen on. Port 0 lets
	// the system choose.
	Callers, Operators, Peers string
	// LogURL, HostsURL and WorkersURL are the platform's services.
	LogURL, HostsURL, WorkersURL string
	// TokenFile holds the token that operators must show; never empty.
	TokenFile string
	// CertFile and KeyFile turn TLS on if they are set; both or neither.
	CertFile, KeyFile string
	// BodyLimit bounds a request's body and an answer's; Requests bounds how many
	// requests are under way at a time.
	BodyLimit unit.Bytes
	Requests  int
	// MemoryLimit is the soft limit handed to the Go runtime.
	MemoryLimit unit.Bytes
	// StopWait bounds a planned stop.
	StopWait time.Duration
	// LogLevel and LogFormat are for the process's own log.
	LogLevel, LogFormat string
	// TraceURL is where spans go; empty for nowhere. TraceShare is the part of
	// the requests, in percent, for which spans are made without being asked.
	TraceURL   string
	TraceShare int
}

// Bounds and defaults.
const (
	maxBody     = 64 * unit.MiB
	maxRequests = 65536
	maxStopWait = time.Hour
)

// Load reads and checks the file. The error lists every fault.
func Load(name string) (Settings, error) {
	f, err := inifile.Read(name)
	if err != nil {
		return Settings{}, err
	}
	s := read(f)
	return s, f.Err()
}

// Parse is Load for a file's content.
func Parse(name string, data []byte) (Settings, error) {
	f, err := inifile.Parse(name, data)
	if err != nil {
		return Settings{}, err
	}
	s := read(f)
	return s, f.Err()
}

func read(f *inifile.File) Settings {
	host, platform, limits := f.Section("host"), f.Section("platform"), f.Section("limits")
	logs, traces, tls := f.Section("log"), f.Section("traces"), f.Section("tls")
	s := Settings{
		Host:        id.Host(host.Need("id")),
		Domain:      id.Domain(host.Need("domain")),
		Callers:     host.Address("callers", "127.0.0.1:8080"),
		Operators:   host.Address("operators", "127.0.0.1:8081"),
		Peers:       host.Address("peers", "127.0.0.1:8082"),
		TokenFile:   host.Need("token_file"),
		StopWait:    host.Duration("stop_wait", time.Minute, time.Second, maxStopWait),
		LogURL:      platform.URL("log"),
		HostsURL:    platform.URL("hosts"),
		WorkersURL:  platform.URL("workers"),
		BodyLimit:   limits.Size("body", 4*unit.MiB, unit.KiB, maxBody),
		Requests:    limits.Int("requests", 2048, 1, maxRequests),
		MemoryLimit: limits.Size("memory", 256*unit.MiB, 24*unit.MiB, 64*unit.GiB),
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
		tls.Fault("key_file", "cert_file and key_file, both or neither")
	}
	return s
}
