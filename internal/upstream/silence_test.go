package upstream

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// silentOpen returns the number of silent connections that the pool still keeps open.
func (f *fakeLeaf) silentOpen() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, p := range f.pipes {
		if p.silent.Load() {
			n++
		}
	}
	return n
}

// A silent connection is out of use within a second of the start of its silence, no matter when the
// first call comes afterwards, and even if no call comes.
func TestSilentConnectionIsRetiredWithinOneSecond(t *testing.T) {
	for phase := time.Duration(0); phase <= time.Second; phase += 50 * time.Millisecond {
		t.Run(phase.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFakeLeaf(t)
				p, _ := startPool(t, f.dial)
				waitForConnections()
				f.silenceAll()
				is.Equal(f.silentOpen(), 2)
				if phase < time.Second {
					time.AfterFunc(phase, func() { _, _ = search(t.Context(), p) })
				}
				time.Sleep(time.Second)
				synctest.Wait()
				is.Equal(f.silentOpen(), 0)
			})
		})
	}
}

// A leaf counts as connected while its silent connections are being replaced, so that a search
// waits for the new connection rather than skip the leaf.
func TestLeafStaysConnectedWhileSilentConnectionsAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeLeaf(t)
		p, _ := startPool(t, f.dial)
		waitForConnections()
		f.silenceAll()
		for start := time.Now(); time.Since(start) < 2*time.Second; time.Sleep(time.Millisecond) {
			s, _ := p.State(testLeaf)
			is.True(s.Connected)
		}
	})
}

// What tells a silent connection from a busy leaf came only with the ping after 200 ms, and a gather refused searches
// for load by then. Probe tells within the round trip of a ping, without taking a connection out of use sooner.
func TestProbeTellsSilentConnectionsFromBusyLeaves(t *testing.T) {
	for name, silent := range map[string]bool{"silent connections": true, "a busy leaf": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFakeLeaf(t)
				p, _ := startPool(t, f.dial)
				waitForConnections()
				slow := func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }
				f.answer.Store(&slow)
				if silent {
					f.silenceAll()
				}
				ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
				defer cancel()
				go func() { _, _ = search(ctx, p) }()
				time.Sleep(10 * time.Millisecond)
				is.True(!p.Silent("teachers"))
				p.Probe("teachers")
				time.Sleep(answerTime)
				synctest.Wait()
				is.Equal(p.Silent("teachers"), silent)
				is.True(!p.Silent("another service"))
				time.Sleep(100 * time.Millisecond)
				is.Equal(p.Silent("teachers"), silent)
			})
		})
	}
}

// TestSilentAttemptDoesNotHoldUpTheNext guards against searches that fail while the silent connections of a leaf are
// replaced: the new connection went silent as well, and for a second no other was tried.
func TestSilentAttemptDoesNotHoldUpTheNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeLeaf(t)
		var nextIsSilent atomic.Bool
		p, _ := startPool(t, func(ctx context.Context, address string) (net.Conn, error) {
			if nextIsSilent.Swap(false) {
				near, far := net.Pipe()
				t.Cleanup(func() { _ = far.Close() })
				return near, nil
			}
			return f.dial(ctx, address)
		})
		waitForConnections()
		nextIsSilent.Store(true)
		f.breakAll()
		time.Sleep(2 * slowOpenTime)
		s, _ := p.State(testLeaf)
		is.True(s.Connected)
		is.NoErr(errorOf(search(t.Context(), p)))
		time.Sleep(2 * openTimeout) // the silent attempt ends
		is.NoErr(errorOf(search(t.Context(), p)))
		is.True(f.open() <= 2)
	})
}
