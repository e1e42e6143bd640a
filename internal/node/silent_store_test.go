package node_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/burdockplank/burdockplank/internal/mirror"
)

// silencedStore is a removalStore whose open connections go silent once silenced is closed: watches that wait then are never
// answered. New ones are.
type silencedStore struct {
	removalStore
	silenced chan struct{}
}

func (s *silencedStore) Watch(ctx context.Context, after uint64, wait time.Duration) (mirror.Delta, error) {
	silenced := s.silenced
	select {
	case <-silenced:
		silenced = nil // a new connection
	default:
	}
	type answer struct {
		d   mirror.Delta
		err error
	}
	answered := make(chan answer, 1)
	go func() {
		d, err := s.removalStore.Watch(ctx, after, wait)
		answered <- answer{d, err}
	}()
	select {
	case a := <-answered:
		return a.d, a.err
	case <-silenced:
		<-ctx.Done()
		return mirror.Delta{}, ctx.Err()
	}
}

// oneVM is a fleet of the VM vm0.
func oneVM() *lostReaders { return &lostReaders{members: []string{"vm0"}, contactAt: time.Now()} }

// contactTimeout is how long a VM counts as out of touch after connections went silent.
const contactTimeout = 4 * time.Second

// A poll on a silent connection failed, after which removals counted from when the next poll told of them, as if the store had
// been unavailable: a leaf without an entry got requests until 4.6 s after its removal.
func TestLeafRemovedWhileStoreConnectionIsSilentIsNotCalledLate(t *testing.T) {
	for _, allowed := range []time.Duration{drainTimeout, 2 * time.Second} {
		for _, silentAfter := range []time.Duration{0, 400 * time.Millisecond, 1400 * time.Millisecond} {
			for _, removedAfter := range []time.Duration{10 * time.Millisecond, 200 * time.Millisecond, time.Second, 2 * time.Second} {
				t.Run(fmt.Sprintf("%v allowed, silent after %v, removed %v later", allowed, silentAfter, removedAfter), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { playSilentStore(t, allowed, silentAfter, removedAfter) })
				})
			}
		}
	}
}

// playSilentStore lets the connection of a reader go silent, some time after the start of a poll, removes the leaf's entry, and
// checks for how long the leaf may be called.
func playSilentStore(t *testing.T, drainTimeout, silentAfter, removedAfter time.Duration) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	store := &silencedStore{removalStore{removed: make(chan struct{})}, make(chan struct{})}
	v := startStoreView(ctx, &wg, store, oneVM(), "vm0", drainTimeout)
	v.awaitAnswer()
	time.Sleep(silentAfter)
	silentAt := time.Now()
	close(store.silenced)
	time.Sleep(removedAfter)
	removedAt := time.Now()
	close(store.removed)
	latest := removedAt
	for range 600 {
		time.Sleep(10 * time.Millisecond)
		if v.callable() {
			latest = time.Now()
		}
	}
	t.Logf("callable until %v after its removal, %v after the connections went silent", latest.Sub(removedAt), latest.Sub(silentAt))
	is.True(latest.After(removedAt))
	is.True(latest.Sub(removedAt) <= drainTimeout || latest.Sub(silentAt) <= contactTimeout)
}

// awayStore is a removalStore that answers nothing while it is away, on old connections or new ones.
type awayStore struct {
	removalStore
	mu sync.Mutex
	// awayFrom and awayUntil are guarded by mu.
	awayFrom, awayUntil time.Time
}

// leave makes the store unavailable for d.
func (s *awayStore) leave(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.awayFrom, s.awayUntil = time.Now(), time.Now().Add(d)
}

// wasAway reports whether the store was away at any time since then.
func (s *awayStore) wasAway(since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.awayFrom.IsZero() && since.Before(s.awayUntil)
}

func (s *awayStore) Watch(ctx context.Context, after uint64, wait time.Duration) (mirror.Delta, error) {
	asked := time.Now()
	d, err := s.removalStore.Watch(ctx, after, wait)
	if s.wasAway(asked) {
		<-ctx.Done()
		return mirror.Delta{}, ctx.Err()
	}
	return d, err
}

// Entries of live leaves that expire while the store is unavailable are back two seconds after its return: until then the leaves
// must stay callable, or callers are refused though all leaves live.
func TestLeafThatExpiredWhileStoreWasAwayStaysCallable(t *testing.T) {
	const (
		expiresAfter = 2400 * time.Millisecond // two heartbeats after the third last one
		backAfter    = 2 * time.Second
	)
	for _, away := range []time.Duration{2500 * time.Millisecond, 3 * time.Second, 4 * time.Second, 6 * time.Second} {
		t.Run(away.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				var wg sync.WaitGroup
				defer wg.Wait()
				defer cancel()
				store := &awayStore{removalStore: removalStore{removed: make(chan struct{})}}
				v := startStoreView(ctx, &wg, store, oneVM(), "vm0", drainTimeout)
				v.awaitAnswer()
				begun := time.Now()
				store.leave(away)
				time.Sleep(expiresAfter)
				close(store.removed)
				for time.Since(begun) < away+backAfter {
					if !v.callable() {
						t.Fatalf("not callable %v after the store's return", time.Since(begun)-away)
					}
					time.Sleep(10 * time.Millisecond)
				}
				is.Equal(v.mirror.CompleteTo(), uint64(2)) // the removal is known
			})
		})
	}
}
