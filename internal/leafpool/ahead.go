package leafpool

import (
	"context"
	"time"

	"github.com/burdockplank/burdockplank/internal/catalog"
)

const (
	// retryDial is how long after a failed opening ahead the next one is tried.
	retryDial = time.Second
	// openPeriod is how often connections are opened ahead, and idle ones looked at.
	openPeriod = 250 * time.Millisecond
	// roomy is the number of connections that a VM may have to a leaf from which they are opened ahead to
	// all leaves, and kept. Below it the fleet would fill the leaves' limits, and after a loss of power
	// the dead connections of all VMs would keep the new ones out: then only leaves of the own zone are
	// connected to ahead, and others as long as they are in use.
	roomy = 2
	// farIdle is how long an idle connection is kept that isn't opened ahead.
	farIdle = 2 * time.Second
	// openAtOnce bounds the connections that are opened ahead at the same time.
	openAtOnce = 8
)

// Run opens a connection ahead to each leaf that needs one, and closes idle ones, until ctx ends.
func (p *Pool) Run(ctx context.Context) error {
	t := time.NewTicker(openPeriod)
	defer t.Stop()
	slots := make(chan struct{}, openAtOnce)
	for {
		p.closeAll(p.unused(time.Now()))
		for _, e := range p.bare(time.Now()) {
			select {
			case slots <- struct{}{}:
			case <-ctx.Done():
				return nil
			}
			go func() {
				defer func() { <-slots }()
				if c, err := p.dial(ctx, e); err == nil {
					p.give(e, c, true, false)
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

// ahead tells whether a connection to the leaf is opened before it is needed, and kept. Requires mu.
func (p *Pool) ahead(l catalog.Leaf) bool {
	share := p.share(l.Service)
	return !share.OnDemand && !share.FleetUnknown && (l.Zone == p.zone || p.most(l) >= roomy)
}

// unused takes out the idle connections that have ended, and those that aren't kept.
func (p *Pool) unused(now time.Time) []idleConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []idleConn
	for _, e := range p.leaves {
		kept := e.idle[:0]
		for _, c := range e.idle {
			alive := c.Alive()
			if alive && (p.ahead(e.leaf) || now.Sub(c.since) < farIdle) {
				kept = append(kept, c)
				continue
			}
			if !alive && !c.used {
				p.endedUnused(e, now.Sub(c.since), now)
			}
			out = append(out, c)
			e.open--
		}
		e.idle = kept
	}
	return out
}

// endedUnused notes that a connection ended that had been opened ahead and never used: soon after it was opened, as
// a leaf at its limit ends it, or after the time that leaves keep idle ones. Each of 300 VMs that sees ten requests in
// two minutes for as many leaves would open them all anew every ten seconds. Before its first call a VM can't know
// which ones it needs. Requires mu.
func (p *Pool) endedUnused(e *peer, age time.Duration, now time.Time) {
	if age < refusedFor+openPeriod {
		e.failedAt = now
		return
	}
	e.idled = p.called
}

// bare returns leaves without a connection, each counted as having one from now on.
func (p *Pool) bare(now time.Time) []*peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*peer
	for _, e := range p.leaves {
		if e.open == 0 && !e.gone && !e.idled && p.ahead(e.leaf) && now.Sub(e.failedAt) >= retryDial && now.Sub(e.refusedAt) >= retryDial {
			e.open++
			out = append(out, e)
		}
	}
	return out
}
