package overload

import (
	"math"
	"time"
)

const (
	// lagRise and lagFall are the time constants with which the estimate follows greater and smaller lags. After two
	// and a half of them, 50 ms and 200 ms, nine tenths of the difference are gone.
	lagRise = 20 * time.Millisecond
	lagFall = 80 * time.Millisecond
	// lagInterval is the longest time between two reports. A report counts as missing once it is overdue by more than the
	// estimated lag.
	lagInterval = 100 * time.Millisecond
	// minLag is the lag below which timers are late without load.
	minLag = 10 * time.Millisecond
	// maxLag bounds a reported lag, so that a process that was suspended does not refuse requests afterwards.
	maxLag = 2 * time.Second
)

// lagEstimate follows the lag of the process's timers: quickly up, more slowly down.
type lagEstimate struct {
	value time.Duration
	at    time.Time
}

// observe takes in a lag.
func (l *lagEstimate) observe(now time.Time, lag time.Duration) {
	lag = min(max(lag, 0), maxLag)
	value, constant := l.read(now), lagFall
	if lag > value {
		constant = lagRise
	}
	weight := remaining(now.Sub(l.at), constant)
	l.value = lag + time.Duration(float64(value-lag)*weight)
	l.at = now
}

// read returns the estimate. It falls while reports are missing.
func (l *lagEstimate) read(now time.Time) time.Duration {
	missing := now.Sub(l.at) - l.value - lagInterval
	if missing <= 0 {
		return l.value
	}
	return time.Duration(float64(l.value) * remaining(missing, lagFall))
}

// remaining returns the part of a difference that remains after the time.
func remaining(elapsed, constant time.Duration) float64 {
	return math.Exp(-float64(elapsed) / float64(constant))
}
