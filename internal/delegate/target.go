package delegate

import (
	"math/rand/v2"
	"time"
)

const (
	// lagMost is the lag of a gatherer's processor from which it gets no searches: its calls would end late by
	// as much. A timer that is due fires within a millisecond or two where the processor is free.
	lagMost = 12 * time.Millisecond
	// lagKeep is how long a reported lag is believed; then one search tells anew.
	lagKeep = 400 * time.Millisecond
)

// target is what a VM knows of a gatherer. All fields are guarded by the Manager's mu.
type target struct {
	address string
	client  Client
	// last is set for one that gets a search only where all others can't take it.
	last bool
	// flights holds what ends each search in flight there.
	flights map[*flight]struct{}
	// lost is set from a failure until a ping is answered.
	lost bool
	// doubted is set where it is to be asked whether it runs, for another one was lost.
	doubted bool
	leaving bool
	lag     time.Duration
	lagAt   time.Time
}

// targetAt returns the target at the address, nil where there is none.
func targetAt(targets []*target, address string) *target {
	for _, t := range targets {
		if t.address == address {
			return t
		}
	}
	return nil
}

// usable tells whether it may get a search.
func (t *target) usable(now time.Time) bool {
	busy := t.lag > lagMost && now.Sub(t.lagAt) < lagKeep
	return !t.lost && !t.leaving && !busy
}

// note takes what the gatherer told of its load.
func (t *target) note(lag time.Duration, leaving bool, now time.Time) {
	t.lag, t.lagAt, t.leaving = lag, now, leaving
}

// best returns the usable target with the fewest searches of this VM in flight, by chance among equals, the last
// ones after all others; nil where there is none but the excepted one.
func best(from []*target, except *target, now time.Time) *target {
	var out *target
	equal := 0
	for _, t := range from {
		if t == except || !t.usable(now) {
			continue
		}
		switch {
		case out == nil || t.before(out):
			out, equal = t, 1
		case !out.before(t):
			equal++
			if rand.N(equal) == 0 {
				out = t
			}
		}
	}
	return out
}

// before tells whether t is to get a search rather than the other one.
func (t *target) before(other *target) bool {
	if t.last != other.last {
		return other.last
	}
	return len(t.flights) < len(other.flights)
}
