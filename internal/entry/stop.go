package entry

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/platform"
)

const (
	// stopNotice is how long a stopping host still takes connections: the
	// balancer asks each second and gives up after two misses.
	stopNotice = 2500 * time.Millisecond
	// stopMargin is kept of the grace for the process to end.
	stopMargin = 700 * time.Millisecond
	// handOverTime bounds the handing over of the ownership.
	handOverTime = time.Second
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
	for _, s := range h.servers {
		all.Go(func() {
			if err := s.Shutdown(ctx); err != nil {
				h.log.Warn("stop-incomplete", zap.Error(err))
			}
		})
	}
	all.Wait()
}

// handOver gives the ownership back, so that another host claims it at once.
func (h *Host) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTime)
	defer cancel()
	done := make(chan struct{})
	h.post(ctx, func(unit.Instant) {
		o := h.owner
		if o == nil || o.writing {
			close(done)
			return
		}
		h.stepDown("planned stop")
		rec, err := h.table.OwnerRecord(jobtable.Owner{Epoch: o.epoch + 1})
		if err != nil {
			h.log.Error("hand-over-failed", zap.Error(err))
			close(done)
			return
		}
		go func() {
			defer close(done)
			w := platform.Writer{Name: ownerWriter, Epoch: o.epoch, Seq: o.seq + 1}
			_, err := h.store.Append(ctx, platform.TopicJobs, []jobtable.Record{rec}, w, nil)
			h.log.Info("handed-over", zap.Uint64("epoch", uint64(o.epoch)), zap.Error(err))
		}()
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
	if err := h.store.Leave(ctx, group, h.member()); err != nil {
		h.log.Info("leave-failed", zap.Error(err))
	}
}
