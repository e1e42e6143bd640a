// Package directory derives the configuration in force and the leaves that may take work from the mirrored items of
// the platform's store.
package directory

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/mirror"
	"github.com/burdockplank/burdockplank/internal/notify"
)

// Messages of log lines that tell what a VM goes by from then on. The tools that read the logs look them up.
const (
	MsgConfigInForce = "configuration in force"
	MsgStoreRestored = "store came back from a copy"
)

// ExpiryGracePeriod is how long after the removal of its entry, without draining first, a leaf may still be called if its
// group has no other leaf. Entries expire while the store is unavailable and are back about 2 s after its return. A
// leaf that is really leaving gets no work beyond the time that the platform allows: where that is shorter than is usual,
// expiryGraceFraction of it replaces this.
const (
	ExpiryGracePeriod   = 2200 * time.Millisecond
	expiryGraceFraction = 0.9
)

// Decoder decodes items in the platform's format.
type Decoder interface {
	// Config decodes the configuration; ok is false if the key holds none.
	Config(key string, value []byte) (c *catalog.Config, ok bool, err error)
	// Leaf decodes the entry of a leaf; ok is false if the key holds none.
	Leaf(key string, value []byte) (l catalog.Leaf, ok bool, err error)
	// Evacuation returns the availability zone that the item evacuates while it exists; ok is false if the key
	// names no evacuation.
	Evacuation(key string) (zone string, ok bool)
}

// View is the configuration and the leaves at one moment. It is immutable once built.
type View struct {
	// Config is nil until one has been read.
	Config *catalog.Config
	// Leaves that may take work, by service, in no particular order.
	Leaves map[string][]catalog.Leaf
	// Expired leaves by service: their entry was certainly removed less than ExpiryGracePeriod ago.
	Expired map[string][]catalog.Leaf
	// Removed leaves by service: this VM learned of the removal of their entry less than ExpiryGracePeriod ago. They are the
	// Expired ones, and others that must not be called any more.
	Removed map[string][]catalog.Leaf
	// EvacuatedLeaves are leaves by service: they may take no work because their zone is evacuated.
	EvacuatedLeaves map[string][]catalog.Leaf
	// Draining holds the leaves that have announced their shutdown, until they are forgotten.
	Draining map[catalog.LeafID]bool
	// Evacuations are the evacuations in force, by zone.
	Evacuations map[string]Evacuation
	// Era of the store, and its revision up to which the view is complete.
	Era, Revision uint64
}

// Directory holds the newest view. It is safe for concurrent use.
type Directory struct {
	mirror  *mirror.Mirror
	changed *notify.Notifier
	updated *notify.Notifier
	decoder Decoder
	log     *zap.Logger
	metrics *metrics
	// ignoredLogLimiter limits the rate of log lines about ignored entries.
	ignoredLogLimiter *rate.Limiter
	current           atomic.Pointer[View]
	// expiryGrace is how long a leaf may be called after the removal of its entry.
	expiryGrace time.Duration

	mu sync.Mutex
	// leaves holds the registrations of leaves by key. config is the configuration in force, and examinedConfigs the
	// positions of the items that were examined for one. All are guarded by mu.
	leaves          map[string]registration
	config          *catalog.Config
	examinedConfigs map[mirror.Position]bool
	// restore describes the latest return of the store from a copy; nil if there was none. Guarded by mu.
	restore *Restore
	// evacuations are those of the newest view, by zone; guarded by mu.
	evacuations map[string]Evacuation
}

// maxIgnoredLogsPerSecond limits the log lines about entries that name no leaf, since other writers may add them
// often.
const maxIgnoredLogsPerSecond = 2

// maxStartAhead is how far a leaf's start time may be ahead of this VM's clock. Clocks jump by seconds. A start
// time further ahead would keep out every later start of that leaf.
const maxStartAhead = time.Hour

// New returns a directory of the mirror. The mirror fires changed when an item changes; the directory fires updated
// when it has a new view. A leaf may get requests until drainTimeout after its removal; 0 where that is unknown.
func New(m *mirror.Mirror, changed, updated *notify.Notifier, d Decoder, drainTimeout time.Duration, log *zap.Logger, reg prometheus.Registerer) *Directory {
	dir := &Directory{
		expiryGrace: expiryGrace(drainTimeout),
		metrics:     newMetrics(reg), ignoredLogLimiter: rate.NewLimiter(maxIgnoredLogsPerSecond, maxIgnoredLogsPerSecond),
		mirror: m, changed: changed, updated: updated, decoder: d, log: log, leaves: make(map[string]registration)}
	dir.current.Store(&View{})
	return dir
}

func expiryGrace(drainTimeout time.Duration) time.Duration {
	if drainTimeout <= 0 {
		return ExpiryGracePeriod
	}
	return min(ExpiryGracePeriod, time.Duration(expiryGraceFraction*float64(drainTimeout)))
}

// Current returns the newest view.
func (d *Directory) Current() *View { return d.current.Load() }

// Await returns the newest view as soon as it has a configuration, or when the limit has passed or ctx has ended.
func (d *Directory) Await(ctx context.Context, limit time.Duration) *View {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		next := d.updated.Changed()
		if v := d.Current(); v.Config != nil {
			return v
		}
		select {
		case <-ctx.Done():
			return d.Current()
		case <-next:
		}
	}
}

// Run refreshes the view whenever the mirror changes, until ctx ends. It returns nil.
func (d *Directory) Run(ctx context.Context) error {
	for {
		next := d.changed.Changed()
		wait := d.Refresh(time.Now())
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-next:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// maxRefreshInterval is how often the view is rebuilt without a change. It only bounds the wait.
const maxRefreshInterval = time.Minute

// Refresh builds a view of the mirror's items and returns how long it stays valid if the mirror does not change.
func (d *Directory) Refresh(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := &View{
		Leaves: make(map[string][]catalog.Leaf), Expired: make(map[string][]catalog.Leaf), Removed: make(map[string][]catalog.Leaf), EvacuatedLeaves: make(map[string][]catalog.Leaf),
		Draining: make(map[catalog.LeafID]bool),
	}
	eras := d.mirror.State(now)
	v.Era, v.Revision = eras[0].Era, eras[0].CompleteTo
	d.updateConfig(eras)
	items, next := d.carryOver(eras, now)
	zones := d.zonesOf(items)
	v.Evacuations = zones.evacuated
	seen := make(map[string]bool, len(items))
	for _, it := range items {
		seen[it.Key] = true
		if it.Deleted {
			next = min(next, d.addExpired(v, it, zones, now))
			continue
		}
		d.addLeaf(v, it, zones, now)
	}
	for key := range d.leaves {
		if !seen[key] {
			delete(d.leaves, key)
		}
	}
	v.Config = d.config
	d.noteEvacuations(v, now)
	d.noteRestore(eras, now)
	d.current.Store(v)
	d.updated.Fire()
	return next
}

// addExpired adds a removed leaf to the view: as expired while its grace period lasts, which counts from the earliest time at
// which the entry may have been removed, and as removed for as long after this VM learned of it. It returns the time until the
// view changes. The caller must hold mu.
func (d *Directory) addExpired(v *View, it mirror.ReceivedItem, zones zoneStates, now time.Time) time.Duration {
	l, ok := d.leaves[it.Key]
	if ok && l.leaf.Draining {
		v.Draining[l.leaf.ID] = true
	}
	if !ok || !l.usable || l.leaf.Draining {
		return maxRefreshInterval
	}
	remaining := ExpiryGracePeriod - now.Sub(it.ReceivedAt)
	callable := d.expiryGrace - now.Sub(it.DeletedSince)
	if remaining <= 0 {
		delete(d.leaves, it.Key)
		d.log.Info("leaf gone", zap.Stringer("leaf", l.leaf.ID), zap.String("service", l.leaf.Service), zap.Uint64("revision", it.Revision))
		return maxRefreshInterval
	}
	d.addTo(v, v.Removed, l, zones)
	if _, evacuated := zones.evacuated[l.leaf.Zone]; evacuated || callable <= 0 {
		return remaining
	}
	d.addTo(v, v.Expired, l, zones)
	return min(remaining, callable)
}

// addLeaf adds an item to the view if it is the entry of a leaf that may be called. The caller must hold mu.
func (d *Directory) addLeaf(v *View, it mirror.ReceivedItem, zones zoneStates, now time.Time) {
	known, ok := d.leaves[it.Key]
	if !ok || known.at != it.At {
		leaf, isLeaf, err := d.decoder.Leaf(it.Key, it.Value)
		if !isLeaf {
			return
		}
		known = d.register(it, leaf, err, now)
		d.leaves[it.Key] = known
	}
	switch {
	case !known.usable:
	case known.leaf.Draining:
		v.Draining[known.leaf.ID] = true
	default:
		d.addTo(v, v.Leaves, known, zones)
	}
}

// addTo adds the leaf to the list, or to the evacuated ones where its zone is. The caller must hold mu.
func (d *Directory) addTo(v *View, list map[string][]catalog.Leaf, r registration, zones zoneStates) {
	leaf := r.leaf
	if _, evacuated := zones.evacuated[leaf.Zone]; evacuated {
		list = v.EvacuatedLeaves
	}
	leaf.ColdUntil = d.coldUntil(r, zones)
	list[leaf.Service] = append(list[leaf.Service], leaf)
}

// updateConfig puts the newest configuration among the items of all eras in force. The caller must hold mu.
func (d *Directory) updateConfig(eras []mirror.EraItems) {
	examined := make(map[mirror.Position]bool)
	for _, e := range eras {
		for _, it := range e.Items {
			if it.Deleted {
				continue
			}
			if d.examinedConfigs[it.At] || d.applyConfig(it) {
				examined[it.At] = true
			}
		}
	}
	d.examinedConfigs = examined
}

// applyConfig puts a configuration in force unless a newer version is, and reports whether the item holds one. The
// version orders configurations, as a revision may be given out again. If it can't be decoded, the previous one stays in
// force. The caller must hold mu.
func (d *Directory) applyConfig(it mirror.ReceivedItem) bool {
	c, ok, err := d.decoder.Config(it.Key, it.Value)
	if !ok {
		return false
	}
	at := []zap.Field{zap.Uint64("era", it.At.Era), zap.Uint64("revision", it.Revision)}
	switch {
	case err != nil:
		d.log.Error("configuration ignored: it can't be decoded", append(at, zap.Error(err))...)
	case d.config != nil && c.Version < d.config.Version:
		d.log.Warn("configuration ignored: a newer version is in force", append(at, zap.Uint64("version", c.Version), zap.Uint64("in_force", d.config.Version))...)
	default:
		d.config = c
		d.log.Info(MsgConfigInForce, append(at, zap.Uint64("version", c.Version), zap.Int("routes", c.Routes()))...)
	}
	return true
}
