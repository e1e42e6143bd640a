package balance

import (
	"math"
	"time"
)

const (
	// shedHalfLife is the time in which a call loses half its weight in the share of sheds.
	shedHalfLife = 500 * time.Millisecond
	// shedHigh is the share of sheds from which a service counts as overloaded, shedEnough the
	// weight of calls that it takes to tell.
	shedHigh   = 0.2
	shedEnough = 10
)

// shedMeter is the share of a service's calls that were shed lately.
type shedMeter struct {
	all, shed float64
	at        time.Time
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

// high tells whether the service is overloaded.
func (m *shedMeter) high(now time.Time) bool {
	m.decay(now)
	return m.all >= shedEnough && m.shed > shedHigh*m.all
}

func (m *shedMeter) decay(now time.Time) {
	if !m.at.IsZero() && now.After(m.at) {
		f := math.Exp2(-float64(now.Sub(m.at)) / float64(shedHalfLife))
		m.all *= f
		m.shed *= f
	}
	m.at = now
}
