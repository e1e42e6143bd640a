package delegate

import (
	"math/rand/v2"
	"time"
)

const (
	// maxLag is the lag of a gatherer's processor from which it gets no searches: its calls would end late by
	// as much. A timer that is due fires within a millisecond or two where the processor is free.
	maxLag = 12 * time.Millisecond
	// lagMaxAge is how long a reported lag is believed; then one search tells anew.
	lagMaxAge = 400 * time.Millisecond
)

// target is what a VM knows of a gatherer. All fields are guarded by the Manager's mu.
type target struct {
	address string
	client  Client
	// fallback is set for one that gets a search only where all others can't take it.
	fallback bool
	// inFlight holds what ends each search in flight there.
	inFlight map[*inFlightSearch]struct{}
	// lost is set from a failure until a ping is answered.
	lost bool
	// checkPending is set where it is to be asked whether it runs, for another one was lost.
	checkPending  bool
	leaving       bool
	lag           time.Duration
	lagReportedAt time.Time
}

// findTarget returns the target at the address, nil where there is none.
func findTarget(targets []*target, address string) *target {
	for _, t := range targets {
		if t.address == address {
			return t
		}
	}
	return nil
}

// usable tells whether it may get a search.
func (t *target) usable(now time.Time) bool {
	busy := t.lag > maxLag && now.Sub(t.lagReportedAt) < lagMaxAge
	return !t.lost && !t.leaving && !busy
}

// setLoad takes what the gatherer told of its load.
func (t *target) setLoad(lag time.Duration, leaving bool, now time.Time) {
	t.lag, t.lagReportedAt, t.leaving = lag, now, leaving
}

// pickTarget returns the usable target with the fewest searches of this VM in flight, by chance among equals, the last
// ones after all others; nil where there is none but the excepted one.
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

// preferredTo tells whether t is to get a search rather than the other one.
func (t *target) preferredTo(other *target) bool {
	if t.fallback != other.fallback {
		return other.fallback
	}
	return len(t.inFlight) < len(other.inFlight)
}
