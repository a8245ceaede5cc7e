package entry

import (
	"context"
	"io"
	"net/http"
	"reflect"
	"slices"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/codec"
	"curlewsill.org/curlewsill/core/handover"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/internal/relay"
)

// What an owner knows and the store doesn't have is sent to other hosts: the ends that
// it can't write, while the store is away, and everything when its ownership has ended.
// A host that becomes the owner uses what the one before it has told.

const (
	// handoverPath is the path of messages on the route of questions about the owner.
	handoverPath = "/handover"
	// endsTimeout is how long a host may take to accept a message with ends.
	endsTimeout = 300 * time.Millisecond
	// finalTimeout is the same for a final message, which has all runs: at a large
	// site that is some 600 kB, half a second on the slowest links. It is tried
	// maxFinalTries times, with a pause of finalRetryPause in between.
	finalTimeout    = 2 * time.Second
	finalRetryPause = 200 * time.Millisecond
	maxFinalTries   = 4
	// handoverInterval is the interval at which ends are told, if an append has
	// been in flight for handoverAfter. An append takes some 10 ms.
	handoverInterval = 200 * time.Millisecond
	handoverAfter    = 300 * time.Millisecond
	// maxHandoverHosts limits to how many hosts a message is sent while no next
	// owner is known: more than are first in rank.
	maxHandoverHosts = 16
)

var handovers = codec.New[handover.Message]()

// receivedHandover is the newest message of an owner, and when it arrived.
type receivedHandover struct {
	handover.Message
	at unit.Instant
}

// supersedes reports whether a message replaces an earlier one: it is of a later owner,
// or newer and no less complete.
func (r receivedHandover) supersedes(o receivedHandover) bool {
	return r.Epoch > o.Epoch || r.Epoch == o.Epoch && (r.Final || !o.Final)
}

// noteHandover keeps a message for the case that this host becomes the owner, and uses
// it if this host is the owner already. Only the deciding goroutine may call it.
func (h *Host) noteHandover(now unit.Instant, m handover.Message) {
	r := receivedHandover{Message: m, at: now}
	if !r.supersedes(h.handover) {
		return
	}
	h.handover = r
	h.useHandover(now)
}

// useHandover passes what an earlier owner has told to the dispatcher, if this host is
// the owner.
func (h *Host) useHandover(now unit.Instant) {
	o, m := h.owner, h.handover
	if o == nil || m.Empty() || m.Epoch >= o.epoch {
		return
	}
	direct := m.Epoch == h.table.FormerEpoch()
	ends := o.core.InheritHandover(now, m.at, m.Message, direct)
	h.log.Info("handover-used", zap.Uint64("epoch", uint64(o.epoch)), zap.Uint64("from", uint64(m.Epoch)), zap.Bool("final", m.Final),
		zap.Bool("direct", direct), zap.Int("workers", len(m.Workers)), zap.Int("ends", ends), zap.Duration("age", now.Sub(m.at)))
	h.handover.Workers = nil
}

// sendHandover sends what this host knows as the owner until now to the next owner, or
// to the hosts that may become it. Only the deciding goroutine may call it.
func (h *Host) sendHandover(now unit.Instant) {
	m := h.owner.core.Handover(now)
	if m.Empty() {
		return
	}
	h.noteHandover(now, m) // this host may become the owner again
	addresses := h.nextOwnerAddresses()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), maxFinalTries*(finalTimeout+finalRetryPause))
		defer cancel()
		accepted := h.tellHosts(ctx, m, addresses, finalTimeout, maxFinalTries)
		h.log.Info("handover-sent", zap.Uint64("epoch", uint64(m.Epoch)), zap.Int("workers", len(m.Workers)),
			zap.Int("hosts", len(addresses)), zap.Int("accepted", accepted))
	}()
}

// nextOwnerAddresses returns the address of the next owner, or those of the hosts that
// may become it. Only the deciding goroutine may call it.
func (h *Host) nextOwnerAddresses() []string {
	if a := h.addressOf(h.table.Owner().Host); a != "" {
		return []string{a}
	}
	var out []string
	for _, o := range h.others {
		if o.address != "" {
			out = append(out, o.address)
		}
	}
	slices.Sort(out)
	return out[:min(len(out), maxHandoverHosts)]
}

// tellEnds repeatedly tells the watchers of this host, while it is the owner and can't
// write, which ends it has read.
func (h *Host) tellEnds(ctx context.Context) {
	var told handover.Message
	for pause(ctx, handoverInterval) {
		var addresses []string
		m, ok := query(ctx, h, func(now unit.Instant) handover.Message {
			if h.owner == nil || !h.owner.appendDelayed(now) {
				return handover.Message{}
			}
			for _, w := range h.election.Watchers(h.self) {
				if a := h.addressOf(w); a != "" {
					addresses = append(addresses, a)
				}
			}
			return h.owner.core.UnstoredEnds()
		})
		if !ok || m.Empty() || reflect.DeepEqual(m, told) {
			continue
		}
		accepted := h.tellHosts(ctx, m, addresses, endsTimeout, 1)
		if accepted == len(addresses) {
			told = m
		}
		h.log.Info("ends-told", zap.Uint64("epoch", uint64(m.Epoch)), zap.Int("workers", len(m.Workers)),
			zap.Int("hosts", len(addresses)), zap.Int("accepted", accepted))
	}
}

// tellHosts sends a message to hosts, to each up to the given number of times, with a
// time limit for each try. It returns how many have accepted it.
func (h *Host) tellHosts(ctx context.Context, m handover.Message, addresses []string, limit time.Duration, tries int) int {
	body, err := handovers.Encode(m)
	if err != nil {
		h.log.Error("handover-not-encoded", zap.Error(err))
		return 0
	}
	results := make(chan bool, len(addresses))
	for _, a := range addresses {
		go func() { results <- h.tellHost(ctx, a, body, limit, tries) }()
	}
	accepted := 0
	for range addresses {
		if <-results {
			accepted++
		}
	}
	return accepted
}

// tellHost sends an encoded message to one host. It reports whether the host has
// accepted it.
func (h *Host) tellHost(ctx context.Context, address string, body []byte, limit time.Duration, tries int) bool {
	for n := range tries {
		if n > 0 && !pause(ctx, finalRetryPause) {
			return false
		}
		limited, cancel := context.WithTimeout(ctx, limit)
		status, _, err := h.watchPath.CallPeer(limited, address, relay.Request{Method: http.MethodPost, Path: handoverPath, Body: body, Timeout: limit})
		cancel()
		if err == nil && status == http.StatusOK {
			return true
		}
	}
	return false
}

// acceptHandover handles a message of an owner.
func (h *Host) acceptHandover(req *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, err
	}
	m, err := handovers.Decode(body)
	if err != nil {
		h.log.Warn("handover-rejected", zap.Error(err))
		return nil, err
	}
	if !h.post(req.Context(), func(now unit.Instant) { h.noteHandover(now, m) }) {
		return nil, req.Context().Err()
	}
	return relay.NewResponse(req, http.StatusOK, nil), nil
}

// appendDelayed reports whether an append of the owner has been in flight for long.
func (o *owner) appendDelayed(now unit.Instant) bool {
	return o.appendInFlight && now.Sub(o.appendBeganAt) >= handoverAfter
}
