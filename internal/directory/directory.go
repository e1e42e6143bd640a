// Package directory turns the copied items of the platform's store into the configuration in force
// and the leaves that may take work.
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

// ExpiryGracePeriod is how long a leaf whose entry was removed without a word may still be asked where its
// group has no other. Entries lapse while the store is away, and are back about 2 s after its return;
// a leaf that is really leaving gets no work later than the 3 s that the platform allows.
const ExpiryGracePeriod = 2200 * time.Millisecond

// Decoder knows the platform's format of items.
type Decoder interface {
	// Config decodes the configuration; ok is false where the key holds none.
	Config(key string, value []byte) (c *catalog.Config, ok bool, err error)
	// Leaf decodes an entry of a leaf; ok is false where the key holds none.
	Leaf(key string, value []byte) (l catalog.Leaf, ok bool, err error)
}

// View is what is known at one moment. It is never changed once built.
type View struct {
	// Config is nil until one was read.
	Config *catalog.Config
	// Leaves of each service that may take work, in no order.
	Leaves map[string][]catalog.Leaf
	// Expired leaves of each service: their entry was removed less than ExpiryGracePeriod ago.
	Expired map[string][]catalog.Leaf
	// Revision of the store up to which the view is complete.
	Revision uint64
}

// Directory keeps the newest view. It is safe for concurrent use.
type Directory struct {
	mirror  *mirror.Mirror
	changed *notify.Notifier
	updated *notify.Notifier
	decoder Decoder
	log     *zap.Logger
	ignored prometheus.Counter
	// ignoredLogLimiter bounds the lines of ignored entries.
	ignoredLogLimiter *rate.Limiter
	current           atomic.Pointer[View]

	mu sync.Mutex
	// decoded leaves and the configuration by the revision of their item; guarded by mu.
	leaves         map[string]registration
	config         *catalog.Config
	configRevision uint64
}

// maxIgnoredLogsPerSecond bounds the lines a second of entries that name no leaf: whoever writes them may do so often.
const maxIgnoredLogsPerSecond = 2

// maxStartAhead is how far ahead of this VM's time of day a leaf's start may lie. Clocks jump by seconds; a start
// beyond would keep out every later one of that leaf.
const maxStartAhead = time.Hour

// New returns a directory of the mirror, whose changes fire changed. It fires updated itself.
func New(m *mirror.Mirror, changed, updated *notify.Notifier, d Decoder, log *zap.Logger, reg prometheus.Registerer) *Directory {
	ignored := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "burdock_leaf_entries_ignored_total", Help: "Entries of the store that look like a leaf's and name no leaf to use.",
	})
	reg.MustRegister(ignored)
	dir := &Directory{
		ignored: ignored, ignoredLogLimiter: rate.NewLimiter(maxIgnoredLogsPerSecond, maxIgnoredLogsPerSecond),
		mirror: m, changed: changed, updated: updated, decoder: d, log: log, leaves: make(map[string]registration)}
	dir.current.Store(&View{})
	return dir
}

// Current returns the newest view.
func (d *Directory) Current() *View { return d.current.Load() }

// Await returns the newest view once it has a configuration, or after the time.
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

// Run follows the mirror until ctx ends.
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

// maxRefreshInterval is how often the view is built anew without news; it only bounds the wait.
const maxRefreshInterval = time.Minute

// Refresh builds the view of what the mirror holds, and returns after which time it changes by itself.
func (d *Directory) Refresh(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := &View{Leaves: make(map[string][]catalog.Leaf), Expired: make(map[string][]catalog.Leaf), Revision: d.mirror.CompleteTo()}
	next := maxRefreshInterval
	seen := make(map[string]bool)
	for _, it := range d.mirror.All() {
		seen[it.Key] = true
		if it.Deleted {
			next = min(next, d.addExpired(v, it, now))
			continue
		}
		d.addItem(v, it, now)
	}
	for key := range d.leaves {
		if !seen[key] {
			delete(d.leaves, key)
		}
	}
	v.Config = d.config
	d.current.Store(v)
	d.updated.Fire()
	return next
}

// addExpired shows a removed leaf as lapsed for a while. Requires mu.
func (d *Directory) addExpired(v *View, it mirror.ReceivedItem, now time.Time) time.Duration {
	l, ok := d.leaves[it.Key]
	if !ok || !l.usable || l.leaf.Draining {
		return maxRefreshInterval
	}
	remaining := ExpiryGracePeriod - now.Sub(it.ReceivedAt)
	if remaining <= 0 {
		delete(d.leaves, it.Key)
		d.log.Info("leaf gone", zap.Stringer("leaf", l.leaf.ID), zap.String("service", l.leaf.Service), zap.Uint64("revision", it.Revision))
		return maxRefreshInterval
	}
	v.Expired[l.leaf.Service] = append(v.Expired[l.leaf.Service], l.leaf)
	return remaining
}

// addItem adds an item to the view. Requires mu.
func (d *Directory) addItem(v *View, it mirror.ReceivedItem, now time.Time) {
	if known, ok := d.leaves[it.Key]; ok && known.revision == it.Revision {
		known.addTo(v)
		return
	}
	leaf, ok, err := d.decoder.Leaf(it.Key, it.Value)
	if ok {
		r := d.register(it, leaf, err, now)
		d.leaves[it.Key] = r
		r.addTo(v)
		return
	}
	if it.Revision > d.configRevision {
		d.applyConfig(it)
	}
}

// applyConfig puts a newer configuration in force; one that can't be decoded leaves the last in
// force. Requires mu.
func (d *Directory) applyConfig(it mirror.ReceivedItem) {
	c, ok, err := d.decoder.Config(it.Key, it.Value)
	if !ok {
		return
	}
	d.configRevision = it.Revision
	if err != nil {
		d.log.Error("configuration ignored", zap.Uint64("revision", it.Revision), zap.Error(err))
		return
	}
	if d.config != nil && c.Version < d.config.Version {
		d.log.Error("configuration of an older version ignored", zap.Uint64("version", c.Version), zap.Uint64("in_force", d.config.Version))
		return
	}
	d.config = c
	d.log.Info("configuration in force", zap.Uint64("version", c.Version), zap.Uint64("revision", it.Revision), zap.Int("routes", c.Routes()))
}
