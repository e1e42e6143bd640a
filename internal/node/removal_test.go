package node_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/burdockplank/burdockplank/internal/directory"
	"github.com/burdockplank/burdockplank/internal/mirror"
	"github.com/burdockplank/burdockplank/internal/notify"
	"github.com/burdockplank/burdockplank/internal/readers"
	"github.com/burdockplank/burdockplank/internal/storeread"
	"github.com/burdockplank/burdockplank/platform"
)

// removalStore is a store from which the entry of a leaf is removed once removed is closed.
type removalStore struct{ removed chan struct{} }

const leafEntry = `{"service":"x","address":"127.0.0.1:1","zone":"z","version":"v1","slots":4,"state":"ready","warmup_remaining_ms":0,"sequence":1,"born":1}`

func (s *removalStore) Snapshot(context.Context) (mirror.Delta, error) {
	return mirror.Delta{}, errors.New("no snapshot is needed")
}

func (s *removalStore) Watch(ctx context.Context, after uint64, wait time.Duration) (mirror.Delta, error) {
	removed := s.removed
	if after > 1 {
		removed = nil // the watch has reported it
	}
	select {
	case <-ctx.Done():
		return mirror.Delta{}, ctx.Err()
	case <-time.After(wait):
		return mirror.Delta{CompleteFrom: after, CompleteTo: after}, nil
	case <-removed:
		removal := mirror.Item{Key: "servers/i-1", Revision: 2, Deleted: true}
		return mirror.Delta{Items: []mirror.Item{removal}, CompleteFrom: after, CompleteTo: 2}, nil
	}
}

func (s *removalStore) EndedEvacuations(context.Context, mirror.Position) ([]mirror.Item, error) {
	return nil, nil
}

// lostReaders is a fleet whose reader, the first by rank, and perhaps others were lost right after the store had answered it.
type lostReaders struct {
	// members are the VMs of the zone.
	members []string
	mu      sync.Mutex
	// contactAt is when the store last answered a VM of the zone; guarded by mu.
	contactAt time.Time
}

func (f *lostReaders) ZoneStatus(now time.Time) ([]string, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members, now.Sub(f.contactAt)
}

func (f *lostReaders) RecordStoreContact(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.contactAt = now
}

func (f *lostReaders) Zones() []string { return []string{"z"} }
func (f *lostReaders) LiveCount() int  { return len(f.members) - 1 }

// drainTimeout is how long after its removal a leaf may get requests.
const drainTimeout = 3 * time.Second

// storeView is a VM that reads the store, and the directory that it has of it.
type storeView struct {
	mirror    *mirror.Mirror
	directory *directory.Directory
}

// startStoreView runs the reader of the VM self, which knows one leaf, on a deployment with the drain timeout until ctx ends.
func startStoreView(ctx context.Context, wg *sync.WaitGroup, store storeread.Store, fleet storeread.Fleet, self string, drainTimeout time.Duration) *storeView {
	changed := notify.New()
	m := mirror.New(changed)
	v := &storeView{m, directory.New(m, changed, notify.New(), platform.Decoder{}, drainTimeout, zap.NewNop(), prometheus.NewRegistry())}
	r := storeread.New(store, m, fleet, storeread.Config{
		Self: self, Zone: "z", NeedsHistory: func([]mirror.Item) bool { return false }, Bound: min(3*time.Second, drainTimeout), HeartbeatInterval: 1200 * time.Millisecond,
	}, zap.NewNop(), prometheus.NewRegistry())
	m.Merge(mirror.Delta{Items: []mirror.Item{{Key: "servers/i-1", Revision: 1, Value: []byte(leafEntry)}}, CompleteTo: 1, Full: true, ReadAt: time.Now()}, time.Now())
	wg.Go(func() { _ = r.Run(ctx) })
	wg.Go(func() { _ = v.directory.Run(ctx) })
	return v
}

// callable reports whether the leaf may be called.
func (v *storeView) callable() bool {
	view := v.directory.Current()
	return len(view.Leaves["x"])+len(view.Expired["x"]) > 0
}

// awaitAnswer waits for the next answer of the store.
func (v *storeView) awaitAnswer() {
	_, before := v.mirror.LastRead()
	for readAt := before; readAt == before; _, readAt = v.mirror.LastRead() {
		time.Sleep(time.Millisecond)
	}
}

// The VM that reads the store in place of a lost one learns of a removal up to 2.4 s late. The grace period for leaves without an
// entry counted from then on, so that the leaf got requests for more than 4 s.
func TestLeafRemovedWhileReadersAreLostIsNotCalledLate(t *testing.T) {
	for name, tt := range map[string]struct{ zoneSize, lost int }{
		"1 lost":       {5, 1},
		"2 lost":       {5, 2},
		"3 lost":       {5, 3},
		"4 lost":       {5, 4},
		"1 of 20 lost": {20, 1},
		"2 of 20 lost": {20, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playRemoval(t, tt.zoneSize, tt.lost) })
		})
	}
}

// playRemoval removes the leaf's entry right after the first VMs of the zone by rank are lost, and checks for how long the next
// one may call the leaf.
func playRemoval(t *testing.T, zoneSize, lost int) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	fleet := &lostReaders{contactAt: time.Now().Add(time.Hour)}
	for i := range zoneSize {
		fleet.members = append(fleet.members, fmt.Sprint("vm", i))
	}
	store := &removalStore{removed: make(chan struct{})}
	view := startStoreView(ctx, &wg, store, fleet, readers.ByRank("z", fleet.members)[lost], drainTimeout)
	time.Sleep(3 * time.Second)
	fleet.RecordStoreContact(time.Now())
	view.mirror.Merge(mirror.Delta{CompleteFrom: 1, CompleteTo: 1, ReadAt: time.Now()}, time.Now()) // the lost reader's last answer
	removedAt := time.Now()
	close(store.removed)
	latest := time.Duration(0)
	for range 60 {
		time.Sleep(100 * time.Millisecond)
		if view.callable() {
			latest = time.Since(removedAt)
		}
	}
	t.Logf("callable until %v after its removal", latest)
	is.True(latest > 0)
	is.True(latest <= drainTimeout)
}
