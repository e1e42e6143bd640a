package overload

import (
	"math"
	"time"
)

const (
	// yieldFactor reduces the limit of the lower priorities with each refusal of a more urgent request, but not more
	// often than each yieldInterval: refusals in one moment have one cause.
	yieldFactor   = 0.4
	yieldInterval = 5 * time.Millisecond
	// yieldHold is how long after such a refusal the limit stays reduced, and yieldRecovery the time in which it doubles
	// after that. With shorter times, more than one in a hundred of the more urgent requests is refused under a lasting
	// overload of the lower priorities.
	yieldHold     = time.Second
	yieldRecovery = 250 * time.Millisecond
	// minPart bounds the part from below, so that it recovers in a bounded time of maxDoublings.
	minPart      = 1. / 64
	maxDoublings = 6
)

// yield is the part of its whole limit that a priority may use: less while requests of more urgent ones are refused.
type yield struct {
	// part is 1 if nothing was refused lately.
	part float64
	// refusedAt is when a more urgent request was refused last; zero if none was.
	refusedAt time.Time
}

// now returns the part at the given time.
func (y *yield) now(now time.Time) float64 {
	if y.refusedAt.IsZero() {
		return 1
	}
	recovering := now.Sub(y.refusedAt) - yieldHold
	if recovering <= 0 {
		return y.part
	}
	doublings := float64(recovering) / float64(yieldRecovery)
	if doublings > maxDoublings {
		return 1
	}
	return min(1, max(y.part, minPart)*math.Exp2(doublings))
}

// give reduces the part because a more urgent request was refused. It reports whether the part has changed.
func (y *yield) give(now time.Time) bool {
	if !y.refusedAt.IsZero() && now.Sub(y.refusedAt) < yieldInterval {
		return false
	}
	y.part = max(minPart, yieldFactor*y.now(now))
	y.refusedAt = now
	return true
}
