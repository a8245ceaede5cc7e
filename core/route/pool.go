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

// Limits of a pool.
const (
	// queueLimit bounds the requests of a service that wait at one host.
	queueLimit = 2000
	// retryShare and retryBurst set the budget: retries add at most 8 percent.
	retryShare = 0.08
	retryBurst = 10
	// backoff is by how much a refusal for lack of slots shrinks the limit of
	// requests under way; at most once in backoffEvery.
	backoff      = 0.9
	backoffEvery = 50 * time.Millisecond
	// smoothing is the weight of the newest service time in the average.
	smoothing = 0.05
	// guessTook stands for the service time until one was seen.
	guessTook = 20 * time.Millisecond
)

// pool is the set of backend servers of one service and the requests for it.
type pool struct {
	slots int
	// share is how many requests this host may have at one backend server: its
	// slots, or this host's part of the connections that it accepts, if that is
	// less. One connection is left for probes.
	share    int
	timeout  time.Duration
	backends []*backend
	waiting  *fair.Queue[id.Customer, *request]
	budget   retry.Budget
	// limit is how many requests this host keeps under way, from 1 to the number
	// of all slots. It shrinks when slots are refused and grows while it is used up.
	limit  float64
	shrunk unit.Instant
	flying int
	// took is the average service time.
	took time.Duration
}

func newPool() *pool {
	return &pool{
		waiting: fair.New[id.Customer, *request](queueLimit),
		budget:  retry.New(retryShare, retryBurst),
		took:    guessTook,
	}
}

// pick chooses between two random usable backend servers the one with less load.
// It returns nil if none is usable.
func (p *pool) pick(now unit.Instant, rng *rand.Rand, tried []id.Backend) *backend {
	var usable []*backend
	for _, b := range p.backends {
		if b.usable(now, p.share) && !slices.Contains(tried, b.id) {
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

// mayEject reports whether one more backend server may be ejected. At least half
// of them always stay, so that a fault of our own never takes out the service.
func (p *pool) mayEject() bool {
	out := 0
	for _, b := range p.backends {
		if b.state == ejected || b.state == probing {
			out++
		}
	}
	return 2*(out+1) <= len(p.backends)
}

func (p *pool) find(name id.Backend) *backend {
	for _, b := range p.backends {
		if b.id == name {
			return b
		}
	}
	return nil
}

// refused shrinks the limit after a refusal for lack of slots.
func (p *pool) refused(now unit.Instant) {
	if now.Sub(p.shrunk) < backoffEvery {
		return
	}
	p.shrunk = now
	p.limit = max(1, p.limit*backoff)
}

// served grows the limit after an answer, if requests wait for it.
func (p *pool) served(took time.Duration) {
	p.took += time.Duration(smoothing * float64(took-p.took))
	if p.waiting.Len() > 0 {
		p.limit = min(p.limit+1/p.limit, float64(p.slots*len(p.backends)))
	}
}

// wait estimates how long a new request of the customer would wait.
func (p *pool) wait(c id.Customer) time.Duration {
	ahead := p.waiting.Ahead(c)
	return time.Duration(float64(p.took) * float64(ahead) / max(p.limit, 1))
}
