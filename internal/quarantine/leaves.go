package quarantine

import (
	"time"

	"github.com/burdockplank/burdockplank/internal/upstream"
)

const (
	// evidencePropagationTime is how long after a loss this VM knows which requests were in flight at it
	// on any VM: a gather needs up to 300 ms to confirm a crash, and the evidence 800 ms to spread.
	evidencePropagationTime = 1100 * time.Millisecond
	// abandonedWindow is how long a request that was given up unanswered may still crash its leaf.
	abandonedWindow = time.Second
	// reconnectGracePeriod is how long a leaf without a usable connection counts as reconnecting rather
	// than lost.
	reconnectGracePeriod = 150 * time.Millisecond
	// partitionWithholdPeriod is how long a leaf is withheld after it was unreachable for a long time.
	// Syncs that reconnect after a partition compare all their evidence once it has differed for 2 s.
	// They run one exchange at a time, each taking up to 3 s.
	partitionWithholdPeriod = 10 * time.Second
	// shortestRestart is the shortest time in which a leaf that has returned crashes and returns again.
	shortestRestart = 100 * time.Millisecond
	// restartPeriod is how long after its loss a leaf may still be restarting.
	restartPeriod = 10 * time.Second
	// maxAbandonedPerLeaf bounds the abandoned calls remembered for one leaf.
	maxAbandonedPerLeaf = 64
)

// leaf is the registry's state for one leaf.
type leaf struct {
	// incarnation is the one last seen, 0 if none has been seen. connected is whether the leaf had a
	// usable connection when last observed.
	incarnation uint64
	connected   bool
	// leaving is whether the leaf announced its departure while it was last connected.
	leaving bool
	// trackedSince is when this registry first tracked the leaf.
	trackedSince time.Time
	// disconnectedAt is since when no connection has been usable. It is zero while one is usable and
	// once the loss has been recorded.
	disconnectedAt time.Time
	// lostAt is when the leaf was last lost without having announced its departure.
	lostAt time.Time
	// lostIncarnation is the incarnation that was lost. lossFirstNotedAt is when that loss was first
	// recorded. Until withheldUntil the leaf takes no first run.
	lostIncarnation  uint64
	lossFirstNotedAt time.Time
	withheldUntil    time.Time
	// unprovenInFlight counts this gather's unproven requests in flight at the leaf. exclusive is true
	// if the one in flight admits no other beside it.
	unprovenInFlight int
	exclusive        bool
	// abandoned lists the unproven calls given up recently, oldest first.
	abandoned []abandonedCall
}

// abandonedCall is an unproven request that was given up before the leaf answered and that may still
// run there.
type abandonedCall struct {
	digest      uint64
	incarnation uint64
	at          time.Time
}

func (r *Registry) leaf(id string) *leaf {
	l := r.leaves[id]
	if l == nil {
		l = &leaf{trackedSince: r.clock()}
		r.leaves[id] = l
	}
	return l
}

// recordLoss records that a leaf was lost and withholds it from first runs. Abandoned requests that
// may still have run there become suspects. Requires mu.
func (r *Registry) recordLoss(id string, incarnation uint64, now time.Time) {
	l := r.leaf(id)
	if now.After(l.withheldUntil) {
		l.lossFirstNotedAt = time.Time{} // a new loss, not a repeated record of the previous one
	}
	l.noteLoss(incarnation, now)
	l.disconnectedAt = time.Time{}
	l.extendWithholding(now.Add(r.settings.Hold.D()))
	calls := l.abandoned
	l.abandoned = nil
	for _, a := range calls {
		if now.Sub(a.at) <= abandonedWindow {
			r.addLoss(a.digest, crash{crashID: crashID{id, a.incarnation}, renewedAt: now}, now)
		}
	}
}

// RecordAbandoned records that an unproven request was given up before the leaf answered it. If the
// incarnation is 0, the one last seen is recorded.
func (r *Registry) RecordAbandoned(digest uint64, id string, incarnation uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.leaf(id)
	if incarnation == 0 {
		incarnation = l.incarnation
	}
	if len(l.abandoned) >= maxAbandonedPerLeaf {
		l.abandoned = l.abandoned[1:]
	}
	l.abandoned = append(l.abandoned, abandonedCall{digest: digest, incarnation: incarnation, at: r.clock()})
}

// Eligibility says whether a leaf may take the first run of a request.
type Eligibility int

const (
	// LeafEligible means that the leaf may take the first run.
	LeafEligible Eligibility = iota
	// LeafWithheld means that the leaf was lost so recently that the request may be the cause, with
	// the evidence still spreading. The leaf keeps its place in the ranking but gets no call, so that
	// the next in rank is not crashed instead.
	LeafWithheld
	// LeafUnavailable means that the leaf is out of use for another reason. The next in rank takes its
	// place.
	LeafUnavailable
)

var eligibilityNames = [...]string{"eligible", "withheld", "unavailable"}

// String returns the name used in log lines.
func (e Eligibility) String() string { return eligibilityNames[e] }

// Eligibility returns whether the leaf may take the first run of the request. If a quarantined request
// explains the leaf's loss, the leaf is withheld from other requests only until it is known which of
// them were also in flight at the loss.
func (r *Registry) Eligibility(id string, digest uint64) Eligibility {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, _ := r.eligibility(id, digest, r.clock())
	return e
}

// WithheldFor returns how much longer at most the leaf is withheld from the request, or 0 if it is
// eligible. For an unavailable leaf it returns how much longer the leaf counts as lost so recently that
// it may be about to return.
func (r *Registry) WithheldFor(id string, digest uint64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	e, remaining := r.eligibility(id, digest, now)
	if e == LeafUnavailable {
		return max(0, r.leaf(id).withheldUntil.Sub(now))
	}
	return remaining
}

// MayReturn reports whether the leaf was lost so recently, without having announced its departure, that it is probably
// being restarted.
func (r *Registry) MayReturn(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.leaf(id)
	return !l.leaving && r.clock().Sub(l.lostAt) < restartPeriod
}

// eligibility also returns how much longer at most a withheld leaf stays so. Requires mu.
func (r *Registry) eligibility(id string, digest uint64, now time.Time) (Eligibility, time.Duration) {
	r.observe(id, now)
	l := r.leaf(id)
	if l.connected && l.leaving {
		return LeafUnavailable, 0
	}
	if remaining := r.withheldFor(id, l, digest, now); remaining > 0 {
		return LeafWithheld, remaining
	}
	if !l.connected {
		return LeafUnavailable, 0
	}
	return LeafEligible, 0
}

// withheldFor returns how much longer a leaf that was lost, or may have been, takes no first run of a
// request. Requires mu.
func (r *Registry) withheldFor(id string, l *leaf, digest uint64, now time.Time) time.Duration {
	hold := r.settings.Hold.D()
	switch {
	case r.explainedLoss(id, l, digest, now):
		return min(l.lossFirstNotedAt.Add(min(evidencePropagationTime, hold)).Sub(now), l.withheldUntil.Sub(now))
	case r.lostRecently(l, now):
		return l.withheldUntil.Sub(now)
	case !l.connected && !l.leaving:
		return hold - now.Sub(l.disconnectedSince())
	}
	return 0
}

// disconnectedSince returns since when a leaf without a connection counts as disconnected: since its
// connections broke, or since it is tracked if it was never seen connected.
func (l *leaf) disconnectedSince() time.Time {
	if !l.disconnectedAt.IsZero() {
		return l.disconnectedAt
	}
	return l.trackedSince
}

// Withheld reports whether the leaf takes no unproven order now because of a loss that the order may
// have caused. A loss that a quarantined request explains does not withhold the leaf from orders, since
// an order goes to one leaf only in any case.
func (r *Registry) Withheld(id string, digest uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	e, _ := r.eligibility(id, digest, now)
	return e == LeafWithheld && !r.explainedLoss(id, r.leaf(id), digest, now)
}

func (r *Registry) lostRecently(l *leaf, now time.Time) bool {
	return now.Before(l.withheldUntil)
}

// explainedLoss reports whether the leaf was lost recently at a crash that another, quarantined request
// explains. Requires mu.
func (r *Registry) explainedLoss(id string, l *leaf, digest uint64, now time.Time) bool {
	return r.lostRecently(l, now) && r.explained(crashID{id, l.lostIncarnation}, digest)
}

// explained reports whether a quarantined request with another digest was in flight at the crash.
// Requires mu.
func (r *Registry) explained(id crashID, digest uint64) bool {
	for _, s := range r.suspects {
		if s.digest != digest && s.hasCrash(id) && r.statusOf(s, r.clock()) == Quarantined {
			return true
		}
	}
	return false
}

// observe compares a leaf's state with the previous one and records a loss. A leaf is lost if it
// returns with another incarnation or stays disconnected without having announced its departure.
// A departure announced only after the connections broke does not count, because a refused connection
// also sets Leaving. Requires mu.
func (r *Registry) observe(id string, now time.Time) {
	s, known := r.leafState(id)
	if !known {
		return
	}
	l := r.leaf(id)
	if s.Connected {
		r.observeConnected(id, l, s, now)
		return
	}
	if l.connected && !l.leaving {
		l.disconnectedAt = now
	}
	l.connected = false
	if !l.disconnectedAt.IsZero() && (s.Leaving || now.Sub(l.disconnectedAt) > reconnectGracePeriod) {
		r.recordLoss(id, l.incarnation, l.disconnectedAt)
	}
}

// observeConnected applies the state of a leaf with a usable connection. Requires mu.
func (r *Registry) observeConnected(id string, l *leaf, s upstream.State, now time.Time) {
	replaced := l.incarnation != 0 && s.Incarnation != 0 && s.Incarnation != l.incarnation
	if replaced && !l.leaving {
		at := now
		if !l.disconnectedAt.IsZero() {
			at = l.disconnectedAt
		}
		if l.connected || !l.disconnectedAt.IsZero() {
			r.recordLoss(id, l.incarnation, at)
		}
	}
	if reconnected := !l.connected && l.disconnectedAt.IsZero() && l.incarnation != 0; (replaced || reconnected) && !l.leaving {
		r.withholdReturned(l, s.UnseenFor, now)
	}
	if s.Incarnation != 0 {
		l.incarnation = s.Incarnation
	}
	if survived(l.lostIncarnation, s) {
		l.lostAt, l.lossFirstNotedAt, l.withheldUntil = time.Time{}, time.Time{}, time.Time{}
	}
	l.connected, l.leaving, l.disconnectedAt = true, s.Leaving, time.Time{}
}

// withholdReturned withholds from first runs a leaf that returned with another incarnation or with one
// it has not shown yet. The leaf may have crashed just now, so the period starts now. If it was
// unreachable for longer than evidence takes to spread, its crash may have been observed only on the
// other side of a partition, and the period is at least partitionWithholdPeriod. If the leaf may have returned and crashed
// once more in the time for which nothing was known of it, what explains the loss that was seen does not explain that one.
func (r *Registry) withholdReturned(l *leaf, unseenFor time.Duration, now time.Time) {
	hold := r.settings.Hold.D()
	if !l.connected && now.Sub(l.lostAt) > hold {
		hold = max(hold, partitionWithholdPeriod)
	}
	l.noteLoss(l.incarnation, now)
	if unseenFor > shortestRestart {
		l.lossFirstNotedAt = now
	}
	l.extendWithholding(now.Add(hold))
}

// noteLoss records the loss of an incarnation. The same loss may be recorded again when the leaf
// returns.
func (l *leaf) noteLoss(incarnation uint64, now time.Time) {
	if l.lossFirstNotedAt.IsZero() || l.lostIncarnation != incarnation {
		l.lossFirstNotedAt = now
	}
	l.lostAt, l.lostIncarnation = now, incarnation
}

// extendWithholding moves withheldUntil to end unless it is later already.
func (l *leaf) extendWithholding(end time.Time) {
	if end.After(l.withheldUntil) {
		l.withheldUntil = end
	}
}

// survived reports whether the incarnation that lost a connection has been seen again since.
func survived(incarnation uint64, s upstream.State) bool {
	return incarnation != 0 && s.Incarnation == incarnation && s.Survived
}

// TryAcquire reports whether an unproven request may run on the leaf now. With exclusive set, no other
// unproven request from this gather runs there at the same time. If it returns true, the caller must
// call Release when the request ends.
func (r *Registry) TryAcquire(id string, exclusive bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.leaf(id)
	if l.exclusive || exclusive && l.unprovenInFlight > 0 {
		return false
	}
	l.unprovenInFlight++
	l.exclusive = exclusive
	return true
}

// Release ends a run admitted by TryAcquire and reports whether the request was the only unproven one
// in flight at the leaf.
func (r *Registry) Release(id string) (alone bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.leaf(id)
	alone = l.unprovenInFlight == 1
	l.unprovenInFlight--
	if l.unprovenInFlight == 0 {
		l.exclusive = false
	}
	return alone
}
