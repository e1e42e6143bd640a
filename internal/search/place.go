package search

import (
	"context"
	"slices"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// shard is the state of one shard of a run.
type shard struct {
	target
	request *pb.LeafSearchRequest
	answer  *pb.LeafSearchResponse
	// settled is true once no further call will be made for the shard.
	settled bool
	reason  pb.Reason
	peer    string
	// parked is true if the latest call failed and the next one waits until a leaf has answered the request.
	parked  bool
	failure failure
	// awaitingSlot is true while the shard waits for a slot. waitingSince is when that wait began, and slotWait the total
	// wait before calls.
	awaitingSlot                      bool
	waitingSince                      time.Time
	slotWait                          time.Duration
	inFlight, attempts, sheds, losses int
	unsent                            int
	hedged                            bool
	attempted                         []string
	// anyReplica is true if a replica may be called a second time.
	anyReplica bool
	hedgeAt    time.Time
	// ctx is the context of the shard's calls, set at the first call.
	ctx    context.Context
	cancel context.CancelFunc
}

// start launches a call of shard i, or waits for a slot.
func (r *run) start(i int) {
	s := &r.shards[i]
	s.awaitingSlot = false
	candidates := r.candidates(s)
	if len(candidates) == 0 {
		peer := s.peer
		if peer == "" {
			peer = s.firstListed()
		}
		r.settle(i, orElse(s.reason, pb.Reason_REASON_NO_UPSTREAM), peer)
		return
	}
	if call, ok := r.q.replicas.Pick(candidates); ok {
		s.endSlotWait()
		r.launch(i, call, "")
		return
	}
	if s.waitingSince.IsZero() {
		s.waitingSince = time.Now()
	}
	if !r.awaitSlot(candidates) {
		r.settle(i, pb.Reason_REASON_OVERLOAD, "")
		return
	}
	s.awaitingSlot = true
}

// endSlotWait adds the current wait for a slot, if any, to slotWait.
func (s *shard) endSlotWait() {
	if !s.waitingSince.IsZero() {
		s.slotWait += time.Since(s.waitingSince)
		s.waitingSince = time.Time{}
	}
}

// setBlocked records whether the run waits for leaves that it is not allowed to call yet. This is not a wait for slots,
// so other searches run meanwhile. When it counted as load, a few such searches caused all others to be refused.
func (r *run) setBlocked(blocked bool) {
	if blocked != r.blockedSince.IsZero() {
		return
	}
	limiter := r.q.state.limiter
	if blocked {
		r.blockedSince = time.Now()
		if limiter != nil {
			limiter.pause()
		}
		return
	}
	r.blockedTime += time.Since(r.blockedSince)
	r.blockedSince = time.Time{}
	if limiter != nil {
		limiter.resume()
	}
}

// slotWait returns how long the run waited for slots: until the first call, and after it for as many shards as its kind
// waits for.
func (r *run) slotWait() time.Duration {
	if r.firstSent.IsZero() {
		return time.Since(r.started) - r.blockedTime
	}
	waits := make([]time.Duration, 0, len(r.shards))
	for i := range r.shards {
		r.shards[i].endSlotWait()
		waits = append(waits, r.shards[i].slotWait)
	}
	slices.Sort(waits)
	return r.firstSent.Sub(r.started) + waits[r.policy().needed(len(waits))-1]
}

// startWithoutWait launches a call of shard i. The shard is missing if no candidate has a free slot.
func (r *run) startWithoutWait(i int, candidates []string) {
	if call, ok := r.q.replicas.Pick(candidates); ok {
		r.launch(i, call, "")
		return
	}
	r.settle(i, r.shards[i].reason, "")
}

func orElse(reason, other pb.Reason) pb.Reason {
	if reason == pb.Reason_REASON_UNSPECIFIED {
		return other
	}
	return reason
}

// candidates returns the replicas of the shard that may be called now.
func (r *run) candidates(s *shard) []string { return r.usableReplicas(s, s.anyReplica) }

// usableReplicas returns the usable replicas of the shard. Those called before are included if includeAttempted is set.
func (r *run) usableReplicas(s *shard, includeAttempted bool) []string {
	list := make([]string, 0, len(s.replicas))
	for _, l := range s.replicas {
		if (includeAttempted || !slices.Contains(s.attempted, l)) && r.fleet.usable(l, r.plan.snapshot.Version) {
			list = append(list, l)
		}
	}
	return list
}

// awaitSlot registers the run for a slot of the leaves. It returns false if too many searches wait already.
func (r *run) awaitSlot(leaves []string) bool {
	if r.waiter == nil {
		r.waiter = r.q.state.slots.join(r.e.settings.MaxWaiting)
	}
	if r.waiter == nil {
		return false
	}
	r.q.state.slots.register(r.waiter, leaves)
	return true
}

// freeSlots returns the channel that receives the leaf of a free slot, nil if the run has never waited.
func (r *run) freeSlots() <-chan string {
	if r.waiter == nil {
		return nil
	}
	return r.waiter.wake
}

// handleFreeSlot uses the free slot of the leaf, or passes it on if nothing in the run waits for it.
func (r *run) handleFreeSlot(leaf string) {
	if !r.needsSlot(leaf) {
		r.q.state.slots.slotFreed(leaf)
	}
	r.startWaiting()
}

// needsSlot reports whether the run can use a free slot of the leaf.
func (r *run) needsSlot(leaf string) bool {
	if r.firstRun != nil {
		return true
	}
	for i := range r.shards {
		if s := &r.shards[i]; s.awaitingSlot && slices.Contains(s.replicas, leaf) {
			return true
		}
	}
	return false
}

func (r *run) stopWaiting() {
	if r.waiter != nil {
		r.q.state.slots.leave(r.waiter)
	}
}

// startWaiting retries everything that waits for a slot.
func (r *run) startWaiting() {
	for i := range r.shards {
		if r.shards[i].awaitingSlot {
			r.start(i)
		}
	}
	if r.firstRun != nil {
		r.firstRun.advance()
	}
}
