package search

import (
	"slices"

	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/upstream"
)

// plan is the snapshot of one run and where its shards may be asked. It is fixed before the first
// call is sent.
type plan struct {
	snapshot *bundle.Snapshot
	shards   []target
	// documents of all shards, each counted once.
	documents uint64
}

// target is one shard of the plan.
type target struct {
	id        uint32
	documents uint64
	// replicas that may be asked now, in the order of the bundle.
	replicas []string
	// listed are all replicas of the bundle.
	listed []string
}

// fleet says what is known of the leaves when a plan is made.
type fleet struct {
	state func(leaf string) (upstream.State, bool)
	// lacksSnapshot tells whether a leaf was found without the version, beside what it says of itself.
	lacksSnapshot func(leaf string, version uint64) bool
}

// usable tells whether a leaf may be asked for a version: it isn't leaving, can be reached, and
// isn't known to lack the version. A leaf that nothing is known of can't be called.
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

// choosePlan picks the newest snapshot of which every shard has a usable replica; where there is none,
// the one with the most documents within reach, the newest on ties. It returns nil where no shard
// of any snapshot can be asked.
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

// newPlan lists each shard of the snapshot once; a shard listed again only adds replicas.
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

// firstListed names a replica where none can be asked.
func (t *target) firstListed() string {
	if len(t.listed) == 0 {
		return ""
	}
	return t.listed[0]
}

// reachable returns the documents and the number of shards that have a usable replica.
func (p *plan) reachable() (documents uint64, shards int) {
	for i := range p.shards {
		if len(p.shards[i].replicas) > 0 {
			documents += p.shards[i].documents
			shards++
		}
	}
	return documents, shards
}
