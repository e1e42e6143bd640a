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
	// manifestKey and sectionPrefix are the platform's keys of a bundle.
	manifestKey   = "bundle/manifest"
	sectionPrefix = "bundle/section/"
	// watchWait is the wait of a long poll; it bounds the age of the contact in the calm.
	watchWait = 5 * time.Second
	// turnPeriod is how often it is decided whether this VM reads.
	turnPeriod = 500 * time.Millisecond
	// manifestRetryMost is the longest wait after reads of the manifest that failed. A version that is published in the moment in which
	// the platform comes back is due in 3 s, of which reading and spreading take up to one. With waits of up to
	// 8 s about 1 of 100 such versions came later. The list of VMs, for which no such time is promised, is
	// tried less often.
	manifestRetryMost = 2 * time.Second
	// minWatchGap keeps a platform that answers watches at once from being asked in a loop.
	minWatchGap = 100 * time.Millisecond
)

// Platform is what a sync reads; *platform.Client implements it.
type Platform interface {
	Get(ctx context.Context, key string) (platform.Value, error)
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (platform.Value, error)
	List(ctx context.Context) (platform.Value, error)
	WatchList(ctx context.Context, after uint64, wait time.Duration) (platform.Value, error)
}

// reader reads the platform where it is this VM's turn.
type reader struct {
	m      *Manager
	jitter float64

	mu sync.Mutex
	// active is whether this VM reads now; reached is when it last reached the platform while it
	// was not among the first by rank. Both are guarded by mu.
	active  bool
	reached time.Time
}

func newReader(m *Manager) *reader { return &reader{m: m, jitter: rand.Float64()} }

// run reads while it is this VM's turn.
func (r *reader) run(ctx context.Context) {
	var stop context.CancelFunc
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		active := r.turn(time.Now())
		if active && stop == nil {
			var turn context.Context
			turn, stop = context.WithCancel(ctx)
			wg.Go(func() { r.watch(turn, manifestRetryMost, r.watchManifest) })
			wg.Go(func() { r.watch(turn, 0, r.watchList) })
		}
		if !active && stop != nil {
			stop()
			stop = nil
		}
		if !wait.For(ctx, turnPeriod) {
			if stop != nil {
				stop()
			}
			return
		}
	}
}

// turn decides whether this VM reads.
func (r *reader) turn(now time.Time) bool {
	state := r.state(now)
	active := r.m.spread.CaughtUp() && readers.Active(state)
	r.mu.Lock()
	changed := r.active != active
	r.active = active
	r.mu.Unlock()
	if changed {
		r.m.cfg.Log.Info("reading the platform", zap.Bool("active", active), zap.Int("rank", state.Rank))
	}
	return active
}

// state returns what the turn depends on.
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
	if !r.reached.IsZero() {
		s.SinceTakeover = now.Sub(r.reached)
	}
	return s
}

// watch repeats one watch until its turn ends, with a backoff while it fails, of most at the longest or as the
// platform's client has it where that is 0.
func (r *reader) watch(ctx context.Context, most time.Duration, once func(ctx context.Context, after uint64) (uint64, error)) {
	backoff := platform.Backoff{Most: most}
	var after uint64
	for ctx.Err() == nil {
		next, err := once(ctx, after)
		gap := minWatchGap
		if err != nil {
			gap = backoff.Next()
			r.m.cfg.Log.Debug("platform read failed", zap.Error(err))
		} else {
			backoff.Reset()
			after = next
		}
		if !wait.For(ctx, gap) {
			return
		}
	}
}

// contact notes that the platform answered.
func (r *reader) contact(now time.Time) {
	r.m.spread.NoteContact(now)
	state := r.state(now)
	if state.Rank < readers.PerZone {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reached.IsZero() || now.Sub(r.reached) >= readers.Hold {
		r.reached = now
	}
}

// watchManifest waits for a change of the manifest and takes the bundle. It returns the revision to
// watch from next; the old one stays where the bundle couldn't be had yet.
func (r *reader) watchManifest(ctx context.Context, after uint64) (uint64, error) {
	v, err := r.m.cfg.Platform.Watch(ctx, manifestKey, after, watchWait)
	if !platform.Answered(err) {
		return after, err
	}
	r.contact(time.Now())
	if !v.Changed {
		return v.Revision, nil
	}
	return v.Revision, r.takeManifest(ctx, v.Body)
}

// takeManifest brings the bundle in force up to the manifest, if that is higher. The error is nil
// for a bundle that is refused: asking again would not change it.
func (r *reader) takeManifest(ctx context.Context, encoded []byte) error {
	came := time.Now()
	signed := new(pb.SignedManifest)
	if err := proto.Unmarshal(encoded, signed); err != nil {
		r.m.cfg.Log.Error("manifest on the platform can't be read", zap.Error(err))
		return nil
	}
	missing, wanted, err := r.m.content.MissingBundleSections(signed)
	if err == nil && wanted {
		err = r.takeSections(ctx, signed, missing, came)
	}
	var refused *bundle.RefusedError
	if errors.As(err, &refused) {
		r.m.cfg.Log.Error("bundle on the platform refused", zap.Error(err))
		return nil
	}
	return err
}

func (r *reader) takeSections(ctx context.Context, signed *pb.SignedManifest, missing []bundle.Digest, came time.Time) error {
	var sections [][]byte
	for _, d := range missing {
		v, err := r.m.cfg.Platform.Get(ctx, sectionPrefix+hex.EncodeToString(d[:]))
		if err != nil {
			return eris.Wrap(err, "sync.reader: read section")
		}
		sections = append(sections, v.Body)
	}
	return r.m.spread.TakeBundle(signed, sections, spread.Origin{From: "platform", Asked: came})
}

// watchList waits for a change of the list and takes it.
func (r *reader) watchList(ctx context.Context, after uint64) (uint64, error) {
	v, err := r.m.cfg.Platform.WatchList(ctx, after, watchWait)
	if !platform.Answered(err) {
		return after, err
	}
	r.contact(time.Now())
	if v.Changed {
		r.takeList(v.Body)
	}
	return v.Revision, nil
}

// takeList takes a list if it is higher than the one held.
func (r *reader) takeList(text []byte) {
	l, skipped, err := listing.Parse(text)
	if err != nil {
		r.m.cfg.Log.Error("list on the platform can't be read", zap.Error(err))
		return
	}
	if !r.m.content.ApplyList(l) {
		return
	}
	if skipped > 0 {
		r.m.cfg.Log.Warn("entries of the list can't be used", zap.Int("skipped", skipped))
	}
	r.m.spread.ListChanged()
}

// readOnce reads list and manifest once, takes the list, and tells whether the platform answered
// both.
func (r *reader) readOnce(ctx context.Context) (manifest []byte, ok bool) {
	list, err := r.m.cfg.Platform.List(ctx)
	if !platform.Answered(err) {
		return nil, false
	}
	r.m.spread.NoteContact(time.Now())
	if list.Changed {
		r.takeList(list.Body)
	}
	v, err := r.m.cfg.Platform.Get(ctx, manifestKey)
	if !platform.Answered(err) {
		return nil, false
	}
	return v.Body, true
}

// activeNow tells whether this VM reads.
func (r *reader) activeNow() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.active
}
