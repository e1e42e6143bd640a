package leafpool

import (
	"context"
	"time"

	"github.com/burdockplank/burdockplank/internal/catalog"
)

const (
	// preopenRetryDelay is how long after a failed opening ahead the next one is tried.
	preopenRetryDelay = time.Second
	// preopenInterval is how often connections are opened ahead, and idle ones looked at.
	preopenInterval = 250 * time.Millisecond
	// preopenAllMinConns is the number of connections that a VM may have to a leaf from which they are opened ahead to
	// all leaves, and kept. Below it the fleet would fill the leaves' limits, and after a loss of power
	// the dead connections of all VMs would keep the new ones out: then only leaves of the own zone are
	// connected to ahead, and others as long as they are in use.
	preopenAllMinConns = 2
	// onDemandIdleTimeout is how long an idle connection is kept that isn't opened ahead.
	onDemandIdleTimeout = 2 * time.Second
	// maxConcurrentPreopens bounds the connections that are opened ahead at the same time.
	maxConcurrentPreopens = 8
)

// Run opens a connection ahead to each leaf that needs one, and closes idle ones, until ctx ends.
func (p *Pool) Run(ctx context.Context) error {
	t := time.NewTicker(preopenInterval)
	defer t.Stop()
	slots := make(chan struct{}, maxConcurrentPreopens)
	for {
		p.closeAll(p.removeUnneeded(time.Now()))
		for _, e := range p.reserveUnconnected(time.Now()) {
			select {
			case slots <- struct{}{}:
			case <-ctx.Done():
				return nil
			}
			go func() {
				defer func() { <-slots }()
				if c, err := p.dial(ctx, e); err == nil {
					p.release(e, c, true, false)
				}
			}()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// keepsOpen tells whether a connection to the leaf is opened before it is needed, and kept. Requires mu.
func (p *Pool) keepsOpen(l catalog.Leaf) bool {
	share := p.share(l.Service)
	return !share.OnDemand && !share.FleetUnknown && (l.Zone == p.zone || p.maxConns(l) >= preopenAllMinConns)
}

// removeUnneeded takes out the idle connections that have ended, and those that aren't kept.
func (p *Pool) removeUnneeded(now time.Time) []idleConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []idleConn
	for _, e := range p.leaves {
		kept := e.idle[:0]
		for _, c := range e.idle {
			alive := c.Alive()
			if alive && (p.keepsOpen(e.leaf) || now.Sub(c.since) < onDemandIdleTimeout) {
				kept = append(kept, c)
				continue
			}
			if !alive && !c.used {
				p.noteEndedUnused(e, now.Sub(c.since), now)
			}
			out = append(out, c)
			e.open--
		}
		e.idle = kept
	}
	return out
}

// noteEndedUnused notes that a connection ended that had been opened ahead and never used: soon after it was opened, as
// a leaf at its limit ends it, or after the time that leaves keep idle ones. Each of 300 VMs that sees ten requests in
// two minutes for as many leaves would open them all anew every ten seconds. Before its first call a VM can't know
// which ones it needs. Requires mu.
func (p *Pool) noteEndedUnused(e *leafConns, age time.Duration, now time.Time) {
	if age < resetBackoff+preopenInterval {
		e.failedAt = now
		return
	}
	e.endedUnused = p.anyCall
}

// reserveUnconnected returns leaves without a connection, each counted as having one from now on.
func (p *Pool) reserveUnconnected(now time.Time) []*leafConns {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*leafConns
	for _, e := range p.leaves {
		if e.open == 0 && !e.gone && !e.endedUnused && p.keepsOpen(e.leaf) && now.Sub(e.failedAt) >= preopenRetryDelay && now.Sub(e.resetAt) >= preopenRetryDelay {
			e.open++
			out = append(out, e)
		}
	}
	return out
}
