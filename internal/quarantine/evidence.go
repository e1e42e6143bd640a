package quarantine

import (
	"slices"
	"time"
)

// crashID names one crash; the same crash seen by several VMs counts once.
type crashID struct {
	leaf        string
	incarnation uint64
}

// crash is evidence that a request was in flight at a crash.
type crash struct {
	crashID
	// renewedAt is when it arose or was last renewed, by the local clock; arose is as it was first heard of.
	renewedAt, occurredAt time.Time
	// alone is true where no other unproven request was in flight there from the VM that saw it.
	alone bool
	// shared is true where the other VMs have it, and vouched where they have the word besides that a leaf has
	// answered the request.
	shared, answerReported bool
}

// suspect is what is known against one request.
type suspect struct {
	digest  uint64
	crashes []crash
	// lastCrashLearnedAt is when the newest crash was heard of.
	lastCrashLearnedAt time.Time
	// lastRenewalReportedAt is when evidence was last told to the other VMs again because the request came again.
	lastRenewalReportedAt time.Time
}

// addCrash takes in a crash and tells whether it is news. Of one crash the youngest age counts.
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

// crashesAfter returns the crashes that arose after an answer to the request, all where answer is nil: a leaf that
// answers has outlived what it was in flight at before.
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

// hasCrash tells whether the request was in flight at the crash.
func (s *suspect) hasCrash(id crashID) bool {
	return slices.ContainsFunc(s.crashes, func(c crash) bool { return c.crashID == id })
}

// newestEvidenceAt returns when the youngest evidence arose.
func (s *suspect) newestEvidenceAt() time.Time {
	var t time.Time
	for i := range s.crashes {
		if s.crashes[i].renewedAt.After(t) {
			t = s.crashes[i].renewedAt
		}
	}
	return t
}

// hasAllCrashes tells whether the request was in flight at each of the crashes.
func (s *suspect) hasAllCrashes(crashes []crash) bool {
	for _, c := range crashes {
		if !s.hasCrash(c.crashID) {
			return false
		}
	}
	return true
}

// markShared notes that the other VMs have the crash, and with it the word of an answer or not.
func (s *suspect) markShared(id crashID, vouched bool) {
	for i := range s.crashes {
		if c := &s.crashes[i]; c.crashID == id {
			c.shared, c.answerReported = true, c.answerReported || vouched
		}
	}
}

// removeCrash removes a crash that proved to be none.
func (s *suspect) removeCrash(id crashID) {
	kept := s.crashes[:0]
	for _, c := range s.crashes {
		if c.crashID != id {
			kept = append(kept, c)
		}
	}
	s.crashes = kept
}
