package entry_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strconv"
	"sync"
	"testing"
	"time"

	"curlewsill.org/curlewsill/internal/faultproxy"
)

// storeProxy is the HTTP handler in front of the store. It makes hosts reach
// each other through proxies: it replaces the hosts' addresses in the store's
// answers by those of the proxies.
type storeProxy struct {
	t     *testing.T
	store http.Handler

	mu sync.Mutex
	// on is set once a script has asked for links through proxies.
	on bool
	// proxies holds the proxy before each host, by the host's address.
	proxies map[string]*faultproxy.Proxy
}

// peerAddress matches the address for peers in a host's name in the group.
var peerAddress = regexp.MustCompile(`@127\.0\.0\.1:\d+@`)

// ServeHTTP implements http.Handler.
func (sp *storeProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	sp.mu.Lock()
	on := sp.on
	sp.mu.Unlock()
	if !on || r.Method != http.MethodGet {
		sp.store.ServeHTTP(w, r)
		return
	}
	rec := httptest.NewRecorder()
	sp.store.ServeHTTP(rec, r)
	body := peerAddress.ReplaceAllFunc(rec.Body.Bytes(), func(at []byte) []byte {
		return []byte("@" + sp.proxy(string(at[1:len(at)-1])) + "@")
	})
	for k, v := range rec.Header() {
		w.Header()[k] = v
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(rec.Code)
	_, _ = w.Write(body)
}

// proxy returns the address of the proxy in front of the host that listens at
// target. It starts the proxy when it is first asked for.
func (sp *storeProxy) proxy(target string) string {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	p := sp.proxies[target]
	if p == nil {
		var err error
		if p, err = faultproxy.New(target); err != nil {
			sp.t.Error(err)
			return target
		}
		sp.t.Cleanup(func() { _ = p.Close() })
		sp.proxies[target] = p
	}
	return p.Addr()
}

// doNetwork executes a command about proxies, silent connections or time.
func (s *site) doNetwork(f []string) {
	switch f[0] {
	case "proxied":
		s.proxied()
	case "rest":
		s.rest(f[1])
	case "links":
		s.storeProxy.mu.Lock()
		s.storeProxy.on = true
		s.storeProxy.mu.Unlock()
	case "silence":
		if f[1] == "links" {
			s.silenceLinks(silenceDirections[f[2]])
			return
		}
		s.silence(f[1], silenceDirections[f[2]])
	case "unknown":
		if got := int(s.unknown.Load()); got != s.number(f[1]) {
			s.failf("%d calls ended with an unknown outcome", got)
		}
	case "half":
		s.sendHalfCall(s.number(f[1]), f[2])
	case "letgo":
		s.awaitHalfCallClosed(f[1])
	}
}

// proxiedLease is the longest lease of a worker behind a proxy, as on the
// users' platform.
const proxiedLease = 6 * time.Second

// proxied puts a proxy before the store, and before each worker that starts
// later.
func (s *site) proxied() {
	s.lease = proxiedLease
	s.proxies = map[string][]*faultproxy.Proxy{}
	s.address = s.proxyFor("store", s.address)
}

// proxyFor returns the address of a new proxy in front of address, or address
// itself if the script uses no proxies.
func (s *site) proxyFor(kind, address string) string {
	if s.proxies == nil {
		return address
	}
	p, err := faultproxy.New(address)
	if err != nil {
		s.t.Error(err)
		return address
	}
	s.t.Cleanup(func() { _ = p.Close() })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.proxies[kind] = append(s.proxies[kind], p)
	return p.Addr()
}

// silenceDirections are the directions in which a connection can go silent, by
// their names in scripts.
var silenceDirections = map[string]faultproxy.Direction{
	"to-target": faultproxy.ToTarget, "from-target": faultproxy.FromTarget, "both": faultproxy.Both,
}

// silence makes the open connections to the store, to the workers or, for the
// kind "all", to both drop their data in a direction without being closed.
func (s *site) silence(kind string, d faultproxy.Direction) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, proxies := range s.proxies {
		for _, p := range proxies {
			if kind == "all" || kind == k {
				p.Silence(d)
			}
		}
	}
}

// silenceLinks makes all open links between hosts drop their data in a
// direction without being closed, and resets the count of unknown outcomes. It
// fails the test if no link is open.
func (s *site) silenceLinks(d faultproxy.Direction) {
	sp := s.storeProxy
	sp.mu.Lock()
	defer sp.mu.Unlock()
	open := 0
	for _, p := range sp.proxies {
		open += p.OpenCount()
		p.Silence(d)
	}
	if open == 0 {
		s.failf("no link is open")
	}
	s.unknown.Store(0)
}

// rest waits for a duration.
func (s *site) rest(text string) {
	d, err := time.ParseDuration(text)
	if err != nil {
		s.t.Fatalf("line %d: %v", s.line, err)
	}
	time.Sleep(d)
}

// sendHalfCall sends a call to a host, but stops in the middle of the body.
func (s *site) sendHalfCall(host int, job string) {
	c, err := net.Dial("tcp", s.hosts[host].Callers())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, "POST /q/"+job+" HTTP/1.1\r\nHost: jobs.example\r\nAuthorization: Bearer "+s.key+
		"\r\nDeadline-Ms: 500\r\nContent-Length: 100\r\n\r\n{")
	if err != nil {
		s.t.Fatal(err)
	}
	s.halfConn = c
}

// awaitHalfCallClosed waits until the host has answered the incomplete call of
// sendHalfCall and has closed the call's connection.
func (s *site) awaitHalfCallClosed(status string) {
	if err := s.halfConn.SetReadDeadline(time.Now().Add(deadline)); err != nil {
		s.t.Fatal(err)
	}
	r := bufio.NewReader(s.halfConn)
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		s.failf("the half call got no answer: %v", err)
		return
	}
	s.wantStatus(status, resp.StatusCode)
	_, _ = io.Copy(io.Discard, resp.Body)
	if _, err := r.ReadByte(); err == nil || isTimeout(err) {
		s.failf("the host did not close the connection of the half call: %v", err)
	}
}

func isTimeout(err error) bool {
	ne, ok := err.(net.Error)
	return ok && ne.Timeout()
}
