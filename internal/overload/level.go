package overload

import (
	"time"

	"github.com/burdockplank/burdockplank/internal/quota"
)

const (
	// floorShare is the guaranteed part of the capacity of each priority that has demand, and maxFloorShare that of
	// all priorities together.
	floorShare    = 0.05
	maxFloorShare = 0.4
	// floorBurst is the time for which an unused guaranteed part is kept, and floorRequests the number of requests for
	// which it is kept in any case.
	floorBurst    = 200 * time.Millisecond
	floorRequests = 3
	// cutPeriod is how long after a refusal a priority counts as being cut.
	cutPeriod = 500 * time.Millisecond
	// overloadedShare is the part of the demand below whose admission a priority counts as overloaded.
	overloadedShare = 0.95
	// unitsWeight is the weight of a request in the mean work of its priority.
	unitsWeight = 0.05
)

// floor holds what is left of a guaranteed part of the capacity, in seconds of processor time.
type floor struct {
	seconds float64
	at      time.Time
}

// earn adds what the guaranteed part, in seconds of processor time per second, gives for the time since the last call.
// work is that of the next request.
func (f *floor) earn(now time.Time, guaranteed, work float64) {
	kept := max(floorBurst.Seconds()*guaranteed, floorRequests*work)
	f.seconds = min(f.seconds+now.Sub(f.at).Seconds()*guaranteed, kept)
	f.at = now
}

// due reports whether the guaranteed part admits the work now. It must suffice for up to two more such requests by the
// debt, of 0 to 1, of a caller that has had more than its share, so that other callers go first.
func (f *floor) due(work, debt float64) bool {
	return f.seconds >= work*(1+(floorRequests-1)*debt)
}

// use uses the guaranteed part up for work. It leaves no debt.
func (f *floor) use(work float64) { f.seconds = max(0, f.seconds-work) }

// level is the state of one priority.
type level struct {
	demand, admitted quota.Rate
	retries          quota.RetrySchedule
	// units is the mean work of the requests.
	units float64
	floor floor
	// yield reduces the limit while more urgent requests are refused.
	yield yield
	// refusedAt is the time of the last refusal for load; zero if there was none.
	refusedAt time.Time
	// The requests since the start.
	admissions, busyRefusals, callerRefusals uint64
}

// arrive counts a request with the units.
func (l *level) arrive(now time.Time, units float64) {
	if l.units == 0 {
		l.units = units
	}
	l.units += unitsWeight * (units - l.units)
	l.demand.Add(now)
}

// cut reports whether requests of the priority are being refused.
func (l *level) cut(now time.Time) bool {
	return !l.refusedAt.IsZero() && now.Sub(l.refusedAt) <= cutPeriod
}

// overloaded reports whether a considerable part of the demand is refused.
func (l *level) overloaded(now time.Time) bool {
	return l.admitted.PerSecond(now) < overloadedShare*l.demand.PerSecond(now)
}
