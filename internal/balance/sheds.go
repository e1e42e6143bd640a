package balance

import (
	"math"
	"time"
)

const (
	// shedHalfLife is the time in which a call loses half its weight in the share of sheds.
	shedHalfLife = 500 * time.Millisecond
	// overloadShedShare is the share of sheds from which a service counts as overloaded, shedEnough the
	// weight of calls that it takes to tell.
	overloadShedShare = 0.2
	minShedWeight     = 10
)

// shedMeter is the share of a service's calls that were shed lately.
type shedMeter struct {
	all, shed float64
	updatedAt time.Time
}

// add takes in the end of a call; one that was given up here says nothing.
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

// overloaded tells whether the service is overloaded.
func (m *shedMeter) overloaded(now time.Time) bool {
	m.decay(now)
	return m.all >= minShedWeight && m.shed > overloadShedShare*m.all
}

func (m *shedMeter) decay(now time.Time) {
	if !m.updatedAt.IsZero() && now.After(m.updatedAt) {
		f := math.Exp2(-float64(now.Sub(m.updatedAt)) / float64(shedHalfLife))
		m.all *= f
		m.shed *= f
	}
	m.updatedAt = now
}
