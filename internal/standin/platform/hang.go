package platform

import (
	"context"
	"sync"
)

// gate holds requests while it is shut.
type gate struct {
	mu sync.Mutex
	// shut is nil while the gate is open, else closed when it opens; guarded by mu.
	shut chan struct{}
}

func (g *gate) set(shut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if shut && g.shut == nil {
		g.shut = make(chan struct{})
	}
	if !shut && g.shut != nil {
		close(g.shut)
		g.shut = nil
	}
}

// pass waits until the gate is open; it returns false where ctx ends first.
func (g *gate) pass(ctx context.Context) bool {
	g.mu.Lock()
	shut := g.shut
	g.mu.Unlock()
	if shut == nil {
		return ctx.Err() == nil
	}
	select {
	case <-shut:
		return true
	case <-ctx.Done():
		return false
	}
}
