package bundle

import (
	"net/netip"
	"slices"
)

// service checks one service and adds it to b.
func (c *checker) service(b *Bundle, p *path, raw *rawService) {
	_, taken := b.Services[raw.Name]
	c.name(p, "name", raw.Name, taken)
	s := &Service{
		Name:   raw.Name,
		Kinds:  make(map[string]*Kind, len(raw.Kinds)),
		Leaves: make(map[string]*Leaf, len(raw.Leaves)),
	}
	b.Services[s.Name] = s
	c.require(len(raw.Kinds) > 0, p, "kind", "service %q has no kind", s.Name)
	c.require(len(raw.Leaves) > 0, p, "leaf", "service %q has no leaf", s.Name)
	c.require(len(raw.Snapshots) > 0, p, "snapshot", "service %q has no snapshot", s.Name)
	for i := range raw.Kinds {
		c.kind(s, b.Limits, p.element("kind", i), &raw.Kinds[i])
	}
	for i := range raw.Leaves {
		c.leaf(s, p.element("leaf", i), &raw.Leaves[i])
	}
	for i := range raw.Snapshots {
		c.snapshot(s, p.element("snapshot", i), &raw.Snapshots[i])
	}
	slices.SortFunc(s.Snapshots, func(x, y *Snapshot) int {
		if x.Version > y.Version {
			return -1
		}
		return 1
	})
}

func (c *checker) kind(s *Service, limits Limits, p *path, raw *rawKind) {
	_, taken := s.Kinds[raw.Name]
	c.name(p, "name", raw.Name, taken)
	k := raw.resolve()
	s.Kinds[k.Name] = k
	c.require(k.Mode == ModeSearch || k.Mode == ModeOrder, p, "mode", "want search or order, got %q", raw.Mode)
	c.inRange(p, "weight", float64(k.Weight), 1, maxWeight)
	c.require(raw.Timeout != nil, p, "timeout", "kind %q has no timeout", k.Name)
	c.timeout(p, "timeout", k.Timeout, limits.MaxTimeout)
	if k.Mode == ModeOrder {
		c.orderKind(p, raw)
		return
	}
	c.searchKind(p, limits, k)
}

// orderKind refuses the keys that do not apply to orders: an order is sent once, to one leaf.
func (c *checker) orderKind(p *path, raw *rawKind) {
	const reason = "only for mode search"
	c.require(valueOr(raw.TopK, 0) == 0, p, "top_k", reason)
	c.require(valueOr(raw.Partial, "") == "", p, "partial", reason)
	c.require(valueOr(raw.MinCoverage, 0) == 0, p, "min_coverage", reason)
	c.require(valueOr(raw.EarlyCoverage, 0) == 0, p, "early_coverage", reason)
	c.require(valueOr(raw.EarlyAfter, 0) == 0, p, "early_after", reason)
	c.require(valueOr(raw.HedgeBudget, 0) == 0, p, "hedge_budget", "an order is never hedged")
	c.require(valueOr(raw.RetryBudget, 0) == 0, p, "retry_budget", "an order is never retried")
}

func (c *checker) searchKind(p *path, limits Limits, k *Kind) {
	c.inRange(p, "top_k", float64(k.TopK), 1, float64(limits.MaxTopK))
	c.require(k.Partial == PartialLatency || k.Partial == PartialCoverage, p, "partial",
		"want latency or coverage, got %q", k.Partial)
	c.inRange(p, "min_coverage", k.MinCoverage, 0, 1)
	c.inRange(p, "early_coverage", k.EarlyCoverage, 0, 1)
	c.require(k.EarlyCoverage >= k.MinCoverage, p, "early_coverage", "%v is below min_coverage %v",
		k.EarlyCoverage, k.MinCoverage)
	c.inRange(p, "early_after", k.EarlyAfter, 1, 1000)
	c.inRange(p, "hedge_budget", k.HedgeBudget, 0, maxHedgeBudget)
	c.inRange(p, "retry_budget", k.RetryBudget, 0, maxRetryBudget)
}

// leaf requires an id and an address that are unique among the leaves of all services: evidence about
// a leaf is spread by its id alone, and a connection limit belongs to one address.
func (c *checker) leaf(s *Service, p *path, raw *rawLeaf) {
	c.name(p, "id", raw.ID, c.leafIDs[raw.ID])
	c.name(p, "zone", raw.Zone, false)
	addr, err := netip.ParseAddrPort(raw.Address)
	c.require(err == nil && addr.Port() != 0, p, "address", "want IP:PORT, got %q", raw.Address)
	canonical := addr.String()
	c.require(!c.addresses[canonical], p, "address", "%q is another leaf's address as well", raw.Address)
	c.require(raw.Slots >= 1, p, "slots", "leaf %q has no slots", raw.ID)
	c.require(raw.Connections >= 1, p, "connections", "leaf %q accepts no connections", raw.ID)
	c.leafIDs[raw.ID], c.addresses[canonical] = true, true
	s.Leaves[raw.ID] = raw.resolve()
}

func (c *checker) snapshot(s *Service, p *path, raw *rawSnapshot) {
	c.require(raw.Version >= 1, p, "version", "want a version of 1 or more")
	c.require(s.Snapshot(raw.Version) == nil, p, "version", "snapshot %d stands twice", raw.Version)
	c.require(len(raw.Shards) > 0, p, "shard", "snapshot %d has no shard", raw.Version)
	sn := &Snapshot{Version: raw.Version, Shards: make([]Shard, 0, len(raw.Shards))}
	seen := make(map[uint32]bool, len(raw.Shards))
	for i := range raw.Shards {
		c.shard(s, sn, seen, p.element("shard", i), &raw.Shards[i])
	}
	c.require(sn.Documents() > 0, p, "shard", "snapshot %d has no document", raw.Version)
	s.Snapshots = append(s.Snapshots, sn)
}

// maxDocuments bounds the documents of a shard, so that the sum over a snapshot does not overflow.
const maxDocuments = 1 << 40

func (c *checker) shard(s *Service, sn *Snapshot, seen map[uint32]bool, p *path, raw *rawShard) {
	c.require(raw.ID != nil, p, "id", "a shard without id")
	id := valueOr(raw.ID, 0)
	c.require(!seen[id], p, "id", "shard %d stands twice", id)
	c.require(raw.Documents <= maxDocuments, p, "documents", "more than %d documents", uint64(maxDocuments))
	c.require(len(raw.Leaves) > 0, p, "leaves", "shard %d has no leaf", id)
	for i, leaf := range raw.Leaves {
		c.require(s.Leaves[leaf] != nil, p, "leaves", "shard %d names the unknown leaf %q", id, leaf)
		c.require(!slices.Contains(raw.Leaves[:i], leaf), p, "leaves", "shard %d names leaf %q twice", id, leaf)
	}
	seen[id] = true
	sn.Shards = append(sn.Shards, Shard{ID: id, Documents: raw.Documents, Leaves: raw.Leaves})
}
