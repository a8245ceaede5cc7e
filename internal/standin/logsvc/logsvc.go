// Package logsvc is a stand-in of the platform's log service and host list, for
// trials and tests. It keeps everything in memory and can be made to fail.
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

// FaultsPath accepts PUT of Faults.
const FaultsPath = "/v1/faults"

const (
	// appendRate limits the appends per second, and appendBurst those at the same
	// time, as the platform's log does.
	appendRate  = 100
	appendBurst = 20
	maxWait     = 30 * time.Second
	// hostExpiry is how long an entry host stays listed after its last
	// announcement.
	hostExpiry = 10 * time.Second
)

// Mode is a way in which the service misbehaves.
type Mode string

// The modes.
const (
	// NoFault answers every call.
	NoFault Mode = ""
	// Refuse answers every call with an error and does nothing.
	Refuse Mode = "refuse"
	// Hang never answers: each call ends when the caller gives up.
	Hang Mode = "hang"
	// Lose appends the record but answers that the append failed.
	Lose Mode = "lose"
)

// Faults sets how the service misbehaves.
type Faults struct {
	Mode Mode `json:"mode"`
	// Delay is added to every call.
	Delay time.Duration `json:"delay"`
	// Keep, if above 0, drops all but that many of the newest records immediately.
	Keep int `json:"keep"`
}

// Service is the handler of the stand-in.
type Service struct {
	app   *iris.Application
	limit *rate.Limiter
	lag   time.Duration

	mu       sync.Mutex
	log      *log.Log
	appended chan struct{}
	faults   Faults
	hosts    map[string]listing
	// appends counts the appends that took effect.
	appends int
}

// listing is an announcement in the host list, and the times from and until
// which the list shows it.
type listing struct {
	wire.Announcement
	visibleAt, expiresAt time.Time
}

// New returns a service that keeps the given number of records. Its host list
// shows an announcement only after lag.
func New(keep int, lag time.Duration) *Service {
	s := &Service{
		app: iris.New(), limit: rate.NewLimiter(appendRate, appendBurst), lag: lag,
		log: log.New(keep), appended: make(chan struct{}), hosts: map[string]listing{},
	}
	s.app.Logger().SetLevel("disable")
	s.app.Post(wire.RecordsPath, iris.FromStd(s.withFaults(s.append)))
	s.app.Get(wire.RecordsPath, iris.FromStd(s.withFaults(s.read)))
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

// SetFaults sets how the service misbehaves from now on.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.Keep > 0 && s.log.Head() > id.Offset(f.Keep) {
		s.log.DropBefore(s.log.Head() - id.Offset(f.Keep) + 1)
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

// withFaults applies the faults that affect every call to a handler.
func (s *Service) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.faults
		s.mu.Unlock()
		sleep(r.Context(), f.Delay)
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

// sleep waits for a duration or until the context is done.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
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
	close(s.appended)
	s.appended = make(chan struct{})
	loseAnswer := s.faults.Mode == Lose
	s.mu.Unlock()
	if loseAnswer {
		http.Error(w, "the answer was lost", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, wire.Appended{Offset: off})
}

func (s *Service) read(w http.ResponseWriter, r *http.Request) {
	from := id.Offset(queryNumber(r, "from", 1))
	limit := int(min(queryNumber(r, "limit", 128), 1024))
	wait := min(time.Duration(queryNumber(r, "wait_ms", 0))*time.Millisecond, maxWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for expired := false; ; {
		batch, appended := s.readNow(from, limit)
		if len(batch.Records) > 0 || expired {
			writeJSON(w, batch)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timer.C:
			expired = true
		case <-appended:
		}
	}
}

// readNow returns the records from an offset on without waiting, and a channel
// that is closed at the next append.
func (s *Service) readNow(from id.Offset, limit int) (wire.Records, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first, raw := s.log.Read(from, limit)
	return wire.Records{First: first, Head: s.log.Head(), Oldest: s.log.Oldest(), Records: raw}, s.appended
}

// queryNumber returns a number in the query of a request, or def if it is
// missing or invalid.
func queryNumber(r *http.Request, key string, def uint64) uint64 {
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
	announced := listing{Announcement: a, visibleAt: time.Now().Add(s.lag), expiresAt: time.Now().Add(hostExpiry)}
	if old, ok := s.hosts[name]; ok && a.Entry != nil {
		announced.visibleAt = old.visibleAt
	}
	s.hosts[name] = announced
}

func (s *Service) list(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	out := wire.Hosts{Services: map[id.Service][]wire.Backend{}}
	for _, name := range config.SortedKeys(s.hosts) {
		announced := s.hosts[name]
		switch {
		case now.Before(announced.visibleAt):
		case announced.Entry != nil && now.Before(announced.expiresAt):
			out.Entry = append(out.Entry, *announced.Entry)
		case announced.Entry == nil:
			out.Services[announced.Service] = announced.Backends
		}
	}
	writeJSON(w, out)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
