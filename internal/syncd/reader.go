package syncd

import (
	"context"
	"encoding/hex"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/listing"
	"github.com/burdockplank/burdockplank/internal/platform"
	"github.com/burdockplank/burdockplank/internal/readers"
	"github.com/burdockplank/burdockplank/internal/spread"
	"github.com/burdockplank/burdockplank/internal/wait"
)

const (
	// manifestKey and sectionPrefix are the platform's keys for a bundle.
	manifestKey   = "bundle/manifest"
	sectionPrefix = "bundle/section/"
	// watchWait is the wait time of a long poll. Without changes it bounds the age of the platform
	// contact.
	watchWait = 5 * time.Second
	// activeCheckPeriod is the interval at which a VM decides whether it reads the platform.
	activeCheckPeriod = 500 * time.Millisecond
	// maxManifestRetryDelay is the maximum delay after a failed read of the manifest. A version
	// published at the moment the platform recovers must be in force within 3 s, of which reading
	// and spreading take up to 1 s. With delays of up to 8 s, about 1 of 100 such versions came
	// later. The list of VMs has no such time limit and is retried less often.
	maxManifestRetryDelay = 2 * time.Second
	// minWatchInterval prevents a busy loop if the platform answers watches at once.
	minWatchInterval = 100 * time.Millisecond
)

// Platform is the part of the platform's API that a sync reads. *platform.Client implements it.
type Platform interface {
	Get(ctx context.Context, key string) (platform.Value, error)
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (platform.Value, error)
	List(ctx context.Context) (platform.Value, error)
	WatchList(ctx context.Context, after uint64, wait time.Duration) (platform.Value, error)
}

// reader reads the platform while this VM is one of the readers of its zone.
type reader struct {
	m      *Manager
	jitter float64

	mu sync.Mutex
	// active is true while this VM reads. lastReached is when it reached the platform while it was
	// not among the first by rank; it is set again at most once per readers.TakeoverDuration. Both
	// are guarded by mu.
	active      bool
	lastReached time.Time
}

func newReader(m *Manager) *reader { return &reader{m: m, jitter: rand.Float64()} }

// run starts and stops the watches as this VM becomes a reader or ceases to be one, until ctx ends.
func (r *reader) run(ctx context.Context) {
	var stop context.CancelFunc
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		active := r.updateActive(time.Now())
		if active && stop == nil {
			var readCtx context.Context
			readCtx, stop = context.WithCancel(ctx)
			wg.Go(func() { r.watch(readCtx, maxManifestRetryDelay, r.watchManifest) })
			wg.Go(func() { r.watch(readCtx, 0, r.watchList) })
		}
		if !active && stop != nil {
			stop()
			stop = nil
		}
		if !wait.For(ctx, activeCheckPeriod) {
			if stop != nil {
				stop()
			}
			return
		}
	}
}

// updateActive decides whether this VM reads the platform and returns the decision.
func (r *reader) updateActive(now time.Time) bool {
	state := r.state(now)
	active := r.m.spread.CaughtUp() && readers.Active(state)
	r.mu.Lock()
	changed := r.active != active
	r.active = active
	r.mu.Unlock()
	if changed {
		r.m.cfg.Log.Info("platform reader status changed", zap.Bool("active", active), zap.Int("rank", state.Rank))
	}
	return active
}

// state returns the input of that decision.
func (r *reader) state(now time.Time) readers.State {
	zone, self := r.m.cfg.Settings.VM.Zone, r.m.cfg.Settings.VM.ID
	vms := append(r.m.members.Live(zone), self)
	age, known := r.m.spread.PlatformAge(now)
	if !known {
		age = now.Sub(r.m.started)
	}
	s := readers.State{
		Rank: readers.Rank(zone, vms, self), Members: len(vms), ContactAge: age, Jitter: r.jitter, SinceTakeover: -1,
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.lastReached.IsZero() {
		s.SinceTakeover = now.Sub(r.lastReached)
	}
	return s
}

// watch repeats one watch until ctx ends. After failures it backs off for up to maxDelay, or for
// the default of the platform's client if maxDelay is 0.
func (r *reader) watch(ctx context.Context, maxDelay time.Duration, once func(ctx context.Context, after uint64) (uint64, error)) {
	backoff := platform.Backoff{Max: maxDelay}
	var after uint64
	for ctx.Err() == nil {
		var err error
		after, err = once(ctx, after)
		gap := minWatchInterval
		if err != nil {
			gap = backoff.Next()
			r.m.cfg.Log.Debug("platform read failed", zap.Error(err))
		} else {
			backoff.Reset()
		}
		if !wait.For(ctx, gap) {
			return
		}
	}
}

// recordContact records that the platform answered.
func (r *reader) recordContact(now time.Time) {
	r.m.spread.RecordPlatformContact(now)
	state := r.state(now)
	if state.Rank < readers.PerZone {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastReached.IsZero() || now.Sub(r.lastReached) >= readers.TakeoverDuration {
		r.lastReached = now
	}
}

// watchManifest waits for a change of the manifest and applies the bundle. It returns the revision to
// watch from next: the same one if the bundle was not available yet, and none after a failed read, since a
// platform that was away may have come back from a copy and give its revisions out again.
func (r *reader) watchManifest(ctx context.Context, after uint64) (uint64, error) {
	v, err := r.m.cfg.Platform.Watch(ctx, manifestKey, after, watchWait)
	if !platform.Answered(err) {
		return 0, err
	}
	r.recordContact(time.Now())
	if !v.Changed {
		return v.Revision, nil
	}
	if err := r.applyManifest(ctx, v.Body); err != nil {
		return after, err
	}
	return v.Revision, nil
}

// applyManifest puts the bundle of the manifest in force if it is higher. It returns nil for a
// bundle that is refused, because a retry would not change that.
func (r *reader) applyManifest(ctx context.Context, encoded []byte) error {
	receivedAt := time.Now()
	signed := new(pb.SignedManifest)
	if err := proto.Unmarshal(encoded, signed); err != nil {
		r.m.cfg.Log.Error("platform manifest could not be decoded", zap.Error(err))
		return nil
	}
	missing, wanted, err := r.m.content.MissingBundleSections(signed)
	if err == nil && wanted {
		err = r.fetchBundle(ctx, signed, missing, receivedAt)
	}
	var refused *bundle.RefusedError
	if errors.As(err, &refused) {
		r.m.cfg.Log.Error("bundle from the platform refused", zap.Error(err))
		return nil
	}
	return err
}

func (r *reader) fetchBundle(ctx context.Context, signed *pb.SignedManifest, missing []bundle.Digest, receivedAt time.Time) error {
	var sections [][]byte
	for _, d := range missing {
		v, err := r.m.cfg.Platform.Get(ctx, sectionPrefix+hex.EncodeToString(d[:]))
		if err != nil {
			return eris.Wrap(err, "sync.reader: read section")
		}
		sections = append(sections, v.Body)
	}
	return r.m.spread.ApplyBundle(signed, sections, spread.Origin{From: "platform", RequestedAt: receivedAt})
}

// watchList waits for a change of the list and applies it.
func (r *reader) watchList(ctx context.Context, after uint64) (uint64, error) {
	v, err := r.m.cfg.Platform.WatchList(ctx, after, watchWait)
	if !platform.Answered(err) {
		return after, err
	}
	r.recordContact(time.Now())
	if v.Changed {
		r.applyList(v.Body)
	}
	return v.Revision, nil
}

// applyList applies a list if it is higher than the one held.
func (r *reader) applyList(text []byte) {
	l, skipped, err := listing.Parse(text)
	if err != nil {
		r.m.cfg.Log.Error("platform list could not be decoded", zap.Error(err))
		return
	}
	if !r.m.content.ApplyList(l) {
		return
	}
	if skipped > 0 {
		r.m.cfg.Log.Warn("invalid entries in the platform list skipped", zap.Int("skipped", skipped))
	}
	r.m.spread.ListChanged()
}

// readOnce reads list and manifest once and applies the list. ok is true if the platform answered
// both.
func (r *reader) readOnce(ctx context.Context) (manifest []byte, ok bool) {
	list, err := r.m.cfg.Platform.List(ctx)
	if !platform.Answered(err) {
		return nil, false
	}
	r.m.spread.RecordPlatformContact(time.Now())
	if list.Changed {
		r.applyList(list.Body)
	}
	v, err := r.m.cfg.Platform.Get(ctx, manifestKey)
	if !platform.Answered(err) {
		return nil, false
	}
	return v.Body, true
}

// isActive reports whether this VM reads the platform.
func (r *reader) isActive() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.active
}
