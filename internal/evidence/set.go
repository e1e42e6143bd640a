// Package evidence holds what VMs saw of upstreams: departures of upstream incarnations, and
// requests that were in flight when an upstream crashed. Evidence travels with its age, never with
// a clock's time. The package is pure: the clock is an argument. Merging is commutative,
// associative and idempotent, so the order in which VMs hear of each other doesn't matter.
package evidence

import (
	"sync"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

const (
	// RefusalTTL is how long evidence without an incarnation holds unless it is confirmed.
	RefusalTTL = 5 * time.Second
	// DepartureTTL is how long a departure is remembered after it was last confirmed: longer than
	// any upstream drains.
	DepartureTTL = 6 * time.Hour
	// CrashTTL is how long a crash counts against a request.
	CrashTTL = 10 * time.Minute
	// confirmationInterval is how old a refusal must be before its confirmation is news.
	confirmationInterval = time.Second
	// hashMargin keeps evidence that is about to age out away from the hash, since VMs drop it at
	// slightly different moments.
	hashMargin = 10 * time.Second
	// MaxDepartures and MaxCrashes bound the memory; beyond them the oldest go first.
	MaxDepartures = 20_000
	MaxCrashes    = 10_000
)

// Set is one VM's evidence. It is safe for concurrent use.
type Set struct {
	mu sync.Mutex
	// departures and crashes are guarded by mu.
	departures map[DepartureKey]departure
	crashes    map[CrashKey]crash
}

// Updates names the evidence that a merge brought.
type Updates struct {
	Departures []DepartureKey
	Crashes    []CrashKey
}

// Empty tells whether there is none.
func (u Updates) Empty() bool { return len(u.Departures) == 0 && len(u.Crashes) == 0 }

// New returns an empty set.
func New() *Set {
	return &Set{departures: make(map[DepartureKey]departure), crashes: make(map[CrashKey]crash)}
}

// Merge takes evidence of another process or VM. Evidence that has aged out is left out.
func (s *Set) Merge(departures []*pb.Departure, crashes []*pb.Crash, now time.Time) Updates {
	s.mu.Lock()
	defer s.mu.Unlock()
	var updates Updates
	for _, d := range departures {
		if key := KeyOfDeparture(d); s.mergeDeparture(key, newDeparture(d, now), now) {
			updates.Departures = append(updates.Departures, key)
		}
	}
	for _, c := range crashes {
		if key := KeyOfCrash(c); s.mergeCrash(key, newCrash(c, now), now) {
			updates.Crashes = append(updates.Crashes, key)
		}
	}
	s.enforceLimits()
	return updates
}

// Expire drops what has aged out and tells whether anything did.
func (s *Set) Expire(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := len(s.departures) + len(s.crashes)
	for k, d := range s.departures {
		if now.Sub(d.seenAt) >= k.ttl() {
			delete(s.departures, k)
		}
	}
	for k, c := range s.crashes {
		if now.Sub(c.seenAt) >= CrashTTL {
			delete(s.crashes, k)
		}
	}
	return len(s.departures)+len(s.crashes) != before
}

// Hash is equal for sets that hold the same lasting evidence. Evidence without an incarnation is
// left out: it is gone before two VMs could compare.
func (s *Set) Hash(now time.Time) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var sum uint64
	for k, d := range s.departures {
		if k.Incarnation != 0 && now.Sub(d.seenAt) < k.ttl()-hashMargin {
			sum += k.hash()
		}
	}
	for k, c := range s.crashes {
		if now.Sub(c.seenAt) < CrashTTL-hashMargin {
			sum += c.hash(k)
		}
	}
	return sum
}

// Len returns the number of departures and of crashes held.
func (s *Set) Len() (departures, crashes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.departures), len(s.crashes)
}

// enforceLimits drops the oldest evidence above the limits; mu is held.
func (s *Set) enforceLimits() {
	if n := len(s.departures) - MaxDepartures; n > 0 {
		dropOldest(s.departures, n, func(d departure) time.Time { return d.seenAt }, DepartureKey.less)
	}
	if n := len(s.crashes) - MaxCrashes; n > 0 {
		dropOldest(s.crashes, n, func(c crash) time.Time { return c.seenAt }, CrashKey.less)
	}
}
