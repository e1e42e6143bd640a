// Package evidence holds what VMs observed of upstreams: departures of upstream incarnations, and
// requests that were in flight when an upstream crashed. Evidence is sent with its age, never with a
// clock time. The package does not read the clock: callers pass the time. Merging is commutative,
// associative and idempotent, so the order in which evidence arrives from other VMs does not matter.
package evidence

import (
	"sync"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

const (
	// RefusalTTL is how long evidence without an incarnation is valid unless it is confirmed.
	RefusalTTL = 5 * time.Second
	// DepartureTTL is how long a departure is remembered after it was last confirmed. It is longer than
	// any upstream takes to drain.
	DepartureTTL = 6 * time.Hour
	// CrashTTL is how long a crash counts against a request.
	CrashTTL = 10 * time.Minute
	// confirmationInterval is how old a refusal must be before a confirmation of it counts as an update.
	confirmationInterval = time.Second
	// hashMargin is how long before its expiry evidence is left out of the hash, since VMs drop it at
	// slightly different times.
	hashMargin = 10 * time.Second
	// MaxDepartures and MaxCrashes bound the memory of a set. Above them the oldest entries are
	// dropped first.
	MaxDepartures = 20_000
	MaxCrashes    = 10_000
)

// Set holds the evidence of one VM. It is safe for concurrent use.
type Set struct {
	mu sync.Mutex
	// mu guards departures and crashes.
	departures map[DepartureKey]departure
	crashes    map[CrashKey]crash
}

// Updates holds the keys of the evidence that a merge added or changed and that other VMs should get.
type Updates struct {
	Departures []DepartureKey
	Crashes    []CrashKey
}

// Empty reports whether there are no updates.
func (u Updates) Empty() bool { return len(u.Departures) == 0 && len(u.Crashes) == 0 }

// New returns an empty set.
func New() *Set {
	return &Set{departures: make(map[DepartureKey]departure), crashes: make(map[CrashKey]crash)}
}

// Merge adds the evidence of another process or VM and returns the updates. Expired evidence is ignored.
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

// Expire removes expired evidence and reports whether there was any.
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

// Hash returns a hash that is equal for sets with the same lasting evidence. Departures without an
// incarnation are left out, because they expire before two VMs could compare them.
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

// Len returns the number of departures and the number of crashes in the set.
func (s *Set) Len() (departures, crashes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.departures), len(s.crashes)
}

// enforceLimits drops the oldest evidence above MaxDepartures and MaxCrashes. Requires mu.
func (s *Set) enforceLimits() {
	if n := len(s.departures) - MaxDepartures; n > 0 {
		dropOldest(s.departures, n, func(d departure) time.Time { return d.seenAt }, DepartureKey.less)
	}
	if n := len(s.crashes) - MaxCrashes; n > 0 {
		dropOldest(s.crashes, n, func(c crash) time.Time { return c.seenAt }, CrashKey.less)
	}
}
