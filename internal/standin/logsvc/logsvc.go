// Package logsvc is a stand-in of the platform's log service and host list, for
// trials and tests. It keeps everything in memory and can be told to fail.
package logsvc

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/kataras/iris/v12"
	"golang.org/x/time/rate"

	"curlewsill.org/curlewsill/core/config"
	"curlewsill.org/curlewsill/core/fake/log"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/record"
	"curlewsill.org/curlewsill/internal/platform/wire"
)

// FaultsPath takes PUT of Faults.
const FaultsPath = "/v1/faults"

const (
	// appendRate and appendBurst are what the platform's log takes, per second.
	appendRate  = 100
	appendBurst = 20
	maxWait     = 30 * time.Second
	// hostExpiry is how long an entry host stays listed without an announcement.
	hostExpiry = 10 * time.Second
)

// Mode is how the service misbehaves.
type Mode string

// The modes.
const (
	// Fine answers everything.
	Fine Mode = ""
	// Refuse answers every call with an error, and does nothing.
	Refuse Mode = "refuse"
	// Hang lets every call wait until the caller gives up.
	Hang Mode = "hang"
	// Lose appends, and answers that it failed.
	Lose Mode = "lose"
)

// Faults is what the service is told to do wrong.
type Faults struct {
	Mode Mode `json:"mode"`
	// Delay is added to every call.
	Delay time.Duration `json:"delay"`
	// Keep, if above 0, drops all but so many of the newest records now.
	Keep int `json:"keep"`
}

// Service is the handler of the stand-in.
type Service struct {
	app   *iris.Application
	limit *rate.Limiter
	lag   time.Duration

	mu     sync.Mutex
	log    *log.Log
	news   chan struct{}
	faults Faults
	hosts  map[string]listed
	// calls counts the appends that took effect.
	appends int
}

type listed struct {
	wire.Announcement
	since, until time.Time
}

// New returns a service that keeps so many records. Its host list shows what it is
// told only after lag.
func New(keep int, lag time.Duration) *Service {
	s := &Service{
		app: iris.New(), limit: rate.NewLimiter(appendRate, appendBurst), lag: lag,
		log: log.New(keep), news: make(chan struct{}), hosts: map[string]listed{},
	}
	s.app.Logger().SetLevel("disable")
	s.app.Post(wire.RecordsPath, iris.FromStd(s.faulty(s.append)))
	s.app.Get(wire.RecordsPath, iris.FromStd(s.faulty(s.read)))
	s.app.Get(wire.HostsPath, iris.FromStd(s.list))
	s.app.Put(wire.HostsPath+"/{name}", s.announce)
	s.app.Put(FaultsPath, iris.FromStd(s.setFaults))
	if err := s.app.Build(); err != nil {
		panic(fmt.Sprintf("logsvc: fixed routes are invalid: %v", err))
	}
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.app.ServeHTTP(w, r) }

// Appends returns how many appends took effect.
func (s *Service) Appends() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends
}

// SetFaults makes the service misbehave from now on.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.Keep > 0 && s.log.Head() > id.Offset(f.Keep) {
		s.log.Forget(s.log.Head() - id.Offset(f.Keep) + 1)
	}
}

func (s *Service) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

// faulty applies the faults that concern every call.
func (s *Service) faulty(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.faults
		s.mu.Unlock()
		pause(r.Context(), f.Delay)
		switch f.Mode {
		case Refuse:
			http.Error(w, "outage", http.StatusServiceUnavailable)
		case Hang:
			<-r.Context().Done()
		default:
			next(w, r)
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (s *Service) append(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(record.MaxSize)))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	if err := s.limit.Wait(r.Context()); err != nil {
		http.Error(w, err.Error(), http.StatusTooManyRequests)
		return
	}
	s.mu.Lock()
	off := s.log.Append(raw)
	s.appends++
	close(s.news)
	s.news = make(chan struct{})
	lose := s.faults.Mode == Lose
	s.mu.Unlock()
	if lose {
		http.Error(w, "the answer was lost", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, wire.Appended{Offset: off})
}

func (s *Service) read(w http.ResponseWriter, r *http.Request) {
	from := id.Offset(number(r, "from", 1))
	limit := int(min(number(r, "limit", 128), 1024))
	wait := min(time.Duration(number(r, "wait_ms", 0))*time.Millisecond, maxWait)
	t := time.NewTimer(wait)
	defer t.Stop()
	for expired := false; ; {
		out, news := s.peek(from, limit)
		if len(out.Records) > 0 || expired {
			writeJSON(w, out)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-t.C:
			expired = true
		case <-news:
		}
	}
}

func (s *Service) peek(from id.Offset, limit int) (wire.Records, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first, raw := s.log.Read(from, limit)
	return wire.Records{First: first, Head: s.log.Head(), Oldest: s.log.Oldest(), Records: raw}, s.news
}

func number(r *http.Request, key string, def uint64) uint64 {
	n, err := strconv.ParseUint(r.URL.Query().Get(key), 10, 63)
	if err != nil {
		return def
	}
	return n
}

func (s *Service) announce(c iris.Context) {
	var a wire.Announcement
	if err := c.ReadJSON(&a); err != nil {
		c.StopWithError(http.StatusBadRequest, err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	name := c.Params().Get("name")
	l := listed{Announcement: a, since: time.Now().Add(s.lag), until: time.Now().Add(hostExpiry)}
	if old, ok := s.hosts[name]; ok && a.Entry != nil {
		l.since = old.since
	}
	s.hosts[name] = l
}

func (s *Service) list(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	out := wire.Hosts{Services: map[id.Service][]wire.Backend{}}
	for _, name := range config.Sorted(s.hosts) {
		l := s.hosts[name]
		switch {
		case now.Before(l.since):
		case l.Entry != nil && now.Before(l.until):
			out.Entry = append(out.Entry, *l.Entry)
		case l.Entry == nil:
			out.Services[l.Service] = l.Backends
		}
	}
	writeJSON(w, out)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
