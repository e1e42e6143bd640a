package search

import (
	"slices"

	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/upstream"
)

// plan is the snapshot of one run with the usable replicas of its shards. It is fixed before the first call is sent.
type plan struct {
	snapshot *bundle.Snapshot
	shards   []target
	// documents is the number of documents of all shards, each shard counted once.
	documents uint64
}

// target is one shard of the plan.
type target struct {
	id        uint32
	documents uint64
	// replicas are those that may be called now, in the order of the bundle.
	replicas []string
	// listed are all replicas in the bundle.
	listed []string
}

// fleet gives access to the state of the leaves.
type fleet struct {
	state func(leaf string) (upstream.State, bool)
	// lacksSnapshot reports whether a leaf was found without the version, whatever the leaf itself reports.
	lacksSnapshot func(leaf string, version uint64) bool
}

// usable reports whether a leaf may be called for a version: it is not leaving, is connected, and is not known to lack
// the version. A leaf without a known state cannot be called.
func (f fleet) usable(leaf string, version uint64) bool {
	s, known := f.state(leaf)
	if !known || s.Leaving || !s.Connected {
		return false
	}
	if s.Snapshots != nil && !slices.Contains(s.Snapshots, version) {
		return false
	}
	return !f.lacksSnapshot(leaf, version)
}

// choosePlan picks the newest snapshot of which every shard has a usable replica. If there is none, it picks the one
// with the most reachable documents, the newest on ties. It returns nil if no shard of any snapshot has a usable
// replica.
func choosePlan(service *bundle.Service, f fleet) *plan {
	var best *plan
	var bestDocuments uint64
	bestShards := 0
	for _, s := range newestFirst(service.Snapshots) {
		p := newPlan(s, f)
		documents, shards := p.reachable()
		if shards == len(p.shards) && shards > 0 {
			return p
		}
		if shards > 0 && (best == nil || documents > bestDocuments || documents == bestDocuments && bestShards == 0) {
			best, bestDocuments, bestShards = p, documents, shards
		}
	}
	return best
}

func newestFirst(snapshots []*bundle.Snapshot) []*bundle.Snapshot {
	sorted := slices.Clone(snapshots)
	slices.SortStableFunc(sorted, func(a, b *bundle.Snapshot) int {
		switch {
		case a.Version > b.Version:
			return -1
		case a.Version < b.Version:
			return 1
		}
		return 0
	})
	return sorted
}

// newPlan lists each shard of the snapshot once. A shard that is listed again only adds replicas.
func newPlan(s *bundle.Snapshot, f fleet) *plan {
	p := &plan{snapshot: s, shards: make([]target, 0, len(s.Shards))}
	index := make(map[uint32]int, len(s.Shards))
	for i := range s.Shards {
		sh := &s.Shards[i]
		at, listed := index[sh.ID]
		if !listed {
			at = len(p.shards)
			index[sh.ID] = at
			p.shards = append(p.shards, target{id: sh.ID, documents: sh.Documents})
			p.documents += sh.Documents
		}
		p.shards[at].addReplicas(sh.Leaves, s.Version, f)
	}
	return p
}

func (t *target) addReplicas(leaves []string, version uint64, f fleet) {
	for _, l := range leaves {
		if slices.Contains(t.listed, l) {
			continue
		}
		t.listed = append(t.listed, l)
		if f.usable(l, version) {
			t.replicas = append(t.replicas, l)
		}
	}
}

// firstListed returns the first listed replica, for a shard of which none can be called. It is empty if none is listed.
func (t *target) firstListed() string {
	if len(t.listed) == 0 {
		return ""
	}
	return t.listed[0]
}

// reachable returns the documents and the number of the shards that have a usable replica.
func (p *plan) reachable() (documents uint64, shards int) {
	for i := range p.shards {
		if len(p.shards[i].replicas) > 0 {
			documents += p.shards[i].documents
			shards++
		}
	}
	return documents, shards
}
