package relay_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/internal/faultproxy"
	"curlewsill.org/curlewsill/internal/relay"
)

// BenchmarkSilence measures over real sockets, from the moment a link goes
// silent, the time until the dialing side closes it, until a call succeeds
// again, and until both sides are closed. Run it with -benchtime 50x. It
// reports the median and the maximum in milliseconds, and by how many file
// descriptors and goroutines the process has grown.
func BenchmarkSilence(b *testing.B) {
	for name, d := range map[string]faultproxy.Direction{"both": faultproxy.Both, "to-target": faultproxy.ToTarget, "from-target": faultproxy.FromTarget} {
		b.Run("idle/"+name, func(b *testing.B) { measure(b, d, false) })
		b.Run("called/"+name, func(b *testing.B) { measure(b, d, true) })
	}
}

// measure runs b.N rounds in which a link goes silent, each time at another
// offset from its pings.
func measure(b *testing.B, d faultproxy.Direction, called bool) {
	links := relay.NewLinks((&net.Dialer{}).DialContext, zap.NewNop())
	defer links.Close()
	store := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer store.Close()
	peerLinks := relay.NewLinks((&net.Dialer{}).DialContext, zap.NewNop())
	defer peerLinks.Close()
	server := httptest.NewServer(relay.New(store.URL, relay.RouteStore, store.Client(), peerLinks, zap.NewNop()).Handler())
	defer server.Close()
	proxy, err := faultproxy.New(strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = proxy.Close() }()
	transport := relay.New("http://store", relay.RouteStore, http.DefaultClient, links, zap.NewNop())
	var found, repaired, freed []time.Duration
	var goroutines, files int
	for i := range b.N {
		callOnce(b, transport, proxy.Addr())
		if i == 0 {
			goroutines, files = runtime.NumGoroutine(), openFiles(b)
		}
		time.Sleep(time.Duration(i%10) * 100 * time.Millisecond)
		proxy.Silence(d)
		began := time.Now()
		if called {
			callOnce(b, transport, proxy.Addr())
			repaired = append(repaired, time.Since(began))
			waitFor(func() bool { return proxy.OpenCount() == 1 })
			freed = append(freed, time.Since(began))
			continue
		}
		waitFor(func() bool { return links.Open() == 0 })
		found = append(found, time.Since(began))
		waitFor(func() bool { return proxy.OpenCount() == 0 })
		freed = append(freed, time.Since(began))
	}
	callOnce(b, transport, proxy.Addr())
	report(b, "found", found)
	report(b, "repaired", repaired)
	report(b, "freed", freed)
	time.Sleep(time.Second) // closed connections and goroutines are cleaned up
	b.ReportMetric(float64(runtime.NumGoroutine()-goroutines), "goroutines-more")
	b.ReportMetric(float64(openFiles(b)-files), "files-more")
}

// callOnce makes a call through the peer.
func callOnce(b *testing.B, transport *relay.Transport, address string) {
	b.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	status, _, err := transport.CallPeer(ctx, address, relay.Request{Method: http.MethodPost, Path: "/", Timeout: limit})
	if err != nil || status != http.StatusOK {
		b.Fatal(status, err)
	}
}

// waitFor polls until seen reports true.
func waitFor(seen func() bool) {
	for !seen() {
		time.Sleep(time.Millisecond)
	}
}

// report reports the median and the maximum of times.
func report(b *testing.B, name string, times []time.Duration) {
	if len(times) == 0 {
		return
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Milliseconds()), name+"-median-ms")
	b.ReportMetric(float64(times[len(times)-1].Milliseconds()), name+"-worst-ms")
}

// openFiles returns the number of open file descriptors of this process.
func openFiles(b *testing.B) int {
	b.Helper()
	files, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		b.Fatal(err)
	}
	return len(files)
}
