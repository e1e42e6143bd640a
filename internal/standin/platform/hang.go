package platform

import (
	"context"
	"sync"
)

// gate blocks requests while it is closed. The zero value is open.
type gate struct {
	mu sync.Mutex
	// opened is nil while the gate is open. While the gate is closed, it is a channel that is closed when
	// the gate opens. It is guarded by mu.
	opened chan struct{}
}

func (g *gate) setClosed(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if closed && g.opened == nil {
		g.opened = make(chan struct{})
	}
	if !closed && g.opened != nil {
		close(g.opened)
		g.opened = nil
	}
}

// wait blocks until the gate is open. It returns false if ctx ends first.
func (g *gate) wait(ctx context.Context) bool {
	g.mu.Lock()
	opened := g.opened
	g.mu.Unlock()
	if opened == nil {
		return ctx.Err() == nil
	}
	select {
	case <-opened:
		return true
	case <-ctx.Done():
		return false
	}
}
