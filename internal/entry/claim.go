package entry

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/speed"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/internal/ring"
	"curlewsill.org/curlewsill/platform"
)

// drawEpoch returns a new epoch for a claim at an offset, with random low bits.
// The store treats two appends with the same writer, epoch and sequence number
// as one, so two hosts that claim at the same offset must not use the same
// epoch.
func drawEpoch(at id.Offset) id.Epoch {
	return id.Epoch(at+1)<<epochOffsetShift | id.Epoch(rand.Uint64N(1<<epochRandomBits))
}

const (
	// epochRandomBits is the number of random bits of an epoch.
	// epochOffsetShift is the number of bits below the offset in an epoch. It
	// is one more, so that no increase of one owner's fence reaches the epochs
	// of the next offset. Epochs stay below 2^53, so that a JSON number
	// represents them exactly.
	epochRandomBits  = id.FenceRevisionBits
	epochOffsetShift = id.FenceRevisionBits + 1
)

// mayClaim reports whether, by its own table, this host should claim the
// ownership. An owner that was fenced without a successor has to claim again
// itself, because the other hosts see that it is alive.
func (h *Host) mayClaim(now unit.Instant) bool {
	if !h.loaded || h.table.HasLegacyProgress() || h.stopping.Load() || h.owner != nil || h.takeover != nil {
		return false
	}
	vacant := h.endedEpoch != 0 && h.table.Owner().Epoch == h.endedEpoch
	return vacant || h.election.ShouldClaim(now)
}

// noteFormerIncarnation marks the ownership as vacant if the owner is an
// earlier incarnation of this host, since that process has ended for certain.
// Until the time to live of that incarnation expires, the store lists it as a
// live host.
func (h *Host) noteFormerIncarnation() {
	o := h.table.Owner()
	if o.Host != h.self && machineOf(o.Host) == h.settings.Host {
		h.endedEpoch = o.Epoch
	}
}

// prepareClaim reads the latest records of other hosts, and claims if a claim
// is still due afterwards. Without this read, hosts that have not yet read each
// other's claims would take the ownership from one another in turn.
func (h *Host) prepareClaim(ctx context.Context) {
	h.claiming = true
	go func() {
		read := h.catchUp(ctx) == upToDate
		if !read {
			pause(ctx, minRetryPause+rand.N(minRetryPause)) // otherwise a store that refuses at once would be called on every pass
		}
		h.post(ctx, func(now unit.Instant) {
			if !read || !h.mayClaim(now) {
				h.claiming = false
				return
			}
			h.claim(ctx)
		})
	}()
}

// claim appends a record that makes this host the owner. The store may place
// the claim behind records that this host hasn't read: the host becomes the
// owner only when it reads its own claim, by which time it has read everything
// before it. The claim doesn't wait until all records are read, because with
// many hosts accepting jobs there may be no moment without new records.
func (h *Host) claim(ctx context.Context) {
	at := h.table.NextOffset()
	epoch := drawEpoch(at)
	rec, err := h.table.OwnerRecord(jobtable.Owner{Host: h.self, Epoch: epoch})
	if err != nil {
		h.log.Error("claim-failed", zap.Error(err))
		h.claiming = false
		return
	}
	h.log.Info("claim", zap.Uint64("epoch", uint64(epoch)), zap.String("previous", string(h.table.Owner().Host)))
	go func() {
		sent := h.now()
		end, err := h.store.Append(ctx, platform.TopicJobs, []jobtable.Record{rec}, platform.Writer{Name: ownerWriter, Epoch: epoch, Seq: firstSeq})
		h.post(ctx, func(now unit.Instant) {
			if err == nil {
				h.assure(sent) // if another host had claimed later, the append would have been fenced
			}
			h.claimed(ctx, now, rec, end, err)
		})
	}()
}

// claimed handles the result of a claim, which the log holds at the offset
// before end.
func (h *Host) claimed(ctx context.Context, now unit.Instant, rec jobtable.Record, end id.Offset, err error) {
	if err != nil {
		h.log.Info("claim-refused", zap.Uint64("applied", uint64(h.table.NextOffset())), zap.Error(err))
		go h.catchUpAfterClaim(ctx)
		return
	}
	if h.table.NextOffset()+1 != end || h.stopping.Load() {
		go h.catchUpAfterClaim(ctx)
		return // unread records precede the claim, or the reader has already applied it
	}
	h.claiming = false
	h.applyJobs(now, []jobtable.Record{rec}, end-1)
}

// catchUpAfterClaim reads the records that this host lacked when it claimed,
// and only then allows another claim. A claim before that would lack the same
// records.
func (h *Host) catchUpAfterClaim(ctx context.Context) {
	h.catchUp(ctx)
	h.post(ctx, func(unit.Instant) { h.claiming = false })
}

// updateOwnership starts or ends this host's ownership according to the table.
func (h *Host) updateOwnership(now unit.Instant) {
	o := h.table.Owner()
	newClaim := o.Epoch > h.newestClaim
	if newClaim {
		h.election.ObserveClaim(now)
		h.newestClaim = o.Epoch
	}
	if h.owner != nil && (o.Host != h.self || o.Epoch != h.owner.epoch) {
		h.stepDown("a later claim is in the store")
	}
	if h.takeover != nil && (o.Host != h.self || o.Epoch != h.takeover.epoch) {
		h.abandonTakeover()
	}
	if h.owner == nil && h.takeover == nil && o.Host == h.self && o.Epoch != h.endedEpoch && !h.stopping.Load() {
		h.beginTakeover(o.Epoch)
	}
	if o.Host == "" && o.Epoch > 0 && h.releasedEpoch != o.Epoch {
		h.releasedEpoch = o.Epoch
		h.election.ObserveRelease(now)
	}
	if newClaim {
		h.followOwner()
	}
}

// followOwner updates the address to which this host forwards records, and the
// owner that it watches. It is called after each read of the group of live
// hosts, and as soon as a claim is read. Without the call after a claim, hosts
// would forward records to the former owner until the next read of the group,
// and none would watch the new owner.
func (h *Host) followOwner() {
	h.updateForwardAddress()
	h.updateWatched()
}

// takeOver starts scheduling from the state in the table.
func (h *Host) takeOver(now unit.Instant, epoch id.Epoch) {
	ctx, cancel := context.WithCancel(context.Background())
	config := h.settings.Workers
	config.MaxWaitingRenewals = maxWaitingRenewals(h.settings)
	boxes := newOutboxes(config.MaxWaitingRenewals)
	cancelAll := func() {
		cancel()
		boxes.close()
	}
	o := &owner{
		host: h, epoch: epoch, core: dispatch.New(config, h.settings.Policy, epoch, h.table), cancel: cancelAll, boxes: boxes,
		jobs:     ownerLog{topic: platform.TopicJobs, seq: firstSeq},
		progress: ownerLog{topic: platform.TopicProgress, seq: firstSeq},
		listed:   map[id.WorkerName]id.Worker{}, rejected: map[id.WorkerName]uint64{},
		reports: ring.New[dispatch.WaveReport](maxQueuedReports),
	}
	h.owner = o
	h.updateRole(now)
	h.election.BecomeOwner(now)
	h.metrics.owning.Store(true)
	h.metrics.takeovers.Inc()
	h.log.Info("owner", zap.Uint64("epoch", uint64(epoch)), zap.Int("jobs", len(h.table.Jobs())), zap.Uint64("applied", uint64(h.table.NextOffset())),
		zap.Strings("off", h.settings.Policy.Off()))
	if c := h.catalog.Load(); c != nil {
		o.configure(c)
	}
	for _, j := range h.table.Jobs() {
		o.updateJob(now, j)
	}
	o.noteOutage(now)
	h.useHandover(now)
	o.evacuate()
	o.setOperatorReadTime()
	for _, n := range slices.Sorted(maps.Keys(h.waves)) {
		o.setWave(now, h.waves[n])
	}
	h.forgetProgress() // the dispatcher keeps the progress from now on
	go h.followWorkerList(ctx, o)
	go o.writeReports(ctx)
	go o.followMachines(ctx)
}

// yield hands the ownership over to a more able host, if there is one and no
// append is in flight. This host doesn't claim again until the store has
// answered the release, because it would find the ownership vacant.
func (h *Host) yield(ctx context.Context, now unit.Instant) {
	if h.owner == nil || h.stopping.Load() || !h.election.ShouldHandOver(now) {
		return
	}
	r := h.retire("an abler host is there")
	if r.owner == nil {
		return
	}
	h.claiming = true
	go func() {
		h.release(ctx, r.owner)
		h.post(ctx, func(unit.Instant) { h.claiming = false })
	}()
}

// stepDown stops scheduling at once.
func (h *Host) stepDown(why string) {
	if h.owner == nil {
		return
	}
	h.log.Warn("owner-ended", zap.Uint64("epoch", uint64(h.owner.epoch)), zap.String("why", why))
	h.owner.cancel()
	h.sendHandover(h.now())
	h.endedEpoch = h.owner.epoch
	h.owner = nil
	h.metrics.owning.Store(false)
	h.metrics.placedRuns.Store(0)
	h.metrics.setSpeedClasses([speed.Classes]int{})
}
