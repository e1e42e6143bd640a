package route

import (
	"sync"

	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/feed"
)

// candidateCache keeps the candidates of each service for the latest view: working them out hashes every VM
// of the fleet, which is too dear for each request.
type candidateCache struct {
	mu sync.Mutex
	// view that byService was made from; both guarded by mu. The slices are shared and never changed.
	view      *feed.View
	byService map[*bundle.Service][]Gather
}

// of returns the gathers that may take new work for the service by the view.
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
