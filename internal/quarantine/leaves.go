package quarantine

import (
	"time"
)

const (
	// unsureFor is how long a lost connection may be that of a crash before the leaf's unchanged
	// incarnation clears the request.
	unsureFor = time.Second
)

// leaf is what the registry knows of one leaf.
type leaf struct {
	// incarnation last seen, 0 before the first; connected as last seen.
	incarnation uint64
	connected   bool
	// lostAt is when it was last lost without having said that it leaves.
	lostAt time.Time
	// unproven counts the unproven requests in flight there from this gather; solo is true where
	// the one in flight must stay alone.
	unproven int
	solo     bool
}

func (r *Registry) leaf(id string) *leaf {
	l := r.leaves[id]
	if l == nil {
		l = &leaf{}
		r.leaves[id] = l
	}
	return l
}

func (r *Registry) lose(id string, now time.Time) { r.leaf(id).lostAt = now }

// Held tells whether the leaf was lost so lately that evidence of the crash may not be everywhere
// yet; it takes no first run then.
func (r *Registry) Held(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	r.sample(id, now)
	l := r.leaf(id)
	return !l.lostAt.IsZero() && now.Sub(l.lostAt) < r.settings.Hold.D()
}

// sample compares a leaf's state with the one seen before. One that went away or came back as
// another incarnation, and wasn't leaving, was lost.
func (r *Registry) sample(id string, now time.Time) {
	s, known := r.states(id)
	if !known {
		return
	}
	l := r.leaf(id)
	replaced := l.incarnation != 0 && s.Incarnation != 0 && s.Incarnation != l.incarnation
	gone := l.connected && !s.Connected
	if s.Incarnation != 0 {
		l.incarnation = s.Incarnation
	}
	wasConnected := l.connected
	l.connected = s.Connected
	if s.Leaving {
		return
	}
	if gone || replaced && wasConnected {
		l.lostAt = now
	}
}

// Enter asks to run an unproven request on the leaf; alone where solo is set. Leave must be called
// at its end where it returns true.
func (r *Registry) Enter(id string, solo bool) bool {
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

// Leave ends what Enter began and tells whether the request was the only unproven one there.
func (r *Registry) Leave(id string) (alone bool) {
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
	case !known, !s.Connected:
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
