package quarantine

import (
	"time"

	"github.com/burdockplank/burdockplank/internal/upstream"
)

const (
	// lossResolutionTimeout is how long a lost connection may be that of a crash before the leaf's unchanged
	// incarnation clears the request, where no new connection has shown it before.
	lossResolutionTimeout = time.Second
	// evidencePropagationTime is how long after a loss it is known here which requests were in flight at it anywhere: a gather needs up
	// to 300 ms to be sure of a crash, and word of it 800 ms to spread.
	evidencePropagationTime = 1100 * time.Millisecond
	// abandonedWindow is how long a request that was given up unanswered may still bring its leaf down.
	abandonedWindow = time.Second
	// reconnectGracePeriod is how long a leaf without a usable connection may be just reconnecting.
	reconnectGracePeriod = 150 * time.Millisecond
	// partitionWithholdPeriod is the hold of a leaf that was out of reach for long. Syncs that meet again compare
	// all their evidence once it has differed for 2 s, one exchange after the other, each up to 3 s.
	partitionWithholdPeriod = 10 * time.Second
	// maxAbandonedPerLeaf bounds what is remembered of one leaf.
	maxAbandonedPerLeaf = 64
)

// leaf is what the registry knows of one leaf.
type leaf struct {
	// incarnation last seen, 0 before the first; connected as last seen.
	incarnation uint64
	connected   bool
	// leaving as seen while it was last connected.
	leaving bool
	// trackedSince is since when the leaf is known here.
	trackedSince time.Time
	// disconnectedAt is since when no connection has been usable, zero while one is or the loss is noted.
	disconnectedAt time.Time
	// lostAt is when it was last lost without having said that it leaves.
	lostAt time.Time
	// lostIncarnation is the one that was lost, goneAt is when that was first noted, heldUntil is until when the leaf
	// takes no first run.
	lostIncarnation  uint64
	lossFirstNotedAt time.Time
	withheldUntil    time.Time
	// unprovenInFlight counts the unproven requests in flight there from this gather; solo is true where
	// the one in flight must stay alone.
	unprovenInFlight int
	exclusive        bool
	// abandoned are the unproven requests given up lately, oldest first.
	abandoned []abandonedCall
}

// abandonedCall is an unproven request that was given up before the leaf answered, and may run on there.
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

// recordLoss notes that a leaf was lost. Requests that may still have run there become suspects.
func (r *Registry) recordLoss(id string, incarnation uint64, now time.Time) {
	l := r.leaf(id)
	if now.After(l.withheldUntil) {
		l.lossFirstNotedAt = time.Time{} // another loss than the one before
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

// RecordAbandoned notes that an unproven request was given up before the leaf answered it.
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

// Eligibility says whether a leaf may be asked first.
type Eligibility int

const (
	// PlaceFree: it may be asked.
	LeafEligible Eligibility = iota
	// PlaceHeld: it was lost so lately that the request may be the cause and evidence of it is still
	// on its way. It keeps its place without being asked, so that the next in rank isn't crashed in
	// its stead.
	LeafWithheld
	// PlaceAbsent: it is out of use for another cause; the next in rank takes its place.
	LeafUnavailable
)

// Eligibility says how a leaf stands for the first run of a request. A loss that a quarantined request
// explains holds it back from others only until it is known which of them were in flight at it, too.
func (r *Registry) Eligibility(id string, digest uint64) Eligibility {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, _ := r.eligibility(id, digest, r.clock())
	return e
}

// WithheldFor returns for how long at most the leaf keeps its place without being asked. Where the place is absent, it is
// how much longer the leaf counts as lost so lately that it may be about to come back; else 0 for one that isn't held.
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

// eligibility returns for a held place besides for how long at most it is so. Requires mu.
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

// withheldFor returns how much longer a leaf that was lost, or may have been, takes no first run of a request. Requires
// mu.
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

// disconnectedSince returns from when on a leaf without a connection counts as away: since it went, or since it
// is watched where it was never seen.
func (l *leaf) disconnectedSince() time.Time {
	if !l.disconnectedAt.IsZero() {
		return l.disconnectedAt
	}
	return l.trackedSince
}

// Withheld tells whether the leaf takes no unproven order now for a loss that the order may have caused. One that a
// quarantined request explains doesn't hold an order back, which goes to one leaf only in any case.
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

// explainedLoss tells whether the leaf was lost lately at a crash that another, quarantined request explains.
// Requires mu.
func (r *Registry) explainedLoss(id string, l *leaf, digest uint64, now time.Time) bool {
	return r.lostRecently(l, now) && r.explained(crashID{id, l.lostIncarnation}, digest)
}

// explained tells whether a quarantined request other than that of the digest was in flight at the
// crash.
func (r *Registry) explained(id crashID, digest uint64) bool {
	for _, s := range r.suspects {
		if s.digest != digest && s.hasCrash(id) && r.statusOf(s, r.clock()) == Quarantined {
			return true
		}
	}
	return false
}

// observe compares a leaf's state with the one seen before and notes a loss. A leaf was lost where it
// came back as another incarnation, or stays away, and had not said before that it leaves. What is
// said after its connections broke doesn't count: a refused connection is taken for leaving, too.
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

// observeConnected takes in the state of a leaf with a usable connection.
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
		r.withholdReturned(l, now)
	}
	if s.Incarnation != 0 {
		l.incarnation = s.Incarnation
	}
	if survived(l.lostIncarnation, s) {
		l.lostAt, l.lossFirstNotedAt, l.withheldUntil = time.Time{}, time.Time{}, time.Time{}
	}
	l.connected, l.leaving, l.disconnectedAt = true, s.Leaving, time.Time{}
}

// withholdReturned keeps a leaf that came back, as another incarnation or one that isn't shown yet, from first
// runs. It may have crashed just now, so the hold counts from now. Where it was out of reach for
// longer than evidence takes, its crash may have been seen on the other side of a cut only.
func (r *Registry) withholdReturned(l *leaf, now time.Time) {
	hold := r.settings.Hold.D()
	if !l.connected && now.Sub(l.lostAt) > hold {
		hold = max(hold, partitionWithholdPeriod)
	}
	l.noteLoss(l.incarnation, now)
	l.extendWithholding(now.Add(hold))
}

// noteLoss notes the loss of an incarnation, which may be noted again when the leaf comes back.
func (l *leaf) noteLoss(incarnation uint64, now time.Time) {
	if l.lossFirstNotedAt.IsZero() || l.lostIncarnation != incarnation {
		l.lossFirstNotedAt = now
	}
	l.lostAt, l.lostIncarnation = now, incarnation
}

// extendWithholding lengthens the hold; it never shortens one.
func (l *leaf) extendWithholding(end time.Time) {
	if end.After(l.withheldUntil) {
		l.withheldUntil = end
	}
}

// survived tells whether the incarnation, which lost a connection, has shown itself again since.
func survived(incarnation uint64, s upstream.State) bool {
	return incarnation != 0 && s.Incarnation == incarnation && s.Survived
}

// TryAcquire asks to run an unproven request on the leaf; alone where solo is set. Leave must be called
// at its end where it returns true.
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

// Release ends what Enter began and tells whether the request was the only unproven one there.
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

// resolveLosses decides which lost connections were crashes: the leaf is gone or has another incarnation.
func (r *Registry) resolveLosses(now time.Time) {
	kept := r.unresolved[:0]
	for _, l := range r.unresolved {
		switch r.classifyLoss(l, now) {
		case lossByCrash:
			r.metrics.crashes.Inc()
			r.reportCrash(l.digest, l.crash, now)
		case lossWithoutCrash:
			r.withdrawEvidence(l)
		default:
			kept = append(kept, l)
		}
	}
	r.unresolved = kept
}

// lossCause on a lost connection.
type lossCause int

const (
	lossUnresolved lossCause = iota
	lossByCrash
	lossWithoutCrash
)

func (r *Registry) classifyLoss(l loss, now time.Time) lossCause {
	s, known := r.leafState(l.leaf)
	switch {
	case survived(l.incarnation, s):
		return lossWithoutCrash
	case known && !s.Connected && (s.Leaving || now.Sub(l.notedAt) > reconnectGracePeriod):
		return lossByCrash
	case l.incarnation != 0 && s.Incarnation != 0 && s.Incarnation != l.incarnation:
		return lossByCrash
	case now.Sub(l.notedAt) > lossResolutionTimeout:
		return lossWithoutCrash
	}
	return lossUnresolved
}

// withdrawEvidence takes back what a lost connection spoke against a request.
func (r *Registry) withdrawEvidence(l loss) {
	s := r.suspects[l.digest]
	if s == nil {
		return
	}
	r.metrics.cleared.Inc()
	s.removeCrash(l.crashID)
	if len(s.crashes) == 0 {
		delete(r.suspects, l.digest)
	}
}
