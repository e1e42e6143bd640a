package leafpool

import (
	"context"
	"time"

	"github.com/burdockplank/burdockplank/internal/catalog"
)

const (
	// preopenRetryDelay is the delay after a failed attempt to open a connection in advance, before the next
	// attempt.
	preopenRetryDelay = time.Second
	// preopenInterval is how often connections are opened in advance and idle ones are checked.
	preopenInterval = 250 * time.Millisecond
	// preopenAllMinConns is the quota of connections per leaf from which a VM opens connections in advance to all
	// leaves, and keeps them. If VMs with a smaller quota did so, the fleet would fill the leaves' limits, and after
	// a power loss the dead connections of all VMs would keep the new ones out. They open connections in advance
	// only to the leaves of their own zone, and keep others only while they are in use.
	preopenAllMinConns = 2
	// onDemandIdleTimeout is how long an idle connection is kept that is not opened in advance.
	onDemandIdleTimeout = 2 * time.Second
	// maxConcurrentPreopens bounds the connections that are being opened in advance at the same time.
	maxConcurrentPreopens = 8
)

// Run opens connections in advance to the leaves that need one, and closes idle ones that are not kept, until ctx
// ends. It returns nil.
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

// keepsOpen reports whether a connection to the leaf is opened before it is needed, and kept. The caller must hold
// mu.
func (p *Pool) keepsOpen(l catalog.Leaf) bool {
	share := p.share(l.Service)
	return !share.OnDemand && !share.FleetUnknown && (l.Zone == p.zone || p.maxConns(l) >= preopenAllMinConns)
}

// removeUnneeded removes and returns the idle connections that have ended and those that are not kept.
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
			p.addOpen(e, -1)
		}
		e.idle = kept
	}
	return out
}

// noteEndedUnused records that a connection that was opened in advance ended without having carried a call. If it
// ended soon after it was opened, the leaf is at its limit. Otherwise the leaf closed it after its idle timeout,
// and once this VM has made calls the connection is not opened in advance again before the next call to the leaf:
// each of 300 VMs that sees ten requests in two minutes for as many leaves would otherwise reopen all of them every
// ten seconds. Before its first call a VM can't know which connections it needs. The caller must hold mu.
func (p *Pool) noteEndedUnused(e *leafConns, age time.Duration, now time.Time) {
	if age < resetBackoff+preopenInterval {
		e.failedAt = now
		return
	}
	e.endedUnused = p.anyCall
}

// reserveUnconnected returns the leaves that need a connection opened in advance, and counts a connection to each
// of them as open.
func (p *Pool) reserveUnconnected(now time.Time) []*leafConns {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*leafConns
	for _, e := range p.leaves {
		if e.open == 0 && p.mayOpen(e) && !e.gone && !e.endedUnused && p.keepsOpen(e.leaf) && now.Sub(e.failedAt) >= preopenRetryDelay && now.Sub(e.resetAt) >= preopenRetryDelay {
			p.addOpen(e, 1)
			out = append(out, e)
		}
	}
	return out
}
