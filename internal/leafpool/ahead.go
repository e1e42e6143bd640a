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
					p.give(e, c, true)
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
	return !share.Rare && !share.Unsettled && (l.Zone == p.zone || p.most(l) >= roomy)
}

// unused takes out the idle connections that have ended, and those that aren't kept.
func (p *Pool) unused(now time.Time) []idleConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []idleConn
	for _, e := range p.leaves {
		kept := e.idle[:0]
		for _, c := range e.idle {
			if c.Alive() && (p.ahead(e.leaf) || now.Sub(c.since) < farIdle) {
				kept = append(kept, c)
				continue
			}
			out = append(out, c)
			e.open--
		}
		e.idle = kept
	}
	return out
}

// bare returns leaves without a connection, each counted as having one from now on.
func (p *Pool) bare(now time.Time) []*peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*peer
	for _, e := range p.leaves {
		if e.open == 0 && !e.gone && p.ahead(e.leaf) && now.Sub(e.failedAt) >= retryDial && now.Sub(e.refusedAt) >= retryDial {
			e.open++
			out = append(out, e)
		}
	}
	return out
}
