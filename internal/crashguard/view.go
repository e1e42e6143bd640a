package crashguard

import (
	"sync"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/directory"
)

// indexedView finds the leaves of a view by name and by address. The index is built when it is first needed.
type indexedView struct {
	view  *directory.View
	index func() viewIndex
}

type viewIndex struct {
	byName, byAddress map[string]catalog.LeafID
	// expired holds the services of the leaves whose entry is gone.
	expired map[catalog.LeafID]string
}

func newIndexedView(v *directory.View) *indexedView {
	return &indexedView{view: v, index: sync.OnceValue(func() viewIndex { return indexOf(v) })}
}

func indexOf(v *directory.View) viewIndex {
	x := viewIndex{byName: make(map[string]catalog.LeafID), byAddress: make(map[string]catalog.LeafID), expired: make(map[catalog.LeafID]string)}
	for _, leaves := range []map[string][]catalog.Leaf{v.Leaves, v.EvacuatedLeaves} {
		for _, list := range leaves {
			for _, l := range list {
				x.byName[l.ID.Name], x.byAddress[l.Address] = l.ID, l.ID
			}
		}
	}
	for _, list := range v.Removed {
		for _, l := range list {
			x.expired[l.ID] = l.Service
		}
	}
	return x
}

// shows reports what the view shows of a leaf: that another start of a leaf has its id or its address, or that its entry
// is gone although it had not announced its shutdown.
func (v *indexedView) shows(leaf catalog.LeafID, address string) (replaced, expired bool) {
	x := v.index()
	named, hasName := x.byName[leaf.Name]
	at, hasAddress := x.byAddress[address]
	replaced = hasName && named != leaf || hasAddress && at != leaf && address != ""
	_, expired = x.expired[leaf]
	return replaced, expired
}

// healthPathOfExpired returns the path of the health check of a leaf whose entry is gone. ok is false if the leaf has an entry,
// or its service no health check.
func (v *indexedView) healthPathOfExpired(leaf catalog.LeafID) (path string, ok bool) {
	service, expired := v.index().expired[leaf]
	if !expired || v.view.Config == nil {
		return "", false
	}
	path = v.view.Config.Services[service].HealthPath
	return path, path != ""
}

// SetView takes a new view of the leaves, which may show that leaves have ended.
func (g *Guard) SetView(v *directory.View) {
	g.view.Store(newIndexedView(v))
	for _, l := range g.lostLeaves() {
		g.compareWithView(l.id, l.address)
	}
}

type lostLeaf struct {
	id      catalog.LeafID
	address string
}

// lostLeaves returns the leaves with recorded losses.
func (g *Guard) lostLeaves() []lostLeaf {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]lostLeaf, 0, len(g.losses))
	for id, losses := range g.losses {
		out = append(out, lostLeaf{id, losses[0].Address})
	}
	return out
}

// compareWithView records the end of the leaf if the view shows it.
func (g *Guard) compareWithView(leaf catalog.LeafID, address string) {
	replaced, expired := g.view.Load().shows(leaf, address)
	switch {
	case replaced:
		g.Replaced(leaf)
	case expired:
		g.expired(leaf)
		g.enqueueAsk(leaf)
	}
}
