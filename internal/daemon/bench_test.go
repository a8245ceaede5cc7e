package daemon_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/config"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/internal/client"
	"curlewsill.org/curlewsill/internal/daemon"
	"curlewsill.org/curlewsill/internal/edge"
	"curlewsill.org/curlewsill/internal/platform/hosts"
	"curlewsill.org/curlewsill/internal/platform/wire"
	"curlewsill.org/curlewsill/internal/settings"
	"curlewsill.org/curlewsill/internal/standin/backendsvc"
	"curlewsill.org/curlewsill/internal/standin/logsvc"
	"curlewsill.org/curlewsill/internal/standin/workersvc"
)

// startOne starts the platform's stand-ins and one entry host with one service, and
// returns the service's URL at the entry host and a backend server's URL.
func startOne(tb testing.TB) (host, backend string) {
	ctx, cancel := context.WithCancel(context.Background())
	tb.Cleanup(cancel)
	platform := httptest.NewServer(logsvc.New(10_000, 0))
	tb.Cleanup(platform.Close)
	workers := httptest.NewServer(workersvc.New())
	tb.Cleanup(workers.Close)
	b, err := backendsvc.New(4, 1000, 0)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(b.Close)
	a := wire.Announcement{Service: "svc"}
	for _, addr := range b.Addresses() {
		a.Backends = append(a.Backends, wire.Backend{ID: id.Backend(addr)})
	}
	if err := hosts.New(platform.URL, http.DefaultClient).Announce(ctx, "svc", a); err != nil {
		tb.Fatal(err)
	}
	token := filepath.Join(tb.TempDir(), "token")
	if err := os.WriteFile(token, []byte("t"), 0o600); err != nil {
		tb.Fatal(err)
	}
	d, err := daemon.New(ctx, settings.Settings{
		Host: "h", Domain: "d", Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: "127.0.0.1:0",
		LogURL: platform.URL, HostsURL: platform.URL, WorkersURL: workers.URL, TokenFile: token,
		BodyLimit: unit.MiB, Requests: 4096, MemoryLimit: unit.GiB, Clients: settings.EdgeClients(unit.GiB), StopWait: time.Minute,
	}, zap.NewNop())
	if err != nil {
		tb.Fatal(err)
	}
	go func() { _ = d.Run(ctx) }()
	c := client.New("http://"+d.Operators(), "t")
	for {
		p, err := c.Plan(ctx, []config.Change{
			{SetCustomer: &config.Customer{ID: "c", Weight: 1}},
			{SetService: &config.Service{ID: "svc", Slots: 1000, Connections: 60000, Timeout: time.Minute}},
		})
		if err == nil {
			if _, err = c.Confirm(ctx, p); err == nil {
				break
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	for {
		v, err := c.Status(ctx)
		if err == nil && v.State == "ready" && v.ConfigAt > 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	return "http://" + d.Callers() + edge.ServicePathPrefix + "svc/x", "http://" + b.Addresses()[0] + "/x"
}

func call(tb testing.TB, c *http.Client, url string, body []byte) {
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		tb.Fatal(err)
	}
	req.Header.Set(edge.CustomerHeader, "c")
	resp, err := c.Do(req)
	if err != nil {
		tb.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if got, err := io.ReadAll(resp.Body); err != nil || !bytes.Equal(got, body) {
		tb.Fatalf("%s: status %s, body %q, error %v", url, resp.Status, got, err)
	}
}

// BenchmarkPath compares requests sent directly to a backend server with requests
// through an entry host, one at a time and many concurrently.
func BenchmarkPath(b *testing.B) {
	host, backend := startOne(b)
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	body := bytes.Repeat([]byte("x"), 256)
	for _, p := range []struct{ name, url string }{{"direct", backend}, {"host", host}} {
		b.Run(p.name+"/one", func(b *testing.B) {
			for b.Loop() {
				call(b, c, p.url, body)
			}
		})
		b.Run(p.name+"/many", func(b *testing.B) {
			b.SetParallelism(8)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					call(b, c, p.url, body)
				}
			})
		})
	}
}
