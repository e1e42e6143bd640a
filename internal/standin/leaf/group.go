package leaf

import (
	"context"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// CrashExitCode is the exit code of a process that a marked request crashed.
const CrashExitCode = 1

// ExitProcess is the CrashFunc of a leaf that is alone in its process. It ends the process at once.
func ExitProcess(*Leaf) { os.Exit(CrashExitCode) }

// Restart is the CrashFunc of a leaf that shares its process. It resets the leaf's connections and
// refuses new ones. After Settings.RestartAfter the leaf serves again as a new incarnation.
func Restart(l *Leaf) {
	l.log.Info("crashed")
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashed = true
	_ = l.updateListener()
	l.listener.ResetConns()
	time.AfterFunc(l.settings.RestartAfter.D(), l.restoreAfterCrash)
}

// restoreAfterCrash ends a crash with a new incarnation. The leaf accepts connections again unless a
// fault refuses them.
func (l *Leaf) restoreAfterCrash() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashed = false
	l.renewIncarnation()
	if err := l.updateListener(); err != nil {
		l.log.Error("restart after a crash failed; leaf stays unreachable", zap.Error(err))
	}
}

// Group is a set of leaves that run in one process.
type Group struct {
	leaves []*Leaf
}

// NewGroup opens the listeners of all leaves. Run serves them.
func NewGroup(s []Settings, log *zap.Logger, crash CrashFunc) (*Group, error) {
	g := &Group{}
	for i := range s {
		l, err := New(s[i], log, crash)
		if err != nil {
			return nil, err
		}
		g.leaves = append(g.leaves, l)
	}
	return g, nil
}

// Run serves all leaves until ctx ends.
func (g *Group) Run(ctx context.Context) error {
	eg, ctx := errgroup.WithContext(ctx)
	for _, l := range g.leaves {
		eg.Go(func() error { return l.Run(ctx) })
	}
	return eg.Wait()
}

// Drain drains all leaves concurrently and returns once all have drained or ctx ends.
func (g *Group) Drain(ctx context.Context) {
	var wg sync.WaitGroup
	for _, l := range g.leaves {
		wg.Go(func() { l.Drain(ctx) })
	}
	wg.Wait()
}
