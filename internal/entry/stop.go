package entry

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/unit"
)

const (
	// stopNotice is how long a stopping host still accepts connections: the
	// load balancer checks the readiness each second and removes the host after
	// two failed checks.
	stopNotice = 2500 * time.Millisecond
	// stopMargin is the part of the grace period that is reserved for the
	// process to exit.
	stopMargin = 700 * time.Millisecond
	// handOverTimeout is the time limit for handing over the ownership.
	handOverTimeout = time.Second
	// handOverPollInterval is the pause between two checks whether the last
	// append has ended, which takes about 10 ms.
	handOverPollInterval = 5 * time.Millisecond
)

// Stop begins a planned stop: the host hands the ownership over, answers the
// requests that it has read, and Run returns.
func (h *Host) Stop() {
	h.stopOnce.Do(func() {
		h.log.Info("stopping", zap.String("host", string(h.self)))
		h.stopping.Store(true)
		h.ready.Store(false)
		go h.stop()
	})
}

func (h *Host) stop() {
	defer close(h.stopped)
	end := time.Now().Add(h.settings.Grace - stopMargin)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	h.handOver(ctx)
	pause(ctx, min(stopNotice, time.Until(end)/2))
	var shutdowns sync.WaitGroup
	for i, s := range h.servers {
		shutdowns.Go(func() {
			if err := s.Shutdown(ctx); err != nil {
				h.log.Warn("stop-incomplete", zap.String("listener", h.listeners[i].Addr().String()), zap.Error(err))
			}
		})
	}
	shutdowns.Wait()
	h.log.Info("stop-ended", zap.Int("links", h.links.Open()))
}

// handOver releases the ownership, so that another host claims it at once, and
// leaves the group of candidates.
func (h *Host) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	for {
		r, ok := query(ctx, h, func(unit.Instant) retired { return h.retire("planned stop") })
		if ok && r.busy {
			// A stopping host begins no new append, so the current one ends
			// soon.
			if !pause(ctx, handOverPollInterval) {
				break
			}
			continue
		}
		if ok && r.owner != nil {
			h.release(ctx, r.owner)
		}
		break
	}
	if h.member.Load() {
		h.leave(ctx)
	}
}

// retired is the result of an attempt to give up the ownership.
type retired struct {
	// owner is the owner that this host was until now; nil if this host wasn't
	// the owner, or couldn't give up the ownership yet.
	owner *owner
	// busy is set while an append of the owner is in flight, or the host is
	// about to become the owner.
	busy bool
}

// retire ends this host's ownership for the given reason. While an append is in
// flight or a takeover is in progress, it changes nothing and returns that the
// host is busy.
func (h *Host) retire(why string) retired {
	o := h.owner
	switch {
	case h.takeover != nil:
		return retired{busy: true}
	case o == nil:
		return retired{}
	case o.appendInFlight:
		return retired{busy: true}
	}
	h.stepDown(why)
	return retired{owner: o}
}

// release writes a record that nobody is the owner.
func (h *Host) release(ctx context.Context, o *owner) {
	rec, err := jobtable.New().OwnerRecord(jobtable.Owner{Epoch: o.epoch + 1})
	if err == nil {
		_, err = h.store.Append(ctx, o.jobs.topic, []jobtable.Record{rec}, o.jobs.writer(o.epoch, o.jobs.seq+1))
	}
	h.log.Info("handed-over", zap.Uint64("epoch", uint64(o.epoch)), zap.Error(err))
}
