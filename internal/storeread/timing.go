package storeread

import "time"

const (
	// pollWaitFraction is how long a poll waits for a change, as a fraction of the bound within which a change must
	// be in force everywhere. A connection that has gone silent is noticed only after this wait.
	pollWaitFraction = 0.5
	// answerTimeout bounds an answer beyond the wait of a poll. The store answers in 4 ms.
	answerTimeout = 700 * time.Millisecond
	// takeoverFraction is the age of the zone's newest contact, as a fraction of the bound, from which the VM
	// second by rank reads. Each further VM follows takeoverStagger later. The age is above the wait of a poll plus
	// the time in which a contact becomes known.
	takeoverFraction = 0.75
	takeoverStagger  = 300 * time.Millisecond
	// maxTakeoverFraction bounds that age for all VMs, however many of the first by rank are lost. The rest of the bound is
	// for standbyInterval and an answer.
	maxTakeoverFraction = 14. / 15
	// largeZoneSize is the number of VMs of a zone from which a contact takes more than a second to become known to
	// all of them: of 60 VMs that check ten times a second there is always one that knows only of a somewhat older
	// contact, and would read beside the first. The two fractions below then replace takeoverFraction and
	// contactIntervalFraction.
	largeZoneSize                    = 20
	largeZoneTakeoverFraction        = 0.85
	largeZoneContactIntervalFraction = 5. / 12
	// firstPollWait is the wait of the first poll after the start or a failure. It is short because the others of
	// the zone wait to learn of a contact, and take over one after the other without one.
	firstPollWait = 100 * time.Millisecond
	// takeoverDuration is how long a VM that took over continues to read.
	takeoverDuration = 10 * time.Second
	// batchPauseFraction is the pause after a change, as a fraction of the bound, so that a series of changes takes
	// few calls. Leaves that start one after the other, as in a rolling restart, change the store ten times a
	// second.
	batchPauseFraction = 1. / 12
	// secondaryPauseFraction is the pause after a change in all zones but the first by rank, as a fraction of the
	// bound. These zones get nearly every change from the first zone's reader. Their own readers are there in case
	// that reader is lost or cut off.
	secondaryPauseFraction = 0.3
	// contactIntervalFraction bounds the time between two answers to a reader, as a fraction of the bound, so that
	// the zone's contact stays younger than takeoverFraction, including the time in which it becomes known.
	contactIntervalFraction = 7. / 12
	// standbyInterval is how often a VM that doesn't read checks whether it should.
	standbyInterval = 100 * time.Millisecond
	// maxRetryDelay is the longest delay after failures. Once the store is back, a change is due within 3 s.
	maxRetryDelay = time.Second
	// withStateStartupDelay is how long a new process that has state from the fleet doesn't read: the first by rank
	// is certain only once most of a zone is known.
	withStateStartupDelay = 1500 * time.Millisecond
	// Without state from the fleet it reads after one of the following delays, because callers get nothing until
	// some VM has read. A seed, which the others ask, reads first; an exchange takes 3 ms. A process that other VMs
	// answer without state leaves reading to the seeds. One that no VM answers is alone, or the first to start.
	// After a power loss callers are refused for as long.
	seedStartupDelay         = 20 * time.Millisecond
	aloneStartupDelay        = 40 * time.Millisecond
	withoutStateStartupDelay = 200 * time.Millisecond
	// aloneStartupJitter and withoutStateStartupJitter are the spans over which the delays of the VMs are spread.
	// What the first one reads reaches the others in a few ms. VMs of a fleet start within half a second of each
	// other, some of them before any seed: over a shorter span nearly all of them would read the store themselves.
	aloneStartupJitter        = 360 * time.Millisecond
	withoutStateStartupJitter = 800 * time.Millisecond
	// startupCheckInterval is how often a new process checks for state from the fleet.
	startupCheckInterval = 5 * time.Millisecond
)

// timing holds the durations that follow from the bound within which a change must be in force everywhere.
type timing struct {
	pollWait                                          time.Duration
	contactInterval, largeZoneContactInterval         time.Duration
	takeoverAge, largeZoneTakeoverAge, maxTakeoverAge time.Duration
	batchPause, secondaryPause                        time.Duration
}

func newTiming(bound time.Duration) timing {
	return timing{
		pollWait:        fraction(pollWaitFraction, bound),
		contactInterval: fraction(contactIntervalFraction, bound), largeZoneContactInterval: fraction(largeZoneContactIntervalFraction, bound),
		takeoverAge: fraction(takeoverFraction, bound), largeZoneTakeoverAge: fraction(largeZoneTakeoverFraction, bound),
		maxTakeoverAge: fraction(maxTakeoverFraction, bound),
		batchPause:     fraction(batchPauseFraction, bound), secondaryPause: fraction(secondaryPauseFraction, bound),
	}
}

func fraction(p float64, of time.Duration) time.Duration { return time.Duration(p * float64(of)) }
