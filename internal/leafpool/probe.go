package leafpool

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/leafcall"
	"github.com/burdockplank/burdockplank/internal/wait"
)

// probeSettleTime is how long a new connection is watched. One that ends within it was taken by a leaf at its limit, or by
// something that forwards connections to a leaf that has ended.
const probeSettleTime = 25 * time.Millisecond

// Probe opens a connection to the leaf and keeps it for a call. It opens none if this VM's connections to the leaf are all
// in use or the one of the latest probe has just ended.
func (p *Pool) Probe(ctx context.Context, id catalog.LeafID) leafcall.Reachability {
	e := p.reserveProbe(id)
	if e == nil {
		return leafcall.NotTried
	}
	c, err := p.dial(ctx, e)
	var failure *leafcall.Error
	switch {
	case err == nil:
	case errors.As(err, &failure) && failure.Refused:
		return leafcall.Refused
	default:
		return leafcall.NoResponse
	}
	lives := wait.For(ctx, probeSettleTime) && c.Alive()
	p.release(e, c, lives, false)
	if lives {
		return leafcall.Reached
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	e.probeEndedAt, e.resetAt = time.Now(), time.Now()
	return leafcall.NotTried
}

// askTimeout is how long a leaf may take to answer a health check. It waits for a slot like any other request.
const askTimeout = time.Second

// Ask sends the leaf a health check, a GET request for the path.
func (p *Pool) Ask(ctx context.Context, id catalog.LeafID, path string) leafcall.Reachability {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	resp, err := p.Do(ctx, id, &leafcall.Request{Method: http.MethodGet, Target: path, Host: p.addressOf(id), Remaining: askTimeout, Leaf: id.Name})
	var failure *leafcall.Error
	switch {
	case err == nil && resp.WrongIncarnation:
		return leafcall.TakenOver
	case err == nil:
		return leafcall.Answered
	case errors.As(err, &failure) && failure.Refused:
		return leafcall.Refused
	case errors.As(err, &failure) && failure.Cause == leafcall.ConnectionFull, ctx.Err() == nil:
		return leafcall.NotTried
	}
	return leafcall.NoResponse
}

// addressOf returns the address of the leaf, or the name of one that is not known.
func (p *Pool) addressOf(id catalog.LeafID) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.leaves[id]; e != nil {
		return e.address
	}
	return id.Name
}

// reserveProbe counts a connection to the leaf as open and returns the leaf, or nil if none may be opened now.
func (p *Pool) reserveProbe(id catalog.LeafID) *leafConns {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.leaves[id]
	if e == nil || !p.mayOpen(e) || time.Since(e.probeEndedAt) < resetBackoff {
		return nil
	}
	p.addOpen(e, 1)
	return e
}
