package balance

import (
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// Baseline implements Replicas as a reference for measurements: a random replica, without limits, hedges
// and retries.
type Baseline struct{ random Random }

var _ Replicas = (*Baseline)(nil)

// NewBaseline returns a Baseline.
func NewBaseline(random Random) *Baseline { return &Baseline{random: random} }

// Pick implements Replicas.
func (b *Baseline) Pick(candidates []string) (Call, bool) {
	if len(candidates) == 0 {
		return nil, false
	}
	i := int(b.random() * float64(len(candidates)))
	return baselineCall(candidates[min(i, len(candidates)-1)]), true
}

// SetCapacity implements Replicas.
func (b *Baseline) SetCapacity(string, int, int) {}

// SetIncarnation implements Replicas.
func (b *Baseline) SetIncarnation(string, uint64) {}

// Report implements Replicas.
func (b *Baseline) Report(string, *pb.LeafLoad) {}

// HedgeAfter implements Replicas.
func (b *Baseline) HedgeAfter([]string) time.Duration { return NoHedge }

// AllowHedge implements Replicas.
func (b *Baseline) AllowHedge(float64) bool { return false }

// AllowRetry implements Replicas.
func (b *Baseline) AllowRetry(float64) bool { return false }

// baselineCall is the leaf of a call; its result is discarded.
type baselineCall string

// Leaf implements Call.
func (c baselineCall) Leaf() string { return string(c) }

// Suspect implements Call.
func (c baselineCall) Suspect() bool { return false }

// Done implements Call.
func (c baselineCall) Done(Result) {}
