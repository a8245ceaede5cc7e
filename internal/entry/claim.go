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
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/internal/ring"
	"curlewsill.org/curlewsill/platform"
)

// epochAt draws the epoch of a claim at an offset. The store takes two appends of one
// writer, epoch and number for the same one, so two hosts that claim at the same offset
// must not have the same epoch.
func epochAt(at id.Offset) id.Epoch {
	return id.Epoch(at+1)<<epochBits | id.Epoch(rand.Uint64N(1<<epochDrawBits))
}

const (
	// epochDrawBits is how many bits of an epoch are drawn, epochBits how many stand below the offset. What is drawn
	// leaves room for all raises of one owner's fence. With the offset they stay below 2^53, which every JSON number keeps.
	epochDrawBits = id.RaiseBits
	epochBits     = id.RaiseBits + 1
)

// mayClaim reports whether this host is to claim, as far as its table says. An owner that was
// fenced without a successor has to claim again itself: the others see that it lives.
func (h *Host) mayClaim(now unit.Instant) bool {
	if !h.loaded || h.table.Former() || h.stopping.Load() || h.owner != nil || h.takeover != nil {
		return false
	}
	vacant := h.lost != 0 && h.table.Owner().Epoch == h.lost
	return vacant || h.election.Claim(now)
}

// noteFormerLife notes that the ownership is vacant if the owner is an earlier life of this host: that
// process has surely ended. The store would show it until its time to live is over.
func (h *Host) noteFormerLife() {
	o := h.table.Owner()
	if o.Host != h.self && machineOf(o.Host) == h.settings.Host {
		h.lost = o.Epoch
	}
}

// prepareClaim reads what others have written lately, and then claims if that is still due.
// Without it hosts that have not heard of each other's claims take the ownership in turns.
func (h *Host) prepareClaim(ctx context.Context) {
	h.claiming = true
	go func() {
		read := h.catchUp(ctx)
		if !read {
			pause(ctx, retryLeast+rand.N(retryLeast)) // a store that refuses at once would be asked on every pass
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

// claim asks the store to make this host the owner. The claim may follow records that this host
// hasn't read: it becomes the owner when it reads its own claim, and has read all before that by
// then. A moment in which nobody writes may not come while many hosts take in clients.
func (h *Host) claim(ctx context.Context) {
	at := h.table.Next()
	epoch := epochAt(at)
	rec, err := h.table.OwnerRecord(jobtable.Owner{Host: h.self, Epoch: epoch})
	if err != nil {
		h.log.Error("claim-failed", zap.Error(err))
		h.claiming = false
		return
	}
	h.log.Info("claim", zap.Uint64("epoch", uint64(epoch)), zap.String("previous", string(h.table.Owner().Host)))
	go func() {
		left := h.now()
		end, err := h.store.Append(ctx, platform.TopicJobs, []jobtable.Record{rec}, platform.Writer{Name: ownerWriter, Epoch: epoch, Seq: firstSeq})
		h.post(ctx, func(now unit.Instant) {
			if err == nil {
				h.assure(left) // a later claim would have fenced it
			}
			h.claimed(ctx, now, rec, end, err)
		})
	}()
}

// claimed takes in what became of a claim, which the log holds right before end.
func (h *Host) claimed(ctx context.Context, now unit.Instant, rec jobtable.Record, end id.Offset, err error) {
	if err != nil {
		h.log.Info("claim-refused", zap.Uint64("applied", uint64(h.table.Next())), zap.Error(err))
		go h.catchUpAfterClaim(ctx)
		return
	}
	if h.table.Next()+1 != end || h.stopping.Load() {
		go h.catchUpAfterClaim(ctx)
		return // there are records before it, or the reader overtook the answer
	}
	h.claiming = false
	h.applyJobs(now, []jobtable.Record{rec}, end-1)
}

// catchUpAfterClaim reads what a claim has missed. Until then another claim would miss it too.
func (h *Host) catchUpAfterClaim(ctx context.Context) {
	h.catchUp(ctx)
	h.post(ctx, func(unit.Instant) { h.claiming = false })
}

// ownership makes the host the owner, or ends that, by what the table says.
func (h *Host) ownership(now unit.Instant) {
	o := h.table.Owner()
	news := o.Epoch > h.newest
	if news {
		h.election.Claimed(now)
		h.newest = o.Epoch
	}
	if h.owner != nil && (o.Host != h.self || o.Epoch != h.owner.epoch) {
		h.stepDown("a later claim is in the store")
	}
	if h.takeover != nil && (o.Host != h.self || o.Epoch != h.takeover.epoch) {
		h.abandonTakeover()
	}
	if h.owner == nil && h.takeover == nil && o.Host == h.self && o.Epoch != h.lost && !h.stopping.Load() {
		h.beginTakeover(o.Epoch)
	}
	if o.Host == "" && o.Epoch > 0 && h.released != o.Epoch {
		h.released = o.Epoch
		h.election.Released(now)
	}
	if news {
		h.followOwner()
	}
}

// followOwner notes where the owner is reached, after a look at the group and as soon as a claim is read. By the next look alone, records
// would go to a former owner, and nobody would watch the new one.
func (h *Host) followOwner() {
	h.findGatherer()
	h.findWatched()
}

// takeOver begins to schedule, from the state in the table.
func (h *Host) takeOver(now unit.Instant, epoch id.Epoch) {
	ctx, cancel := context.WithCancel(context.Background())
	config := h.settings.Workers
	config.MostWaits = mostWaits(h.settings)
	boxes := newOutboxes(config.MostWaits)
	end := func() {
		cancel()
		boxes.close()
	}
	o := &owner{
		host: h, epoch: epoch, core: dispatch.New(config, h.settings.Policy, epoch, h.table), cancel: end, boxes: boxes,
		jobs:     ownerLog{topic: platform.TopicJobs, seq: firstSeq},
		progress: ownerLog{topic: platform.TopicProgress, seq: firstSeq},
		listed:   map[id.WorkerName]id.Worker{}, rejected: map[id.WorkerName]uint64{},
		reports: ring.New[dispatch.WaveReport](reportsWaiting),
	}
	h.owner = o
	h.election.Owned(now)
	h.metrics.owning.Store(true)
	h.metrics.takeovers.Inc()
	h.log.Info("owner", zap.Uint64("epoch", uint64(epoch)), zap.Int("jobs", len(h.table.Jobs())), zap.Uint64("applied", uint64(h.table.Next())),
		zap.Strings("off", h.settings.Policy.Off()))
	if c := h.catalog.Load(); c != nil {
		o.configure(c)
	}
	for _, j := range h.table.Jobs() {
		o.learn(now, j)
	}
	o.evacuate()
	o.inform()
	for _, n := range slices.Sorted(maps.Keys(h.waves)) {
		o.setWave(now, h.waves[n])
	}
	h.forgetProgress() // the dispatcher has it now
	go h.readServers(ctx, o)
	go o.report(ctx)
	go o.followMachines(ctx)
}

// yield hands the ownership over to an abler host, if there is one and no append is under way. Until
// the store has that, this host doesn't claim: it would find the place vacant.
func (h *Host) yield(ctx context.Context, now unit.Instant) {
	if h.owner == nil || h.stopping.Load() || !h.election.Yields(now) {
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

// stepDown ends scheduling at once.
func (h *Host) stepDown(why string) {
	if h.owner == nil {
		return
	}
	h.log.Warn("owner-ended", zap.Uint64("epoch", uint64(h.owner.epoch)), zap.String("why", why))
	h.owner.cancel()
	h.lost = h.owner.epoch
	h.owner = nil
	h.metrics.owning.Store(false)
	h.metrics.inPlace.Store(0)
}
