package leaf

import (
	"context"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// CrashExitCode is the exit code of a process whose leaf ran a marked request.
const CrashExitCode = 1

// ExitProcess is the CrashFunc of a leaf alone in its process: it ends the process at once.
func ExitProcess(*Leaf) { os.Exit(CrashExitCode) }

// Restart is the CrashFunc of a leaf that shares its process: its connections are reset and refused, and
// after a while it is back as another incarnation.
func Restart(l *Leaf) {
	l.log.Info("crashed")
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashed = true
	_ = l.updateListener()
	l.listener.ResetConns()
	time.AfterFunc(l.settings.RestartAfter.D(), l.restoreAfterCrash)
}

// restoreAfterCrash ends the absence that a crash began, unless a fault keeps the leaf away.
func (l *Leaf) restoreAfterCrash() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashed = false
	l.renewIncarnation()
	if err := l.updateListener(); err != nil {
		l.log.Error("not back after a crash", zap.Error(err))
	}
}

// Group runs many leaves in one process.
type Group struct {
	leaves []*Leaf
}

// NewGroup opens the listeners of all leaves.
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

// Drain drains all leaves at once.
func (g *Group) Drain(ctx context.Context) {
	var wg sync.WaitGroup
	for _, l := range g.leaves {
		wg.Go(func() { l.Drain(ctx) })
	}
	wg.Wait()
}
