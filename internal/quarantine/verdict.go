package quarantine

import "time"

// verdict says what the crashes that speak against a request amount to.
//
// A request that no leaf has answered is refused at two, unless one other request was in flight at both: then
// it may be the innocent one of the two, and gets a third run alone. At three it is refused in any case.
//
// One that a leaf has answered doesn't crash each leaf that runs it, so that it runs alone until three crashes
// speak against it that nothing else explains, and for as long after as evidence may take. However late word of
// the request that caused them comes, one or two crashes beside it don't make it refused.
func (r *Registry) verdict(s *suspect, against []crash, now time.Time) Status {
	if r.known(s.digest) {
		if r.unexplained(s.digest, against) < crashesToRefuseKnown {
			return Suspect
		}
		return s.doubted(now, r.settings.Hold.D())
	}
	switch n := len(against); {
	case n < crashesToQuarantine:
		return Suspect
	case n > crashesToQuarantine:
		return Quarantined
	case r.excused(s):
		return Suspect
	}
	return s.doubted(now, doubtFor)
}

// stands is the verdict on a request in all its forms.
func (r *Registry) stands(s *suspect, now time.Time) Status { return r.verdict(s, s.crashes, now) }

// doubted holds the refusal of a request back for a time in which evidence that clears it may come.
func (s *suspect) doubted(now time.Time, wait time.Duration) Status {
	if now.Sub(s.learned) < wait {
		return Doubted
	}
	return Quarantined
}

// excused tells whether another request was in flight at all crashes of s.
func (r *Registry) excused(s *suspect) bool {
	for _, o := range r.suspects {
		if o != s && o.hasAll(s.crashes) {
			return true
		}
	}
	return false
}

// unexplained counts the crashes at which no other request was in flight that no leaf has answered.
func (r *Registry) unexplained(digest uint64, crashes []crash) int {
	n := 0
	for _, c := range crashes {
		if !r.unknownAt(c.crashID, digest) {
			n++
		}
	}
	return n
}

// unknownAt tells whether a request other than that of the digest, which no leaf has answered, was in flight
// at the crash.
func (r *Registry) unknownAt(id crashID, digest uint64) bool {
	for _, o := range r.suspects {
		if o.digest != digest && !r.known(o.digest) && o.has(id) {
			return true
		}
	}
	return false
}
