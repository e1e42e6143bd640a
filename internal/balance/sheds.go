package balance

import (
	"math"
	"time"
)

const (
	// shedHalfLife is the time in which a call loses half its weight in the share of shed calls.
	shedHalfLife = 500 * time.Millisecond
	// overloadShedShare is the share of shed calls above which a service counts as overloaded, and
	// minShedWeight the least weight of calls for that.
	overloadShedShare = 0.2
	minShedWeight     = 10
)

// shedMeter measures the share of a service's recent calls that were shed.
type shedMeter struct {
	all, shed float64
	updatedAt time.Time
}

// add counts the end of a call. A call that this gather cancelled, or a neutral one, gives no
// information.
func (m *shedMeter) add(now time.Time, r Result) {
	if r == ResultCancelled || r == ResultNeutral {
		return
	}
	m.decay(now)
	m.all++
	if r == ResultShed {
		m.shed++
	}
}

// overloaded reports whether the service is overloaded.
func (m *shedMeter) overloaded(now time.Time) bool {
	m.decay(now)
	return m.all >= minShedWeight && m.shed > overloadShedShare*m.all
}

// decay reduces the weights by the time since the last update.
func (m *shedMeter) decay(now time.Time) {
	if !m.updatedAt.IsZero() && now.After(m.updatedAt) {
		f := math.Exp2(-float64(now.Sub(m.updatedAt)) / float64(shedHalfLife))
		m.all *= f
		m.shed *= f
	}
	m.updatedAt = now
}
