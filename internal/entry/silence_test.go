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

// between stands before the store and makes hosts reach each other through proxies: it puts these
// into the store's answers in place of where the hosts listen.
type between struct {
	t     *testing.T
	store http.Handler

	mu sync.Mutex
	// on is set once a script wants proxies.
	on bool
	// proxies leads from where a host listens to the proxy before it.
	proxies map[string]*faultproxy.Proxy
}

// listening finds where a host listens in its name as a member of the group.
var listening = regexp.MustCompile(`@127\.0\.0\.1:\d+@`)

// ServeHTTP implements http.Handler.
func (b *between) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	on := b.on
	b.mu.Unlock()
	if !on || r.Method != http.MethodGet {
		b.store.ServeHTTP(w, r)
		return
	}
	rec := httptest.NewRecorder()
	b.store.ServeHTTP(rec, r)
	body := listening.ReplaceAllFunc(rec.Body.Bytes(), func(at []byte) []byte {
		return []byte("@" + b.proxy(string(at[1:len(at)-1])) + "@")
	})
	for k, v := range rec.Header() {
		w.Header()[k] = v
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(rec.Code)
	_, _ = w.Write(body)
}

// proxy returns where the proxy before a host listens.
func (b *between) proxy(target string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.proxies[target]
	if p == nil {
		var err error
		if p, err = faultproxy.New(target); err != nil {
			b.t.Error(err)
			return target
		}
		b.t.Cleanup(func() { _ = p.Close() })
		b.proxies[target] = p
	}
	return p.Addr()
}

// doSilent carries out a command about connections that go silent.
func (s *site) doSilent(f []string) {
	switch f[0] {
	case "proxied":
		s.proxied()
	case "rest":
		s.rest(f[1])
	case "links":
		s.between.mu.Lock()
		s.between.on = true
		s.between.mu.Unlock()
	case "silence":
		if f[1] == "links" {
			s.silenceLinks(silences[f[2]])
			return
		}
		s.silence(f[1], silences[f[2]])
	case "unknown":
		if got := int(s.unknown.Load()); got != s.number(f[1]) {
			s.failf("%d calls ended unknown", got)
		}
	case "half":
		s.halfCall(s.number(f[1]), f[2])
	case "letgo":
		s.letGo(f[1])
	}
}

// proxiedLease is the longest lease behind proxies, as on the users' platform.
const proxiedLease = 6 * time.Second

// proxied puts a proxy before the store, and from now on before workers.
func (s *site) proxied() {
	s.lease = proxiedLease
	s.proxies = map[string][]*faultproxy.Proxy{}
	s.address = s.through("store", s.address)
}

// through returns the address of a proxy before an address, or that itself if there are no proxies.
func (s *site) through(kind, address string) string {
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

// silences are the directions that connections can go silent in.
var silences = map[string]faultproxy.Direction{
	"to-target": faultproxy.ToTarget, "from-target": faultproxy.FromTarget, "both": faultproxy.Both,
}

// silence makes the open connections to the store, the workers or all silent.
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

// silenceLinks makes all open links between hosts silent. It fails if there is none.
func (s *site) silenceLinks(d faultproxy.Direction) {
	b := s.between
	b.mu.Lock()
	defer b.mu.Unlock()
	open := 0
	for _, p := range b.proxies {
		open += p.Open()
		p.Silence(d)
	}
	if open == 0 {
		s.failf("no link is open")
	}
	s.unknown.Store(0)
}

// rest lets time pass.
func (s *site) rest(text string) {
	d, err := time.ParseDuration(text)
	if err != nil {
		s.t.Fatalf("line %d: %v", s.line, err)
	}
	time.Sleep(d)
}

// halfCall makes a client go silent in the middle of a call's body.
func (s *site) halfCall(host int, job string) {
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
	s.half = c
}

// letGo waits until the host has answered the half call and closed its connection.
func (s *site) letGo(status string) {
	if err := s.half.SetReadDeadline(time.Now().Add(deadline)); err != nil {
		s.t.Fatal(err)
	}
	r := bufio.NewReader(s.half)
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		s.failf("no answer: %v", err)
		return
	}
	s.want(status, resp.StatusCode)
	_, _ = io.Copy(io.Discard, resp.Body)
	if _, err := r.ReadByte(); err == nil || isTimeout(err) {
		s.failf("the connection is not closed: %v", err)
	}
}

func isTimeout(err error) bool {
	ne, ok := err.(net.Error)
	return ok && ne.Timeout()
}
