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
	case "links":
		s.between.mu.Lock()
		s.between.on = true
		s.between.mu.Unlock()
	case "silence":
		s.silence(f[1])
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

// silence makes all open links between hosts carry nothing more. It fails if there is none.
func (s *site) silence(d string) {
	b := s.between
	b.mu.Lock()
	defer b.mu.Unlock()
	open := 0
	for _, p := range b.proxies {
		open += p.Open()
		p.Silence(map[string]faultproxy.Direction{"to-target": faultproxy.ToTarget, "from-target": faultproxy.FromTarget, "both": faultproxy.Both}[d])
	}
	if open == 0 {
		s.failf("no link is open")
	}
	s.unknown.Store(0)
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
