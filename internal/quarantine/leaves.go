package quarantine

import (
	"time"

	"github.com/burdockplank/burdockplank/internal/upstream"
)

const (
	// unsureFor is how long a lost connection may be that of a crash before the leaf's unchanged
	// incarnation clears the request, where no new connection has shown it before.
	unsureFor = time.Second
	// wordFor is how long after a loss it is known here which requests were in flight at it anywhere: a gather needs up
	// to 300 ms to be sure of a crash, and word of it 800 ms to spread.
	wordFor = 1100 * time.Millisecond
	// abandonedFor is how long a request that was given up unanswered may still bring its leaf down.
	abandonedFor = time.Second
	// awayFor is how long a leaf without a usable connection may be just reconnecting.
	awayFor = 150 * time.Millisecond
	// reunionHold is the hold of a leaf that was out of reach for long. Syncs that meet again compare
	// all their evidence once it has differed for 2 s, one exchange after the other, each up to 3 s.
	reunionHold = 10 * time.Second
	// maxAbandoned bounds what is remembered of one leaf.
	maxAbandoned = 64
)

// leaf is what the registry knows of one leaf.
type leaf struct {
	// incarnation last seen, 0 before the first; connected as last seen.
	incarnation uint64
	connected   bool
	// leaving as seen while it was last connected.
	leaving bool
	// watched is since when the leaf is known here.
	watched time.Time
	// awayAt is since when no connection has been usable, zero while one is or the loss is noted.
	awayAt time.Time
	// lostAt is when it was last lost without having said that it leaves.
	lostAt time.Time
	// lostIncarnation is the one that was lost, goneAt is when that was first noted, heldUntil is until when the leaf
	// takes no first run.
	lostIncarnation uint64
	goneAt          time.Time
	heldUntil       time.Time
	// unproven counts the unproven requests in flight there from this gather; solo is true where
	// the one in flight must stay alone.
	unproven int
	solo     bool
	// abandoned are the unproven requests given up lately, oldest first.
	abandoned []abandoned
}

// abandoned is an unproven request that was given up before the leaf answered, and may run on there.
type abandoned struct {
	digest      uint64
	incarnation uint64
	at          time.Time
}

func (r *Registry) leaf(id string) *leaf {
	l := r.leaves[id]
	if l == nil {
		l = &leaf{watched: r.clock()}
		r.leaves[id] = l
	}
	return l
}

// lose notes that a leaf was lost. Requests that may still have run there become suspects.
func (r *Registry) lose(id string, incarnation uint64, now time.Time) {
	l := r.leaf(id)
	if now.After(l.heldUntil) {
		l.goneAt = time.Time{} // another loss than the one before
	}
	l.lost(incarnation, now)
	l.awayAt = time.Time{}
	l.holdTo(now.Add(r.settings.Hold.D()))
	left := l.abandoned
	l.abandoned = nil
	for _, a := range left {
		if now.Sub(a.at) <= abandonedFor {
			r.accuse(a.digest, crash{crashID: crashID{id, a.incarnation}, at: now}, now)
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
	if len(l.abandoned) >= maxAbandoned {
		l.abandoned = l.abandoned[1:]
	}
	l.abandoned = append(l.abandoned, abandoned{digest: digest, incarnation: incarnation, at: r.clock()})
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
	p, _ := r.place(id, digest, r.clock())
	return p
}

// WithheldFor returns for how long at most the leaf keeps its place without being asked. Where the place is absent, it is
// how much longer the leaf counts as lost so lately that it may be about to come back; else 0 for one that isn't held.
func (r *Registry) WithheldFor(id string, digest uint64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	p, rest := r.place(id, digest, now)
	if p == LeafUnavailable {
		return max(0, r.leaf(id).heldUntil.Sub(now))
	}
	return rest
}

// place returns for a held place besides for how long at most it is so. Requires mu.
func (r *Registry) place(id string, digest uint64, now time.Time) (Eligibility, time.Duration) {
	r.sample(id, now)
	l := r.leaf(id)
	if l.connected && l.leaving {
		return LeafUnavailable, 0
	}
	if rest := r.heldFor(id, l, digest, now); rest > 0 {
		return LeafWithheld, rest
	}
	if !l.connected {
		return LeafUnavailable, 0
	}
	return LeafEligible, 0
}

// heldFor returns how much longer a leaf that was lost, or may have been, takes no first run of a request. Requires
// mu.
func (r *Registry) heldFor(id string, l *leaf, digest uint64, now time.Time) time.Duration {
	hold := r.settings.Hold.D()
	switch {
	case r.explainedLoss(id, l, digest, now):
		return min(l.goneAt.Add(min(wordFor, hold)).Sub(now), l.heldUntil.Sub(now))
	case r.lostLately(l, now):
		return l.heldUntil.Sub(now)
	case !l.connected && !l.leaving:
		return hold - now.Sub(l.since())
	}
	return 0
}

// since returns from when on a leaf without a connection counts as away: since it went, or since it
// is watched where it was never seen.
func (l *leaf) since() time.Time {
	if !l.awayAt.IsZero() {
		return l.awayAt
	}
	return l.watched
}

// Held tells whether the leaf takes no unproven order now for a loss that the order may have caused. One that a
// quarantined request explains doesn't hold an order back, which goes to one leaf only in any case.
func (r *Registry) Held(id string, digest uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	p, _ := r.place(id, digest, now)
	return p == LeafWithheld && !r.explainedLoss(id, r.leaf(id), digest, now)
}

func (r *Registry) lostLately(l *leaf, now time.Time) bool {
	return now.Before(l.heldUntil)
}

// explainedLoss tells whether the leaf was lost lately at a crash that another, quarantined request explains.
// Requires mu.
func (r *Registry) explainedLoss(id string, l *leaf, digest uint64, now time.Time) bool {
	return r.lostLately(l, now) && r.explained(crashID{id, l.lostIncarnation}, digest)
}

// explained tells whether a quarantined request other than that of the digest was in flight at the
// crash.
func (r *Registry) explained(id crashID, digest uint64) bool {
	for _, s := range r.suspects {
		if s.digest != digest && s.has(id) && r.stands(s, r.clock()) == Quarantined {
			return true
		}
	}
	return false
}

// sample compares a leaf's state with the one seen before and notes a loss. A leaf was lost where it
// came back as another incarnation, or stays away, and had not said before that it leaves. What is
// said after its connections broke doesn't count: a refused connection is taken for leaving, too.
func (r *Registry) sample(id string, now time.Time) {
	s, known := r.states(id)
	if !known {
		return
	}
	l := r.leaf(id)
	if s.Connected {
		r.present(id, l, s, now)
		return
	}
	if l.connected && !l.leaving {
		l.awayAt = now
	}
	l.connected = false
	if !l.awayAt.IsZero() && (s.Leaving || now.Sub(l.awayAt) > awayFor) {
		r.lose(id, l.incarnation, l.awayAt)
	}
}

// present takes in the state of a leaf with a usable connection.
func (r *Registry) present(id string, l *leaf, s upstream.State, now time.Time) {
	replaced := l.incarnation != 0 && s.Incarnation != 0 && s.Incarnation != l.incarnation
	if replaced && !l.leaving {
		at := now
		if !l.awayAt.IsZero() {
			at = l.awayAt
		}
		if l.connected || !l.awayAt.IsZero() {
			r.lose(id, l.incarnation, at)
		}
	}
	if back := !l.connected && l.awayAt.IsZero() && l.incarnation != 0; (replaced || back) && !l.leaving {
		r.hold(l, now)
	}
	if s.Incarnation != 0 {
		l.incarnation = s.Incarnation
	}
	if survived(l.lostIncarnation, s) {
		l.lostAt, l.goneAt, l.heldUntil = time.Time{}, time.Time{}, time.Time{}
	}
	l.connected, l.leaving, l.awayAt = true, s.Leaving, time.Time{}
}

// hold keeps a leaf that came back, as another incarnation or one that isn't shown yet, from first
// runs. It may have crashed just now, so the hold counts from now. Where it was out of reach for
// longer than evidence takes, its crash may have been seen on the other side of a cut only.
func (r *Registry) hold(l *leaf, now time.Time) {
	hold := r.settings.Hold.D()
	if !l.connected && now.Sub(l.lostAt) > hold {
		hold = max(hold, reunionHold)
	}
	l.lost(l.incarnation, now)
	l.holdTo(now.Add(hold))
}

// lost notes the loss of an incarnation, which may be noted again when the leaf comes back.
func (l *leaf) lost(incarnation uint64, now time.Time) {
	if l.goneAt.IsZero() || l.lostIncarnation != incarnation {
		l.goneAt = now
	}
	l.lostAt, l.lostIncarnation = now, incarnation
}

// holdTo lengthens the hold; it never shortens one.
func (l *leaf) holdTo(end time.Time) {
	if end.After(l.heldUntil) {
		l.heldUntil = end
	}
}

// survived tells whether the incarnation, which lost a connection, has shown itself again since.
func survived(incarnation uint64, s upstream.State) bool {
	return incarnation != 0 && s.Incarnation == incarnation && s.Survived
}

// TryAcquire asks to run an unproven request on the leaf; alone where solo is set. Leave must be called
// at its end where it returns true.
func (r *Registry) TryAcquire(id string, solo bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.leaf(id)
	if l.solo || solo && l.unproven > 0 {
		return false
	}
	l.unproven++
	l.solo = solo
	return true
}

// Release ends what Enter began and tells whether the request was the only unproven one there.
func (r *Registry) Release(id string) (alone bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.leaf(id)
	alone = l.unproven == 1
	l.unproven--
	if l.unproven == 0 {
		l.solo = false
	}
	return alone
}

// settle decides which lost connections were crashes: the leaf is gone or has another incarnation.
func (r *Registry) settle(now time.Time) {
	kept := r.unsure[:0]
	for _, u := range r.unsure {
		switch r.judge(u, now) {
		case verdictCrash:
			r.metrics.crashes.Inc()
			r.tell(u.digest, u.crash, now)
		case verdictAlive:
			r.clear(u)
		default:
			kept = append(kept, u)
		}
	}
	r.unsure = kept
}

// verdict on a lost connection.
type verdict int

const (
	verdictUnsure verdict = iota
	verdictCrash
	verdictAlive
)

func (r *Registry) judge(u loss, now time.Time) verdict {
	s, known := r.states(u.leaf)
	switch {
	case survived(u.incarnation, s):
		return verdictAlive
	case known && !s.Connected && (s.Leaving || now.Sub(u.seen) > awayFor):
		return verdictCrash
	case u.incarnation != 0 && s.Incarnation != 0 && s.Incarnation != u.incarnation:
		return verdictCrash
	case now.Sub(u.seen) > unsureFor:
		return verdictAlive
	}
	return verdictUnsure
}

// clear takes back what a lost connection spoke against a request.
func (r *Registry) clear(u loss) {
	s := r.suspects[u.digest]
	if s == nil {
		return
	}
	r.metrics.cleared.Inc()
	s.drop(u.crashID)
	if len(s.crashes) == 0 {
		delete(r.suspects, u.digest)
	}
}
