package quarantine

import (
	"slices"
	"time"
)

// crashID identifies one crash. A crash that several VMs observe has one ID and counts once.
type crashID struct {
	leaf        string
	incarnation uint64
}

// crash is evidence that a request was in flight at a crash.
type crash struct {
	crashID
	// renewedAt is when the crash occurred or its evidence was last renewed, by the local clock.
	// occurredAt is the time of the crash as first recorded here; renewals do not change it.
	renewedAt, occurredAt time.Time
	// alone is true if the observing VM had no other unproven request in flight at the leaf.
	alone bool
	// shared is true if the other VMs have this evidence. answerReported is true if they also have the
	// report that a leaf has answered the request.
	shared, answerReported bool
}

// suspect is the crash evidence against one request.
type suspect struct {
	digest  uint64
	crashes []crash
	// lastCrashLearnedAt is when the last crash was added to crashes.
	lastCrashLearnedAt time.Time
	// lastRenewalReportedAt is when the evidence was last reported again to the other VMs because the
	// request was sent again.
	lastRenewalReportedAt time.Time
}

// addCrash adds a crash and reports whether it was new. If the crash is already recorded, the later
// of the two times is kept. Above maxCrashesPerRequest the crash is ignored.
func (s *suspect) addCrash(c crash, now time.Time) bool {
	for i := range s.crashes {
		if s.crashes[i].crashID == c.crashID {
			if c.renewedAt.After(s.crashes[i].renewedAt) {
				s.crashes[i].renewedAt = c.renewedAt
			}
			return false
		}
	}
	if len(s.crashes) >= maxCrashesPerRequest {
		return false
	}
	c.occurredAt = c.renewedAt
	s.crashes = append(s.crashes, c)
	s.lastCrashLearnedAt = now
	return true
}

// crashesAfter returns the crashes that occurred after the last answer to the request, or all crashes
// if answer is nil. An answer refutes the earlier crashes, because the leaf survived the request.
func (s *suspect) crashesAfter(answer *answerRecord) []crash {
	if answer == nil {
		return s.crashes
	}
	var later []crash
	for _, c := range s.crashes {
		if c.occurredAt.After(answer.answeredAt) {
			later = append(later, c)
		}
	}
	return later
}

// hasCrash reports whether the request was in flight at the crash.
func (s *suspect) hasCrash(id crashID) bool {
	return slices.ContainsFunc(s.crashes, func(c crash) bool { return c.crashID == id })
}

// newestEvidenceAt returns the latest time at which any of the evidence occurred or was renewed, or
// the zero time if there is none.
func (s *suspect) newestEvidenceAt() time.Time {
	var t time.Time
	for i := range s.crashes {
		if s.crashes[i].renewedAt.After(t) {
			t = s.crashes[i].renewedAt
		}
	}
	return t
}

// hasAllCrashes reports whether the request was in flight at each of the crashes.
func (s *suspect) hasAllCrashes(crashes []crash) bool {
	for _, c := range crashes {
		if !s.hasCrash(c.crashID) {
			return false
		}
	}
	return true
}

// markShared records that the other VMs have the crash and, if answerReported is set, also the report
// that the request was answered.
func (s *suspect) markShared(id crashID, answerReported bool) {
	for i := range s.crashes {
		if c := &s.crashes[i]; c.crashID == id {
			c.shared, c.answerReported = true, c.answerReported || answerReported
		}
	}
}

// removeCrash removes a connection loss that turned out not to be a crash.
func (s *suspect) removeCrash(id crashID) {
	kept := s.crashes[:0]
	for _, c := range s.crashes {
		if c.crashID != id {
			kept = append(kept, c)
		}
	}
	s.crashes = kept
}
