// Package workersvc is a stand-in of the platform's workers, for trials and
// tests: fake workers behind one HTTP address. The command of a task says how
// it behaves, as in "run 5s" or "crash 1s".
package workersvc

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/kataras/iris/v12"

	fake "curlewsill.org/curlewsill/core/fake/worker"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/worker"
	"curlewsill.org/curlewsill/internal/platform/wire"
)

const (
	// LedgerPath answers GET with the Ledger.
	LedgerPath = "/v1/ledger"
	// FaultsPath accepts PUT of Faults.
	FaultsPath = "/v1/faults"
)

// defaultRun is how long a task runs whose command has no valid duration.
const defaultRun = time.Second

// accelerators is the capacity of each worker.
const accelerators = 64

// Start records that a worker has opened the gate of a job's task, which starts
// it.
type Start struct {
	Worker id.Worker `json:"worker"`
	Job    id.Job    `json:"job"`
	Lease  id.Lease  `json:"lease"`
}

// Ledger lists what the workers ran.
type Ledger struct {
	Starts []Start `json:"starts"`
	// Ends counts the ends of tasks by their state.
	Ends map[worker.TaskState]int `json:"ends"`
}

// Faults sets which workers misbehave, and how.
type Faults struct {
	// Silent workers never answer; Faulty workers crash every task.
	Silent []id.Worker `json:"silent"`
	Faulty []id.Worker `json:"faulty"`
}

// Service is the handler of the stand-in.
type Service struct {
	app   *iris.Application
	began time.Time

	mu      sync.Mutex
	workers map[id.Worker]*fake.Worker
	silent  map[id.Worker]bool
	faulty  map[id.Worker]bool
	ledger  Ledger
}

// New returns a service without workers; each worker is created at its first
// sync.
func New() *Service {
	s := &Service{
		app: iris.New(), began: time.Now(), workers: map[id.Worker]*fake.Worker{},
		silent: map[id.Worker]bool{}, faulty: map[id.Worker]bool{},
		ledger: Ledger{Ends: map[worker.TaskState]int{}},
	}
	s.app.Logger().SetLevel("disable")
	s.app.Post(wire.WorkersPath+"/{id}/sync", s.sync)
	s.app.Get(LedgerPath, func(c iris.Context) { _ = c.JSON(s.Ledger()) })
	s.app.Put(FaultsPath, s.setFaults)
	if err := s.app.Build(); err != nil {
		panic(fmt.Sprintf("workersvc: fixed routes are invalid: %v", err))
	}
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.app.ServeHTTP(w, r) }

// Ledger returns a copy of the ledger.
func (s *Service) Ledger() Ledger {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Ledger{Starts: append([]Start(nil), s.ledger.Starts...), Ends: map[worker.TaskState]int{}}
	for k, n := range s.ledger.Ends {
		out.Ends[k] = n
	}
	return out
}

// SetFaults replaces the faults of all workers. Workers that f doesn't name have
// no fault from then on.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.silent)
	clear(s.faulty)
	for _, w := range f.Silent {
		s.silent[w] = true
	}
	for _, w := range f.Faulty {
		s.faulty[w] = true
	}
}

func (s *Service) sync(c iris.Context) {
	var request worker.Sync
	if err := c.ReadJSON(&request); err != nil {
		c.StopWithError(http.StatusBadRequest, err)
		return
	}
	name := id.Worker(c.Params().Get("id"))
	s.mu.Lock()
	if s.silent[name] {
		s.mu.Unlock()
		<-c.Request().Context().Done()
		return
	}
	report := s.worker(name).Sync(time.Since(s.began), request)
	s.mu.Unlock()
	_ = c.JSON(report)
}

func (s *Service) worker(name id.Worker) *fake.Worker {
	w := s.workers[name]
	if w == nil {
		w = fake.New(name, accelerators, uint64(time.Now().UnixNano()), fake.Hooks{
			RunOf: plan,
			Started: func(j id.Job, l id.Lease) {
				s.ledger.Starts = append(s.ledger.Starts, Start{name, j, l})
			},
			Ended: func(_ id.Job, _ id.Lease, st worker.TaskState) { s.ledger.Ends[st]++ },
		})
		s.workers[name] = w
	}
	w.SetFaulty(s.faulty[name])
	return w
}

// plan parses a task's command.
func plan(t worker.WantedTask) fake.Run {
	verb, arg, _ := strings.Cut(t.Command, " ")
	d, err := time.ParseDuration(arg)
	if err != nil {
		d = defaultRun
	}
	return fake.Run{Duration: d, Crash: verb == "crash"}
}

func (s *Service) setFaults(c iris.Context) {
	var f Faults
	if err := c.ReadJSON(&f); err != nil {
		c.StopWithError(http.StatusBadRequest, err)
		return
	}
	s.SetFaults(f)
}
