// Package backendsvc is a stand-in of a service's backend servers, for trials and
// tests. Each listens on a port of its own, has a number of slots, and keeps a ledger
// of what it ran. It can be told to misbehave at any time.
package backendsvc

import (
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"curlewsill.org/curlewsill/internal/edge"
)

const (
	// LedgerPath takes GET and answers with the Ledger of all backend servers.
	LedgerPath = "/v1/ledger"
	// FaultsPath takes PUT of Faults.
	FaultsPath = "/v1/faults"
	// TagHeader names a request for the ledger; a load tool sets it.
	TagHeader = "Load-Tag"
	// SumHeader carries a checksum of the request's body in the answer.
	SumHeader = "Body-Sum"
)

// Mode is how a backend server misbehaves.
type Mode string

// The modes.
const (
	Fine Mode = ""
	// Fail answers with status 500.
	Fail Mode = "fail"
	// Cut ends the connection in the middle of the answer.
	Cut Mode = "cut"
	// Hang runs the request and answers nothing.
	Hang Mode = "hang"
	// Leave refuses because it is about to stop; Refuse because it has no slot.
	Leave  Mode = "leave"
	Refuse Mode = "refuse"
)

// Faults tells one backend server, by its place in the list, or all with -1, what to
// do wrong.
type Faults struct {
	Backend int           `json:"backend"`
	Mode    Mode          `json:"mode"`
	Delay   time.Duration `json:"delay"`
}

// Ledger counts executions by tag.
type Ledger struct {
	Runs map[string]int `json:"runs"`
	// Overbooked counts requests that came when all slots were taken.
	Overbooked int `json:"overbooked"`
}

// Service is a set of backend servers.
type Service struct {
	slots int
	work  time.Duration

	mu      sync.Mutex
	faults  []Faults
	busy    []int
	ledger  Ledger
	servers []*http.Server
	addrs   []string
}

// New returns n backend servers with the given number of slots, each of whose
// requests takes the time work. They listen at once, on loopback.
func New(n, slots int, work time.Duration) (*Service, error) {
	s := &Service{
		slots: slots, work: work, faults: make([]Faults, n), busy: make([]int, n),
		ledger: Ledger{Runs: map[string]int{}},
	}
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			s.Close()
			return nil, fmt.Errorf("backendsvc: %w", err)
		}
		srv := &http.Server{
			Handler:           http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(i, w, r) }),
			ReadHeaderTimeout: time.Minute,
		}
		s.servers = append(s.servers, srv)
		s.addrs = append(s.addrs, l.Addr().String())
		go func() { _ = srv.Serve(l) }()
	}
	return s, nil
}

// Addresses returns where the backend servers listen.
func (s *Service) Addresses() []string { return s.addrs }

// Close ends all backend servers at once.
func (s *Service) Close() {
	for _, srv := range s.servers {
		_ = srv.Close()
	}
}

// CloseOne ends one backend server at once.
func (s *Service) CloseOne(i int) { _ = s.servers[i].Close() }

// SetFaults makes backend servers misbehave from now on.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.faults {
		if f.Backend == i || f.Backend < 0 {
			s.faults[i] = f
		}
	}
}

// Ledger returns a copy of what was run.
func (s *Service) Ledger() Ledger {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Ledger{Runs: make(map[string]int, len(s.ledger.Runs)), Overbooked: s.ledger.Overbooked}
	for k, n := range s.ledger.Runs {
		out.Runs[k] = n
	}
	return out
}

// serve is one request at one backend server.
func (s *Service) serve(i int, w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case LedgerPath:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.Ledger())
		return
	case FaultsPath:
		s.takeFaults(w, r)
		return
	case edge.HealthPath:
		if s.mode(i) == Leave {
			refuse(w, Leave)
		}
		return
	}
	f, ok := s.enter(i)
	if !ok || f.Mode == Leave || f.Mode == Refuse {
		refuse(w, f.Mode)
		return
	}
	defer s.leave(i)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.note(r.Header.Get(TagHeader))
	s.run(i, w, r, f, body)
}

// run does the work of a request and answers.
func (s *Service) run(i int, w http.ResponseWriter, r *http.Request, f Faults, body []byte) {
	time.Sleep(s.work + f.Delay)
	h := w.Header()
	h.Set(edge.RequestHeader, r.Header.Get(edge.RequestHeader))
	h.Set(edge.LoadHeader, strconv.Itoa(s.load(i)))
	h.Set(TagHeader, r.Header.Get(TagHeader))
	h.Set(SumHeader, strconv.FormatUint(uint64(crc32.ChecksumIEEE(body)), 16))
	switch f.Mode {
	case Hang:
		<-r.Context().Done()
	case Fail:
		w.WriteHeader(http.StatusInternalServerError)
	case Cut:
		h.Set("Content-Length", strconv.Itoa(len(body)+100))
		_, _ = w.Write(body)
		panic(http.ErrAbortHandler)
	default:
		_, _ = w.Write(body)
	}
}

func refuse(w http.ResponseWriter, m Mode) {
	why := "busy"
	if m == Leave {
		why = "leaving"
	}
	w.Header().Set(edge.RanHeader, "no")
	w.Header().Set(edge.RefusalHeader, why)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// enter takes a slot if there is one.
func (s *Service) enter(i int) (Faults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults[i]
	if f.Mode == Leave || f.Mode == Refuse {
		return f, false
	}
	if s.busy[i] >= s.slots {
		s.ledger.Overbooked++
		return f, false
	}
	s.busy[i]++
	return f, true
}

func (s *Service) leave(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy[i]--
}

func (s *Service) mode(i int) Mode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults[i].Mode
}

func (s *Service) load(i int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busy[i] - 1
}

func (s *Service) note(tag string) {
	if tag == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Runs[tag]++
}

func (s *Service) takeFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}
