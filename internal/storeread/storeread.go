// Package storeread reads the platform's store into the mirror. Few VMs read at a time: the first of
// each availability zone by rank, by long polls; the others learn from them, and take over by rank
// where no VM of their zone has had an answer for a while.
package storeread

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/burdockplank/burdockplank/internal/mirror"
	"github.com/burdockplank/burdockplank/internal/platform"
	"github.com/burdockplank/burdockplank/internal/readers"
	"github.com/burdockplank/burdockplank/internal/wait"
)

const (
	// pollWaitFraction is how long a poll waits for a change, as a part of the time in which a change must be in
	// force everywhere: a connection that went silent is noticed only after it.
	pollWaitFraction = 0.5
	// answerTimeout bounds an answer beyond the wait of a poll; the store answers in 4 ms.
	answerTimeout = 700 * time.Millisecond
	// takeoverFraction is the age of the zone's newest contact, as a part of that time, from which the VM
	// second in rank reads; the next ones follow turn by turn. It is above the wait and the time that
	// word of a contact takes.
	takeoverFraction = 0.75
	takeoverStagger  = 300 * time.Millisecond
	// largeZoneSize is the number of VMs of a zone from which word of a contact takes more than a second to reach all of
	// them, largeTakeoverPart the part of the bound in place of takeoverPart then: of 60 VMs that look ten times a
	// second one always has word that is somewhat older, and would read beside the first.
	largeZoneSize             = 20
	largeZoneTakeoverFraction = 0.9
	// firstPollWait is how long the first poll waits after the start or a failure: the others of the zone wait for word
	// of a contact, and take over one after the other without it.
	firstPollWait = 100 * time.Millisecond
	// takeoverDuration is how long a VM that took over goes on reading.
	takeoverDuration = 10 * time.Second
	// batchPauseFraction is the pause after a change, as a part of the bound, so that a series of changes costs few
	// calls: leaves that start one after the other, as in a roll, change the store ten times a second.
	batchPauseFraction = 1. / 12
	// secondaryPauseFraction is the pause after a change in the zones other than the first by rank, as a part of the bound.
	// The first one's reader tells them of nearly every change; their own readers are there for the time in which
	// it is lost or cut off from them.
	secondaryPauseFraction = 0.3
	// contactIntervalFraction bounds the time between two answers of a reader, as a part of the bound, so that the zone's
	// contact stays younger than takeoverPart with the time that word of it takes.
	contactIntervalFraction = 7. / 12
	// standbyInterval is how often a VM that doesn't read looks whether it should.
	standbyInterval = 100 * time.Millisecond
	// maxRetryDelay is the longest wait after failures: once the store is back, a change is due in 3 s.
	maxRetryDelay = time.Second
	// withStateStartupDelay is how long a new process that has word of the fleet doesn't read: who is first by rank shows only
	// once most of a zone is known.
	withStateStartupDelay = 1500 * time.Millisecond
	// Without any word it reads after one of these times, for callers get nothing until somebody has read. A
	// seed, which the others ask, reads first; an exchange takes 3 ms. One that other VMs answer without word
	// leaves it to the seeds; one that nobody answers is alone, or the first to start. After a loss of power callers
	// are refused for as long.
	seedStartupDelay         = 20 * time.Millisecond
	aloneStartupDelay        = 40 * time.Millisecond
	withoutStateStartupDelay = 200 * time.Millisecond
	// aloneStartupJitter and toldSpread are the spans over which the VMs' turns to read lie: the first one's word reaches
	// the others in a few ms. VMs of a fleet start within half a second of each other, some of them before any seed:
	// over a shorter span nearly all of them read by themselves.
	aloneStartupJitter        = 360 * time.Millisecond
	withoutStateStartupJitter = 800 * time.Millisecond
	// startupCheckInterval is how often it looks for word.
	startupCheckInterval = 5 * time.Millisecond
)

// ErrHistoryGone says that the store no longer holds the history from the revision on.
var ErrHistoryGone = errors.New("history is gone")

// Store is the platform's store.
type Store interface {
	// Snapshot reads everything; where stale is set the answer may be seconds old and costs less.
	Snapshot(ctx context.Context, stale bool) (mirror.Delta, error)
	// Watch returns what changed after the revision, as soon as something did or the wait is over. An
	// error wraps ErrHistoryGone where the history no longer reaches back so far.
	Watch(ctx context.Context, after uint64, wait time.Duration) (mirror.Delta, error)
}

// Fleet tells of the other VMs.
type Fleet interface {
	ZoneStatus(now time.Time) (members []string, contact time.Duration)
	// Zones returns the availability zones that have a live VM, the own one included.
	Zones() []string
	RecordStoreContact(now time.Time)
	LiveCount() int
}

// Reader is the duty.
type Reader struct {
	store  Store
	mirror *mirror.Mirror
	fleet  Fleet
	self   string
	zone   string
	seed   bool
	// The times by the bound of this deployment.
	pollWait, takeoverAge, largeZoneTakeoverAge, batchPause, secondaryPause, contactInterval time.Duration
	log                                                                                      *zap.Logger
	reads                                                                                    *prometheus.CounterVec

	// The rest belongs to the goroutine of Run.
	backoff    platform.Backoff
	takeoverAt time.Time
	reachable  bool
	// startupEnd is when the wait for word at the start was over; answered is set once the store has answered since
	// the start or its latest failure.
	startupEnd time.Time
	answered   bool
	// snapshotRead is set once a snapshot was read, fresh where the next one may not be stale.
	snapshotRead, needFresh bool
	// lastPause is how long it was waited before the call that is due.
	lastPause time.Duration
}

// New returns a reader for the VM self; seed tells whether the others ask it first.
func New(s Store, m *mirror.Mirror, f Fleet, self, zone string, seed bool, bound time.Duration, log *zap.Logger, reg prometheus.Registerer) *Reader {
	reads := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "burdock_store_reads_total", Help: "Reads of the platform's store by kind and end.",
	}, []string{"kind", "result"})
	reg.MustRegister(reads)
	return &Reader{store: s, mirror: m, fleet: f, self: self, zone: zone, seed: seed,
		pollWait: fraction(pollWaitFraction, bound), takeoverAge: fraction(takeoverFraction, bound), largeZoneTakeoverAge: fraction(largeZoneTakeoverFraction, bound), batchPause: fraction(batchPauseFraction, bound),
		secondaryPause: fraction(secondaryPauseFraction, bound), contactInterval: fraction(contactIntervalFraction, bound), log: log, reads: reads, reachable: true, backoff: platform.Backoff{Most: maxRetryDelay}}
}

func fraction(p float64, of time.Duration) time.Duration { return time.Duration(p * float64(of)) }

// Run reads until ctx ends.
func (r *Reader) Run(ctx context.Context) error {
	r.awaitStartup(ctx)
	r.startupEnd = time.Now()
	for {
		pause := standbyInterval
		if r.active(time.Now()) {
			pause = r.readOnce(ctx)
		}
		if !wait.For(ctx, pause) {
			return nil
		}
	}
}

// awaitStartup waits until there is reason to read: no word has come for long enough, or the fleet is known.
func (r *Reader) awaitStartup(ctx context.Context) {
	begun, jitter := time.Now(), rand.Float64()
	for wait.For(ctx, startupCheckInterval) {
		if time.Since(begun) >= r.startupDelay(jitter) {
			return
		}
	}
}

// startupDelay is how long after its start this process doesn't read, by what it knows by now and its turn, from 0 to 1.
func (r *Reader) startupDelay(jitter float64) time.Duration {
	switch {
	case r.mirror.CompleteTo() > 0:
		return withStateStartupDelay
	case r.seed:
		return seedStartupDelay
	case r.fleet.LiveCount() == 0:
		return aloneStartupDelay + fraction(jitter, aloneStartupJitter)
	}
	return withoutStateStartupDelay + fraction(jitter, withoutStateStartupJitter)
}

// active tells whether this VM reads now.
func (r *Reader) active(now time.Time) bool {
	members, contact := r.contactAge(now)
	rank := readers.Rank(r.zone, members, r.self)
	return r.shouldRead(rank, contact, r.takeoverAgeFor(members), now)
}

// contactAge returns the members of the zone and the age of its newest contact. Where the state came from other
// zones it counts from the start at most, when the first by rank begins to read.
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

func (r *Reader) shouldRead(rank int, contact, takeover time.Duration, now time.Time) bool {
	if rank == 0 || !r.takeoverAt.IsZero() && now.Sub(r.takeoverAt) < takeoverDuration {
		return true
	}
	return contact > takeover+time.Duration(rank-1)*takeoverStagger
}

// readOnce makes one call, or a snapshot's, and returns how long to wait before the next.
func (r *Reader) readOnce(ctx context.Context) time.Duration {
	pause := r.readAndMerge(ctx)
	r.lastPause = pause
	return pause
}

func (r *Reader) readAndMerge(ctx context.Context) time.Duration {
	kind, d, err := r.callStore(ctx)
	now := time.Now()
	if errors.Is(err, ErrHistoryGone) {
		r.reads.WithLabelValues(kind, "history_gone").Inc()
		r.log.Warn("store's history is gone, reading all", zap.Uint64("complete_to", r.mirror.CompleteTo()))
		r.snapshotRead, r.needFresh = false, true
		return 0
	}
	if err != nil {
		r.reads.WithLabelValues(kind, "failed").Inc()
		r.noteFailure(err)
		return r.backoff.Next()
	}
	r.reads.WithLabelValues(kind, "answered").Inc()
	r.noteAnswer(now)
	r.backoff.Reset()
	if changed := r.mirror.Merge(d, now); changed || d.Skipped > 0 {
		return r.pauseAfterChange()
	}
	return 0
}

// pauseAfterChange is the pause after a change.
func (r *Reader) pauseAfterChange() time.Duration {
	if readers.Rank(zoneRankKey, r.fleet.Zones(), r.zone) == 0 {
		return r.batchPause
	}
	return r.secondaryPause
}

// zoneRankKey is what the zones are ranked for.
const zoneRankKey = "store"

// callStore makes the call that is due. A VM that knows all up to some revision from its peers goes on from
// there by the difference.
func (r *Reader) callStore(ctx context.Context) (string, mirror.Delta, error) {
	after := r.mirror.CompleteTo()
	if after == 0 || r.needFresh && !r.snapshotRead {
		ctx, cancel := context.WithTimeout(ctx, answerTimeout)
		defer cancel()
		d, err := r.store.Snapshot(ctx, !r.needFresh)
		if err == nil {
			r.snapshotRead, r.needFresh = true, false
		}
		return "snapshot", d, err
	}
	pollWait := min(r.pollWait, r.contactInterval-r.lastPause)
	if !r.answered {
		pollWait = firstPollWait
	}
	ctx, cancel := context.WithTimeout(ctx, pollWait+answerTimeout)
	defer cancel()
	d, err := r.store.Watch(ctx, after, pollWait)
	return "watch", d, err
}

func (r *Reader) noteFailure(err error) {
	if r.reachable {
		r.log.Warn("store lost", zap.Error(err))
	}
	r.reachable, r.answered = false, false
}

func (r *Reader) noteAnswer(now time.Time) {
	if !r.reachable {
		r.log.Info("store regained", zap.Uint64("complete_to", r.mirror.CompleteTo()))
	}
	r.reachable = true
	r.answered = true
	members, contact := r.contactAge(now)
	if contact > r.takeoverAgeFor(members) && readers.Rank(r.zone, members, r.self) > 0 {
		r.log.Info("reading in place of the first by rank", zap.Duration("contact_age", contact))
		r.takeoverAt = now
	}
	r.fleet.RecordStoreContact(now)
}
