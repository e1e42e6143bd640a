package node

import (
	"sync"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/directory"
	"github.com/burdockplank/burdockplank/internal/dispatch"
)

// singleServices finds the service of single requests that a leaf belongs to. It is safe for concurrent use.
type singleServices struct {
	directory dispatch.Directory

	mu sync.Mutex
	// byLeaf is derived from view. Both are guarded by mu.
	view   *directory.View
	byLeaf map[catalog.LeafID]string
}

// of returns the service of the leaf, or an empty string if no route of single requests goes to it.
func (s *singleServices) of(id catalog.LeafID) string {
	view := s.directory.Current()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view != view {
		s.view, s.byLeaf = view, singleLeaves(view)
	}
	return s.byLeaf[id]
}

// singleLeaves returns the services of the leaves that single requests go to.
func singleLeaves(view *directory.View) map[catalog.LeafID]string {
	out := make(map[catalog.LeafID]string)
	if view.Config == nil {
		return out
	}
	single, _ := view.Config.UsedServices()
	for _, leaf := range callableLeaves(view) {
		if single[leaf.Service] {
			out[leaf.ID] = leaf.Service
		}
	}
	return out
}
