package storeread

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/burdockplank/burdockplank/internal/readers"
	"github.com/burdockplank/burdockplank/internal/wait"
)

// awaitStartup waits until startupDelay has passed: no state has come for long enough, or the fleet is known.
func (r *Reader) awaitStartup(ctx context.Context) {
	begun, jitter := time.Now(), rand.Float64()
	for wait.For(ctx, startupCheckInterval) {
		if time.Since(begun) >= r.startupDelay(jitter) {
			return
		}
	}
}

// startupDelay returns how long after its start this process doesn't read, by what it knows now and its jitter from
// 0 to 1.
func (r *Reader) startupDelay(jitter float64) time.Duration {
	switch {
	case r.mirror.CompleteTo() > 0:
		return withStateStartupDelay
	case r.Seed:
		return seedStartupDelay
	case r.fleet.LiveCount() == 0:
		return aloneStartupDelay + fraction(jitter, aloneStartupJitter)
	}
	return withoutStateStartupDelay + fraction(jitter, withoutStateStartupJitter)
}

// active reports whether this VM reads now.
func (r *Reader) active(now time.Time) bool {
	members, contact := r.contactAge(now)
	rank := readers.Rank(r.Zone, members, r.Self)
	return r.shouldRead(rank, contact, r.takeoverAgeFor(members), now)
}

// contactAge returns the members of the zone and the age of its newest contact. If the state came from other zones,
// the age counts from the end of the startup delay at most, when the first by rank begins to read.
func (r *Reader) contactAge(now time.Time) (members []string, age time.Duration) {
	members, age = r.fleet.ZoneStatus(now)
	if r.mirror.CompleteTo() > 0 {
		age = min(age, now.Sub(r.startupEnd))
	}
	return members, age
}

// takeoverAgeFor returns the age of the zone's newest contact from which the second by rank reads.
func (r *Reader) takeoverAgeFor(members []string) time.Duration {
	if len(members) >= largeZoneSize {
		return r.largeZoneTakeoverAge
	}
	return r.takeoverAge
}

// maxContactInterval returns the longest time between two answers to a reader of the zone.
func (r *Reader) maxContactInterval() time.Duration {
	if members, _ := r.fleet.ZoneStatus(time.Now()); len(members) >= largeZoneSize {
		return r.largeZoneContactInterval
	}
	return r.contactInterval
}

// shouldRead reports whether a VM of the rank reads, given the age of its zone's newest contact and the age from
// which the second by rank takes over.
func (r *Reader) shouldRead(rank int, contact, takeover time.Duration, now time.Time) bool {
	if rank == 0 || !r.takeoverAt.IsZero() && now.Sub(r.takeoverAt) < takeoverDuration {
		return true
	}
	return contact > min(takeover+time.Duration(rank-1)*takeoverStagger, r.maxTakeoverAge)
}
