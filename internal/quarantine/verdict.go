package quarantine

import "time"

// assess says what the crashes that speak against a request amount to.
//
// A request that no leaf has answered is refused at two, unless one other request was in flight at both: then
// it may be the innocent one of the two, and gets a third run alone. At three it is refused in any case.
//
// One that a leaf has answered doesn't crash each leaf that runs it, so that it runs alone until three crashes
// speak against it that nothing else explains, and for as long after as evidence may take. However late word of
// the request that caused them comes, one or two crashes beside it don't make it refused.
func (r *Registry) assess(s *suspect, crashes []crash, now time.Time) Status {
	if r.contentAnswered(s.digest) {
		if r.countUnexplained(s.digest, crashes) < crashesToQuarantineAnswered {
			return Suspect
		}
		return s.doubtOrQuarantine(now, r.settings.Hold.D())
	}
	switch n := len(crashes); {
	case n < crashesToQuarantine:
		return Suspect
	case n > crashesToQuarantine:
		return Quarantined
	case r.hasOtherCause(s):
		return Suspect
	}
	return s.doubtOrQuarantine(now, doubtPeriod)
}

// statusOf is the verdict on a request in all its forms.
func (r *Registry) statusOf(s *suspect, now time.Time) Status { return r.assess(s, s.crashes, now) }

// doubtOrQuarantine holds the refusal of a request back for a time in which evidence that clears it may come.
func (s *suspect) doubtOrQuarantine(now time.Time, wait time.Duration) Status {
	if now.Sub(s.lastCrashLearnedAt) < wait {
		return Doubted
	}
	return Quarantined
}

// hasOtherCause tells whether another request was in flight at all crashes of s.
func (r *Registry) hasOtherCause(s *suspect) bool {
	for _, o := range r.suspects {
		if o != s && o.hasAllCrashes(s.crashes) {
			return true
		}
	}
	return false
}

// countUnexplained counts the crashes at which no other request was in flight that no leaf has answered.
func (r *Registry) countUnexplained(digest uint64, crashes []crash) int {
	n := 0
	for _, c := range crashes {
		if !r.otherUnansweredAt(c.crashID, digest) {
			n++
		}
	}
	return n
}

// otherUnansweredAt tells whether a request other than that of the digest, which no leaf has answered, was in flight
// at the crash.
func (r *Registry) otherUnansweredAt(id crashID, digest uint64) bool {
	for _, o := range r.suspects {
		if o.digest != digest && !r.contentAnswered(o.digest) && o.hasCrash(id) {
			return true
		}
	}
	return false
}
