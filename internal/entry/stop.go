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
	// stopNotice is how long a stopping host still takes connections: the
	// balancer asks each second and gives up after two misses.
	stopNotice = 2500 * time.Millisecond
	// stopMargin is kept of the grace for the process to end.
	stopMargin = 700 * time.Millisecond
	// handOverTime bounds the handing over of the ownership.
	handOverTime = time.Second
	// handOverLook is the pause between two looks whether the last append has ended,
	// which takes about 10 ms.
	handOverLook = 5 * time.Millisecond
)

// Stop begins a planned stop: the ownership is handed over, what was read is
// answered, and Run returns.
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
	var all sync.WaitGroup
	for i, s := range h.servers {
		all.Go(func() {
			if err := s.Shutdown(ctx); err != nil {
				h.log.Warn("stop-incomplete", zap.String("listener", h.listeners[i].Addr().String()), zap.Error(err))
			}
		})
	}
	all.Wait()
	h.log.Info("stop-ended", zap.Int("links", h.links.Open()))
}

// handOver gives the ownership back, so that another host claims it at once, and leaves
// the group of live hosts.
func (h *Host) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTime)
	defer cancel()
	for {
		r, ok := ask(ctx, h, func(unit.Instant) retired { return h.retire("planned stop") })
		if ok && r.busy {
			// No new append begins while the host is stopping; this one ends soon.
			if !pause(ctx, handOverLook) {
				break
			}
			continue
		}
		if ok && r.owner != nil {
			h.release(ctx, r.owner)
		}
		break
	}
	if err := h.store.Leave(ctx, group, h.member()); err != nil {
		h.log.Info("leave-failed", zap.Error(err))
	}
}

// retired is what became of the host's ownership at a planned stop.
type retired struct {
	// owner was in office until now; nil if there was none, or if it is busy.
	owner *owner
	// busy is set while an append of the owner is under way, or the host is about to become it.
	busy bool
}

// retire ends scheduling for a reason, unless an append is under way.
func (h *Host) retire(why string) retired {
	o := h.owner
	switch {
	case h.takeover != nil:
		return retired{busy: true}
	case o == nil:
		return retired{}
	case o.writing:
		return retired{busy: true}
	}
	h.stepDown(why)
	return retired{owner: o}
}

// release writes that nobody is the owner.
func (h *Host) release(ctx context.Context, o *owner) {
	rec, err := jobtable.New().OwnerRecord(jobtable.Owner{Epoch: o.epoch + 1})
	if err == nil {
		_, err = h.store.Append(ctx, o.jobs.topic, []jobtable.Record{rec}, o.jobs.writer(o.epoch, o.jobs.seq+1))
	}
	h.log.Info("handed-over", zap.Uint64("epoch", uint64(o.epoch)), zap.Error(err))
}
