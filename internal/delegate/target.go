package delegate

import (
	"math/rand/v2"
	"time"
)

const (
	// maxLag is the lag of a gatherer's processor above which it gets no searches: its calls would end late by
	// as much. On a processor with free capacity, a timer fires within 1 to 2 ms of its due time.
	maxLag = 12 * time.Millisecond
	// lagMaxAge is how long a reported lag is valid. After that, one search obtains a new report.
	lagMaxAge = 400 * time.Millisecond
)

// target holds what a VM knows about a gatherer. All fields are guarded by the Manager's mu.
type target struct {
	address string
	client  Client
	// fallback is set for a gatherer that gets a search only where none of the others can take it.
	fallback bool
	// inFlight holds the searches in flight at the gatherer.
	inFlight map[*inFlightSearch]struct{}
	// lost is set from a failure until a ping is answered.
	lost bool
	// checkPending is set where the gatherer is due for a ping because another one was lost.
	checkPending  bool
	leaving       bool
	lag           time.Duration
	lagReportedAt time.Time
}

// findTarget returns the target with the address, or nil.
func findTarget(targets []*target, address string) *target {
	for _, t := range targets {
		if t.address == address {
			return t
		}
	}
	return nil
}

// usable reports whether the gatherer may get a search.
func (t *target) usable(now time.Time) bool {
	busy := t.lag > maxLag && now.Sub(t.lagReportedAt) < lagMaxAge
	return !t.lost && !t.leaving && !busy
}

// setLoad records the load that the gatherer reported.
func (t *target) setLoad(lag time.Duration, leaving bool, now time.Time) {
	t.lag, t.lagReportedAt, t.leaving = lag, now, leaving
}

// pickTarget returns the usable target with the fewest searches of this VM in flight, chosen at random among
// equals, with fallback targets after all others. It skips except and returns nil where no other target is
// usable.
func pickTarget(from []*target, except *target, now time.Time) *target {
	var out *target
	equal := 0
	for _, t := range from {
		if t == except || !t.usable(now) {
			continue
		}
		switch {
		case out == nil || t.preferredTo(out):
			out, equal = t, 1
		case !out.preferredTo(t):
			equal++
			if rand.N(equal) == 0 {
				out = t
			}
		}
	}
	return out
}

// preferredTo reports whether t should get a search rather than other.
func (t *target) preferredTo(other *target) bool {
	if t.fallback != other.fallback {
		return other.fallback
	}
	return len(t.inFlight) < len(other.inFlight)
}
