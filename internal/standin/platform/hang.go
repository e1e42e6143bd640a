package platform

import (
	"context"
	"sync"
)

// gate holds requests while it is shut.
type gate struct {
	mu sync.Mutex
	// opened is nil while the gate is open, else closed when it opens; guarded by mu.
	opened chan struct{}
}

func (g *gate) setClosed(shut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if shut && g.opened == nil {
		g.opened = make(chan struct{})
	}
	if !shut && g.opened != nil {
		close(g.opened)
		g.opened = nil
	}
}

// wait waits until the gate is open; it returns false where ctx ends first.
func (g *gate) wait(ctx context.Context) bool {
	g.mu.Lock()
	shut := g.opened
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
