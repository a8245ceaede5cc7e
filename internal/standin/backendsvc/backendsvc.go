// Package backendsvc is a stand-in of a service's backend servers, for trials
// and tests. Each server listens on its own port and has a fixed number of
// slots. A ledger counts what the servers have run. Each server can be made to
// misbehave at any time.
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
	// LedgerPath answers GET with the Ledger of all backend servers.
	LedgerPath = "/v1/ledger"
	// FaultsPath accepts PUT of Faults.
	FaultsPath = "/v1/faults"
	// TagHeader names a request in the ledger; the load generator sets it.
	TagHeader = "Load-Tag"
	// SumHeader carries the checksum of the request's body in the answer.
	SumHeader = "Body-Sum"
)

// Mode is a way in which a backend server misbehaves.
type Mode string

// The modes.
const (
	NoFault Mode = ""
	// Fail answers with status 500.
	Fail Mode = "fail"
	// Cut closes the connection in the middle of the answer.
	Cut Mode = "cut"
	// Hang runs the request and never answers.
	Hang Mode = "hang"
	// Leave refuses requests as a server that is about to stop, with the reason
	// "leaving". Refuse refuses them as a server without a free slot, with the
	// reason "busy".
	Leave  Mode = "leave"
	Refuse Mode = "refuse"
)

// Faults sets how one backend server misbehaves, or all of them. Backend is the
// server's index in Addresses, or -1 for all.
type Faults struct {
	Backend int           `json:"backend"`
	Mode    Mode          `json:"mode"`
	Delay   time.Duration `json:"delay"`
}

// Ledger counts executions by the requests' tags.
type Ledger struct {
	Runs map[string]int `json:"runs"`
	// Overbooked counts requests that arrived while all slots were taken.
	Overbooked int `json:"overbooked"`
}

// Service is a set of backend servers.
type Service struct {
	slots int
	work  time.Duration

	mu        sync.Mutex
	faults    []Faults
	busy      []int
	ledger    Ledger
	servers   []*http.Server
	addresses []string
}

// New returns n backend servers that listen on loopback ports. Each has the
// given number of slots and takes the time work for a request.
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
		s.addresses = append(s.addresses, l.Addr().String())
		go func() { _ = srv.Serve(l) }()
	}
	return s, nil
}

// Addresses returns the addresses of the backend servers.
func (s *Service) Addresses() []string { return s.addresses }

// Close closes all backend servers immediately.
func (s *Service) Close() {
	for _, srv := range s.servers {
		_ = srv.Close()
	}
}

// CloseServer closes one backend server immediately.
func (s *Service) CloseServer(i int) { _ = s.servers[i].Close() }

// SetFaults sets how one backend server, or all of them, misbehaves from now
// on.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.faults {
		if f.Backend == i || f.Backend < 0 {
			s.faults[i] = f
		}
	}
}

// Ledger returns a copy of the ledger.
func (s *Service) Ledger() Ledger {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Ledger{Runs: make(map[string]int, len(s.ledger.Runs)), Overbooked: s.ledger.Overbooked}
	for k, n := range s.ledger.Runs {
		out.Runs[k] = n
	}
	return out
}

// serve answers one request to one backend server.
func (s *Service) serve(i int, w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case LedgerPath:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.Ledger())
		return
	case FaultsPath:
		s.putFaults(w, r)
		return
	case edge.HealthPath:
		if s.mode(i) == Leave {
			refuse(w, Leave)
		}
		return
	}
	f, ok := s.acquireSlot(i)
	if !ok || f.Mode == Leave || f.Mode == Refuse {
		refuse(w, f.Mode)
		return
	}
	defer s.releaseSlot(i)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.countRun(r.Header.Get(TagHeader))
	s.answer(i, w, r, f, body)
}

// answer does the work of a request and answers it.
func (s *Service) answer(i int, w http.ResponseWriter, r *http.Request, f Faults, body []byte) {
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

// refuse answers that the request was not run, and why.
func refuse(w http.ResponseWriter, mode Mode) {
	reason := "busy"
	if mode == Leave {
		reason = "leaving"
	}
	w.Header().Set(edge.RanHeader, "no")
	w.Header().Set(edge.RefusalHeader, reason)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// acquireSlot takes a slot of a server. It reports false if all slots are taken
// or the server's fault is to refuse requests.
func (s *Service) acquireSlot(i int) (Faults, bool) {
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

func (s *Service) releaseSlot(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy[i]--
}

func (s *Service) mode(i int) Mode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults[i].Mode
}

// load returns how many other requests a server is running, besides the one
// that asks.
func (s *Service) load(i int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busy[i] - 1
}

func (s *Service) countRun(tag string) {
	if tag == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Runs[tag]++
}

func (s *Service) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}
