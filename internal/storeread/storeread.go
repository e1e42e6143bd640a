// Package storeread reads the platform's store into the mirror. Few VMs read at a time: the first of each
// availability zone by rank reads by long polls, and the others learn from it. They take over, by rank, if no VM of
// their zone has had an answer from the store for a while.
package storeread

import (
	"context"
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/burdockplank/burdockplank/internal/mirror"
	"github.com/burdockplank/burdockplank/internal/platform"
	"github.com/burdockplank/burdockplank/internal/readers"
	"github.com/burdockplank/burdockplank/internal/wait"
)

// ErrHistoryGone means that the store doesn't hold the history from the revision on: it has dropped it, or has come back
// from a copy that doesn't reach so far.
var ErrHistoryGone = errors.New("history is gone")

// HistoryGoneError is an ErrHistoryGone with the era of the store's answer.
type HistoryGoneError struct {
	// Era is 0 if the answer names none.
	Era uint64
}

// Error implements error.
func (e *HistoryGoneError) Error() string { return ErrHistoryGone.Error() }

// Is implements the interface of errors.Is.
func (e *HistoryGoneError) Is(target error) bool { return target == ErrHistoryGone }

// ErrRateLimited means that the store takes no more reads at the moment. It is available, so that no entries expire.
var ErrRateLimited = errors.New("the store's limit of reads is reached")

// Store is the platform's store.
type Store interface {
	// Snapshot reads everything, in one era of the store. It reads nothing that may be seconds old: the answer could name
	// the present era with the state of the one before.
	Snapshot(ctx context.Context) (mirror.Delta, error)
	// Watch returns what changed after the revision, as soon as something has changed or the wait is over. An error
	// wraps a *HistoryGoneError if the store doesn't hold the history from the revision on. Two calls at once use a
	// connection each.
	Watch(ctx context.Context, after uint64, wait time.Duration) (mirror.Delta, error)
	// EndedEvacuations returns the deletions of evacuations up to the position, as far back as the store's history goes
	// in its era. With an error it returns those that it has found.
	EndedEvacuations(ctx context.Context, upTo mirror.Position) ([]mirror.Item, error)
}

// Fleet provides what is known of the other VMs.
type Fleet interface {
	// ZoneStatus returns the live members of the own zone, including this VM, and the age of their newest contact
	// with the store.
	ZoneStatus(now time.Time) (members []string, contact time.Duration)
	// Zones returns the availability zones that have a live VM, including the own one.
	Zones() []string
	// RecordStoreContact records that the store has answered this VM.
	RecordStoreContact(now time.Time)
	// LiveCount returns the number of other VMs that are live.
	LiveCount() int
}

// Reader decides whether this VM reads the store, and reads it.
type Reader struct {
	store  Store
	mirror *mirror.Mirror
	fleet  Fleet
	Config
	timing
	log     *zap.Logger
	metrics *metrics

	// The fields below are used only by the goroutine of Run.
	backoff    platform.Backoff
	takeoverAt time.Time
	reachable  bool
	// startupEnd is when the initial delay was over. answered is set once the store has answered since the start or
	// its latest failure.
	startupEnd time.Time
	answered   bool
	// failedAt is when the store last seemed to be unavailable; zero for never.
	failedAt time.Time
	// needSnapshot is set if the history from the mirror's position on is gone. newestEra is the newest era that an answer
	// named.
	needSnapshot bool
	newestEra    uint64
	// eraUnnamed is set once it is logged that the store names no era.
	eraUnnamed bool
	// lastPause is the pause before the next call, pollDelay how long after its wait the last poll was answered.
	lastPause, pollDelay time.Duration
	// historyGone is set from an answer that the history is gone until a watch is answered, behind from an answer whose
	// revision is below what this VM knows until one that is not.
	historyGone, behind bool
}

// Config holds what a Reader needs to know of its VM and the deployment.
type Config struct {
	// Self is the VM's address, Zone its availability zone. Seed is set if the other VMs ask this one first.
	Self, Zone string
	Seed       bool
	// NeedsHistory reports whether the items of a snapshot make it matter which evacuations ended before it.
	NeedsHistory func(items []mirror.Item) bool
	// Bound is the time within which a change must be known to all VMs.
	Bound time.Duration
	// HeartbeatInterval is how often a leaf writes its entry, which expires after three of them.
	HeartbeatInterval time.Duration
}

// New returns a reader that has read nothing.
func New(s Store, m *mirror.Mirror, f Fleet, c Config, log *zap.Logger, reg prometheus.Registerer) *Reader {
	return &Reader{
		store: s, mirror: m, fleet: f, Config: c, timing: newTiming(c.Bound), log: log, metrics: newMetrics(reg),
		reachable: true, backoff: platform.Backoff{Max: maxRetryDelay},
	}
}

// Run reads until ctx ends. It returns nil.
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

// readOnce makes one call, or reads one snapshot, and returns the pause before the next call.
func (r *Reader) readOnce(ctx context.Context) time.Duration {
	pause := r.readAndMerge(ctx)
	r.lastPause = pause
	return pause
}

// readAndMerge makes the next call, merges its result into the mirror and returns the pause before the call after
// it.
func (r *Reader) readAndMerge(ctx context.Context) time.Duration {
	asked, lastRead := r.mirror.LastRead()
	kind, d, err := r.callStore(ctx, asked)
	now := time.Now()
	var gone *HistoryGoneError
	if errors.As(err, &gone) {
		return r.noteHistoryGone(kind, asked, gone)
	}
	if err != nil {
		r.metrics.reads.WithLabelValues(kind, "failed").Inc()
		r.noteFailure(err)
		return r.backoff.Next()
	}
	r.metrics.reads.WithLabelValues(kind, "answered").Inc()
	r.noteAnswer(now)
	d.Era = r.eraOf(d.Era, asked)
	if kind == kindSnapshot {
		r.newestEra = d.Era // an answer that named another one was late, or wrong
	}
	behind := r.noteRevision(kind, d, asked)
	if kind == kindWatch && d.Era != asked.Era {
		return 0 // the answer doesn't continue the era that the mirror was in; a newer one is read as a whole
	}
	if !behind {
		r.dateDeletions(&d, lastRead, now)
	}
	changed := r.mirror.Merge(d, now)
	if behind && kind == kindSnapshot {
		return r.backoff.Next()
	}
	r.backoff.Reset()
	if changed || d.Skipped > 0 {
		return r.pauseAfterChange()
	}
	return 0
}

// dateDeletions dates the deletions of an answer, and the answer itself. They happened after the store had last been read, which
// may be a while ago if the VMs that read it were lost. Entries that the store removed while it was unavailable come back: their
// deletions have no date, and count from now.
func (r *Reader) dateDeletions(d *mirror.Delta, lastRead, now time.Time) {
	d.ReadAt = now
	if r.failedAt.After(lastRead) {
		return
	}
	d.DeletedSince = lastRead
	for i := range d.Items {
		if d.Items[i].Deleted {
			d.Items[i].DeletedSince = lastRead
		}
	}
}

// noteHistoryGone records that the store doesn't hold the history from the position on, and returns the pause before the
// next call.
func (r *Reader) noteHistoryGone(kind string, asked mirror.Position, gone *HistoryGoneError) time.Duration {
	r.metrics.reads.WithLabelValues(kind, "history_gone").Inc()
	era := r.eraOf(gone.Era, asked)
	r.metrics.era.Set(float64(era))
	if !r.historyGone {
		r.log.Warn("store's history is gone; reading a snapshot", zap.Uint64("era", era),
			zap.Uint64("era_known", asked.Era), zap.Uint64("complete_to", asked.Revision))
	}
	r.historyGone = true
	r.needSnapshot = era == asked.Era
	return 0
}

// eraOf returns the era of an answer and records it. An answer that names none counts as of the era that it was asked in.
func (r *Reader) eraOf(named uint64, asked mirror.Position) uint64 {
	if named == 0 {
		if !r.eraUnnamed {
			r.log.Warn("store names no era; a return from a copy can't be told", zap.Uint64("era_known", asked.Era))
		}
		r.eraUnnamed = true
		return asked.Era
	}
	r.newestEra = max(r.newestEra, named)
	return named
}

// pauseAfterChange returns the pause after a change.
func (r *Reader) pauseAfterChange() time.Duration {
	if readers.Rank(zoneRankKey, r.fleet.Zones(), r.Zone) == 0 {
		return r.batchPause
	}
	return r.secondaryPause
}

// The kinds of reads, in logs and metrics.
const (
	kindSnapshot = "snapshot"
	kindWatch    = "watch"
)

// zoneRankKey is the key by which the zones are ranked.
const zoneRankKey = "store"

// callStore makes the next call. A VM that got the state up to some revision from its peers continues from there
// with a delta. In a new era of the store it reads the whole, unless a peer was first.
func (r *Reader) callStore(ctx context.Context, at mirror.Position) (string, mirror.Delta, error) {
	if at.Revision == 0 || r.needSnapshot || r.newestEra > at.Era {
		answerCtx, cancel := context.WithTimeout(ctx, answerTimeout)
		defer cancel()
		d, err := r.store.Snapshot(answerCtx)
		if err == nil {
			r.addEndedEvacuations(ctx, at, &d)
			r.needSnapshot = false
		}
		return kindSnapshot, d, err
	}
	pollWait := min(r.pollWait, r.maxContactInterval()-r.lastPause)
	if !r.answered {
		pollWait = firstPollWait
	}
	d, err := r.poll(ctx, at.Revision, pollWait)
	return kindWatch, d, err
}

// addEndedEvacuations adds the evacuations that ended before the snapshot, where they matter: no VM may remember them if
// all have just started. A store that is slow or lossy may leave some out; the leaves' entries then say later that they
// are cold. A VM that knew an earlier era remembers them.
func (r *Reader) addEndedEvacuations(ctx context.Context, known mirror.Position, d *mirror.Delta) {
	if known.Revision > 0 && known.Era < d.Era || !r.NeedsHistory(d.Items) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	ended, err := r.store.EndedEvacuations(ctx, mirror.Position{Era: d.Era, Revision: d.CompleteTo})
	if err != nil {
		r.log.Warn("ended evacuations not read in full", zap.Uint64("complete_to", d.CompleteTo), zap.Error(err))
	}
	d.Items = append(d.Items, ended...)
}

// noteRevision records the era and the revision of an answer, and reports whether they are below what this VM knew when
// it asked. It logs that once.
func (r *Reader) noteRevision(kind string, d mirror.Delta, known mirror.Position) (behind bool) {
	r.metrics.era.Set(float64(d.Era))
	r.metrics.answeredRevision.Set(float64(d.CompleteTo))
	r.historyGone = r.historyGone && kind != kindWatch
	behind = mirror.Position{Era: d.Era, Revision: d.CompleteTo}.Compare(known) < 0
	if behind && !r.behind {
		r.log.Warn("store's revision is below the known one", zap.String("kind", kind), zap.Uint64("era", d.Era),
			zap.Uint64("era_known", known.Era), zap.Uint64("revision", d.CompleteTo), zap.Uint64("complete_to", known.Revision), zap.Int("items", len(d.Items)))
	}
	if behind {
		r.metrics.answersBehind.Inc()
	}
	r.behind = behind
	return behind
}

// noteFailure records that the store did not answer.
func (r *Reader) noteFailure(err error) {
	if r.reachable {
		r.log.Warn("store lost", zap.Error(err))
	}
	r.reachable, r.answered = false, false
	if !errors.Is(err, ErrRateLimited) {
		r.failedAt = time.Now()
	}
}

// noteAnswer records that the store answered, and a takeover if the zone's contact was too old.
func (r *Reader) noteAnswer(now time.Time) {
	if !r.reachable {
		r.log.Info("store regained", zap.Uint64("complete_to", r.mirror.CompleteTo()))
	}
	r.reachable = true
	r.answered = true
	members, contact := r.contactAge(now)
	if contact > r.takeoverAgeFor(members) && readers.Rank(r.Zone, members, r.Self) > 0 {
		r.log.Info("reading in place of the first by rank", zap.Duration("contact_age", contact))
		r.takeoverAt = now
	}
	r.fleet.RecordStoreContact(now)
}
