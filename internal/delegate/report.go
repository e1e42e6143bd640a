package delegate

import (
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

const (
	// freshAge is the age up to which a report counts in full. A report reaches a VM of the same zone within 300 ms.
	freshAge = 300 * time.Millisecond
	// reportExpiry is the age from which a report no longer counts.
	reportExpiry = time.Second
	// staleWeight is the weight of the wait in a report between these two ages.
	staleWeight = 0.5
	// searchWork is the wait that one search adds at a gatherer until a newer report includes it.
	searchWork = 4 * time.Millisecond
	// maxToldWait bounds the waits and limits in a report. Targets of routes are capped at the same time.
	maxToldWait = 60 * time.Second
	// maxLimits bounds the limits that are kept of a report.
	maxLimits = 64
)

// report is what a gatherer told of its load.
type report struct {
	lag, wait time.Duration
	// limits are the longest waits at which the gatherer accepts a search, by priority. They are empty for a gatherer
	// of a previous version, or one that does not know its processor.
	limits  []time.Duration
	leaving bool
	// at is when the gatherer told it; zero if there was no report.
	at time.Time
	// passedOn is set if another VM passed the report on.
	passedOn bool
}

// newReport returns the report in a message that the gatherer sent to this VM.
func newReport(load *pb.FleetPong, now time.Time) report {
	r := report{lag: toldWait(load.GetLagUs()), wait: toldWait(load.GetWaitUs()), leaving: load.GetLeaving(), at: now}
	for _, limit := range load.GetWaitLimitsUs()[:min(len(load.GetWaitLimitsUs()), maxLimits)] {
		r.limits = append(r.limits, toldWait(limit))
	}
	return r
}

// toldWait returns the wait in a message, in the range 0 to maxToldWait.
func toldWait(us int64) time.Duration {
	return microseconds(min(max(us, 0), maxToldWait.Microseconds()))
}

func boundedWait(d time.Duration) time.Duration { return min(max(d, 0), maxToldWait) }

func (r *report) age(now time.Time) time.Duration { return max(0, now.Sub(r.at)) }

// valid reports whether the report still counts.
func (r *report) valid(now time.Time) bool { return !r.at.IsZero() && r.age(now) < reportExpiry }

// limit returns the longest wait at which the gatherer accepts a search of the priority, or 0 if that is not known.
func (r *report) limit(priority int, now time.Time) time.Duration {
	if len(r.limits) == 0 || !r.valid(now) {
		return 0
	}
	return max(0, r.limits[min(max(priority, 0), len(r.limits)-1)])
}

// toldWaitNow returns the told wait, with the weight that it has at its age: 0 if it no longer counts.
func (r *report) toldWaitNow(now time.Time) time.Duration {
	switch {
	case !r.valid(now):
		return 0
	case r.age(now) > freshAge:
		return time.Duration(staleWeight * float64(r.wait))
	}
	return r.wait
}

// expectedWait returns the wait of a search that reaches the gatherer at the time now: the told one, less what has
// been processed since, plus the work of the searches that this VM has sent since. sent is sorted.
func (r *report) expectedWait(sent []time.Time, now time.Time) time.Duration {
	return r.drained(r.toldWaitNow(now), sent, now)
}

// sentWait returns the part of the expected wait that is due to the searches that this VM has sent since the report.
func (r *report) sentWait(sent []time.Time, now time.Time) time.Duration {
	return r.drained(0, sent, now)
}

// drained returns what is left now of a wait at the time of the report and the work sent since.
func (r *report) drained(wait time.Duration, sent []time.Time, now time.Time) time.Duration {
	start := now.Add(-reportExpiry)
	if r.valid(now) {
		start = r.at
	}
	at := start
	for _, s := range sent {
		if s.After(start) {
			wait = max(0, wait-s.Sub(at)) + searchWork
			at = s
		}
	}
	return max(0, wait-max(0, now.Sub(at)))
}
