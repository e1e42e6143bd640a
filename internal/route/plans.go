package route

import (
	"sync"

	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/feed"
)

// candidateCache caches the candidates of each service for the latest view: computing them hashes every VM
// of the fleet, which is too expensive for each request. It is safe for concurrent use.
type candidateCache struct {
	mu sync.Mutex
	// view is the view from which byService was computed; mu guards both. The slices are shared and must
	// not be changed.
	view      *feed.View
	byService map[*bundle.Service][]Gather
}

// of returns the gathers that accept new work for the service according to the view.
func (p *candidateCache) of(v *feed.View, svc *bundle.Service) []Gather {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.view != v {
		p.view, p.byService = v, make(map[*bundle.Service][]Gather)
	}
	found, ok := p.byService[svc]
	if !ok {
		found = candidates(svc, v.Zone, v.VMs)
		p.byService[svc] = found
	}
	return found
}
