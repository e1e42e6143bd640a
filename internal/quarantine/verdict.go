package quarantine

import "time"

// assess returns the status of a request from the crashes that count against it. Requires mu.
//
// A request that no leaf has answered is refused at two crashes, unless one other request was in flight
// at both. In that case it may be the innocent one of the two and gets a third run alone. At three
// crashes it is refused in any case.
//
// A request that a leaf has answered does not crash every leaf that runs it. It therefore runs alone
// until three crashes count against it that nothing else explains, and after that for as long as evidence
// may take to arrive. One or two crashes beside the request that caused them never make it refused,
// however late the evidence against that request arrives.
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

// statusOf returns the status of a request's content, for any snapshot and number of hits. It counts all
// crashes, including those before an answer. Requires mu.
func (r *Registry) statusOf(s *suspect, now time.Time) Status { return r.assess(s, s.crashes, now) }

// doubtOrQuarantine returns Doubted until wait has passed since the last crash was learned, as evidence
// that clears the request may still arrive, and Quarantined after that.
func (s *suspect) doubtOrQuarantine(now time.Time, wait time.Duration) Status {
	if now.Sub(s.lastCrashLearnedAt) < wait {
		return Doubted
	}
	return Quarantined
}

// hasOtherCause reports whether one other request was in flight at all crashes of s. Requires mu.
func (r *Registry) hasOtherCause(s *suspect) bool {
	for _, o := range r.suspects {
		if o != s && o.hasAllCrashes(s.crashes) {
			return true
		}
	}
	return false
}

// countUnexplained returns the number of crashes that no other request explains: those without another
// unanswered request in flight. Requires mu.
func (r *Registry) countUnexplained(digest uint64, crashes []crash) int {
	n := 0
	for _, c := range crashes {
		if !r.otherUnansweredAt(c.crashID, digest) {
			n++
		}
	}
	return n
}

// otherUnansweredAt reports whether a request with another digest that no leaf has answered was in flight
// at the crash. Requires mu.
func (r *Registry) otherUnansweredAt(id crashID, digest uint64) bool {
	for _, o := range r.suspects {
		if o.digest != digest && !r.contentAnswered(o.digest) && o.hasCrash(id) {
			return true
		}
	}
	return false
}
