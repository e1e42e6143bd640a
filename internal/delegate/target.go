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
	// flights holds what ends each search in flight there.
	flights map[*flight]struct{}
	// lost is set from a failure until a ping is answered.
	lost    bool
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

// best returns the usable target with the fewest searches of this VM in flight, by chance among equals; nil
// where there is none but the excepted one.
func best(from []*target, except *target, now time.Time) *target {
	var out *target
	equal := 0
	for _, t := range from {
		if t == except || !t.usable(now) {
			continue
		}
		switch {
		case out == nil || len(t.flights) < len(out.flights):
			out, equal = t, 1
		case len(t.flights) == len(out.flights):
			equal++
			if rand.N(equal) == 0 {
				out = t
			}
		}
	}
	return out
}
