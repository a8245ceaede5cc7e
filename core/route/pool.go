package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/fair"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/retry"
	"curlewsill.org/curlewsill/core/unit"
)

// Parameters of a pool.
const (
	// queueLimit is the maximum number of requests of a service that wait at
	// one host.
	queueLimit = 2000
	// retryShare and retryBurst set the retry budget. Apart from a burst of
	// retryBurst retries, retries add at most 8 percent to the requests.
	retryShare = 0.08
	retryBurst = 10
	// limitDecrease is the factor by which a refusal for lack of slots reduces
	// the limit of requests in flight, at most once in limitDecreaseInterval.
	limitDecrease         = 0.9
	limitDecreaseInterval = 50 * time.Millisecond
	// smoothing is the weight of the newest service time in the moving average.
	smoothing = 0.05
	// initialServiceTime stands for the average service time until the first
	// answer.
	initialServiceTime = 20 * time.Millisecond
)

// pool holds the backend servers of one service and the requests that wait for
// them.
type pool struct {
	slots int
	// maxPerBackend is how many requests this host may have in flight at one
	// backend server. The server's slots limit it, and so does this host's part
	// of the connections that the server accepts, of which one is left for
	// probes. maxPerBackend is at least 1.
	maxPerBackend int
	timeout       time.Duration
	backends      []*backend
	waiting       *fair.Queue[id.Customer, *request]
	budget        retry.Budget
	// limit is how many requests this host keeps in flight, from 1 to the
	// number of all slots. It shrinks when a backend server refuses a request for
	// lack of slots, and grows when an answer arrives while requests wait.
	limit        float64
	lastDecrease unit.Instant
	inFlight     int
	// serviceTime is the moving average of the time to a complete answer.
	serviceTime time.Duration
}

func newPool() *pool {
	return &pool{
		waiting:     fair.New[id.Customer, *request](queueLimit),
		budget:      retry.New(retryShare, retryBurst),
		serviceTime: initialServiceTime,
	}
}

// pick draws two usable backend servers at random and returns the one with less
// load. It returns nil if none is usable.
func (p *pool) pick(now unit.Instant, rng *rand.Rand, tried []id.Backend) *backend {
	var usable []*backend
	for _, b := range p.backends {
		if b.usable(now, p.maxPerBackend) && !slices.Contains(tried, b.id) {
			usable = append(usable, b)
		}
	}
	if len(usable) == 0 {
		return nil
	}
	a, b := usable[rng.IntN(len(usable))], usable[rng.IntN(len(usable))]
	if b.cost(now) < a.cost(now) {
		return b
	}
	return a
}

// mayEject reports whether one more backend server may be ejected. At least
// half of them always stay in use, so that a fault on this host's side can't
// take the whole service out.
func (p *pool) mayEject() bool {
	out := 0
	for _, b := range p.backends {
		if b.state == ejected || b.state == probing {
			out++
		}
	}
	return 2*(out+1) <= len(p.backends)
}

func (p *pool) find(backendID id.Backend) *backend {
	for _, b := range p.backends {
		if b.id == backendID {
			return b
		}
	}
	return nil
}

// decreaseLimit reduces the limit after a refusal for lack of slots.
func (p *pool) decreaseLimit(now unit.Instant) {
	if now.Sub(p.lastDecrease) < limitDecreaseInterval {
		return
	}
	p.lastDecrease = now
	p.limit = max(1, p.limit*limitDecrease)
}

// recordAnswer updates the average service time after an answer and raises the
// limit if requests wait.
func (p *pool) recordAnswer(took time.Duration) {
	p.serviceTime += time.Duration(smoothing * float64(took-p.serviceTime))
	if p.waiting.Len() > 0 {
		p.limit = min(p.limit+1/p.limit, float64(p.slots*len(p.backends)))
	}
}

// estimatedWait estimates how long a new request of the customer would wait for
// a slot.
func (p *pool) estimatedWait(c id.Customer) time.Duration {
	ahead := p.waiting.Ahead(c)
	return time.Duration(float64(p.serviceTime) * float64(ahead) / max(p.limit, 1))
}
