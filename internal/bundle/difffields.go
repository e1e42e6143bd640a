package bundle

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

func limitFields(l Limits) fields {
	return fields{
		{"max_query_bytes", strconv.Itoa(l.MaxQueryBytes)},
		{"max_top_k", strconv.Itoa(l.MaxTopK)},
		{"max_timeout", l.MaxTimeout.String()},
	}
}

func callerFields(c *Caller) fields {
	return fields{
		{"token", tokenPrefix(c.TokenSHA256)},
		{"services", strings.Join(slices.Sorted(slices.Values(c.Services)), " ")},
		{"rate", formatNumber(c.Rate)},
		{"burst", strconv.Itoa(c.Burst)},
		{"share", strconv.Itoa(c.Share)},
	}
}

// tokenPrefixBytes is how many bytes of a token's hash are shown: enough to see that it was replaced.
const tokenPrefixBytes = 4

func tokenPrefix(d Digest) string { return fmt.Sprintf("%x...", d[:tokenPrefixBytes]) }

func formatNumber(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

// kindFields returns the same names for both modes, so that a change of mode can be compared.
func kindFields(k *Kind) fields {
	f := fields{
		{"mode", string(k.Mode)},
		{"weight", strconv.Itoa(k.Weight)},
		{"timeout", k.Timeout.String()},
		{"top_k", strconv.Itoa(k.TopK)},
		{"partial", string(k.Partial)},
		{"min_coverage", formatNumber(k.MinCoverage)},
		{"early_coverage", formatNumber(k.EarlyCoverage)},
		{"early_after", formatNumber(k.EarlyAfter)},
		{"hedge_budget", formatNumber(k.HedgeBudget)},
		{"retry_budget", formatNumber(k.RetryBudget)},
	}
	if k.Mode == ModeOrder {
		for i := range f[commonFieldCount:] {
			f[commonFieldCount+i].value = notApplicable
		}
	}
	return f
}

// commonFieldCount is how many of the leading kindFields apply to both modes.
const commonFieldCount = 3

// notApplicable is the value of a field that does not apply to the mode of a kind.
const notApplicable = "none"

func leafFields(l *Leaf) fields {
	return fields{
		{"zone", l.Zone},
		{"address", l.Address},
		{"slots", strconv.Itoa(l.Slots)},
		{"connections", strconv.Itoa(l.Connections)},
	}
}

// compareSnapshots compares the shard maps, lowest version first.
func (d *differ) compareSnapshots(a, b *Service) {
	var versions []uint64
	for _, sn := range slices.Concat(a.Snapshots, b.Snapshots) {
		versions = append(versions, sn.Version)
	}
	slices.Sort(versions)
	for _, v := range slices.Compact(versions) {
		subject := fmt.Sprintf("snapshot %d", v)
		x, y := a.Snapshot(v), b.Snapshot(v)
		switch {
		case x == nil:
			d.add(Added, subject, snapshotSummary(y))
		case y == nil:
			d.add(Removed, subject, snapshotSummary(x))
		default:
			d.compareShards(subject, x, y)
		}
	}
}

func snapshotSummary(s *Snapshot) string {
	return fmt.Sprintf("%d shards, %d documents, %d to %d replicas a shard", len(s.Shards), s.Documents(),
		s.replicas(false), s.replicas(true))
}

// replicas returns the largest or the smallest number of replicas of a shard.
func (s *Snapshot) replicas(largest bool) int {
	n := len(s.Shards[0].Leaves)
	for i := range s.Shards {
		if largest {
			n = max(n, len(s.Shards[i].Leaves))
		} else {
			n = min(n, len(s.Shards[i].Leaves))
		}
	}
	return n
}

func (d *differ) compareShards(snapshot string, a, b *Snapshot) {
	x, y := a.byID(), b.byID()
	var ids []uint32
	for _, sh := range slices.Concat(a.Shards, b.Shards) {
		ids = append(ids, sh.ID)
	}
	slices.Sort(ids)
	for _, id := range slices.Compact(ids) {
		subject := fmt.Sprintf("%s shard %d", snapshot, id)
		old, updated := x[id], y[id]
		switch {
		case old == nil:
			d.add(Added, subject, shardDetail(updated))
		case updated == nil:
			d.add(Removed, subject, shardDetail(old))
		default:
			d.compareShard(subject, old, updated)
		}
	}
}

func (s *Snapshot) byID() map[uint32]*Shard {
	m := make(map[uint32]*Shard, len(s.Shards))
	for i := range s.Shards {
		m[s.Shards[i].ID] = &s.Shards[i]
	}
	return m
}

func shardDetail(s *Shard) string {
	return fmt.Sprintf("documents %d, leaves %s", s.Documents, strings.Join(s.Leaves, " "))
}

// compareShard adds a change if the documents or the replicas differ.
func (d *differ) compareShard(subject string, a, b *Shard) {
	var parts []string
	if a.Documents != b.Documents {
		parts = append(parts, fmt.Sprintf("documents %d -> %d", a.Documents, b.Documents))
	}
	if gained := difference(b.Leaves, a.Leaves); len(gained) > 0 {
		parts = append(parts, "gains leaves "+strings.Join(gained, " "))
	}
	if lost := difference(a.Leaves, b.Leaves); len(lost) > 0 {
		parts = append(parts, "loses leaves "+strings.Join(lost, " "))
	}
	if len(parts) > 0 {
		d.add(Changed, subject, strings.Join(parts, ", "))
	}
}

// difference returns the sorted elements of a that are not in b.
func difference(a, b []string) []string {
	var out []string
	for _, x := range a {
		if !slices.Contains(b, x) {
			out = append(out, x)
		}
	}
	slices.Sort(out)
	return out
}
