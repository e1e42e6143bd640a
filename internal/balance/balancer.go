package balance

import (
	"sync"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// hedgeDefault is the hedge delay before anything is measured.
const hedgeDefault = 50 * time.Millisecond

// Balancer implements Replicas.
type Balancer struct {
	clock  Clock
	random Random

	mu sync.Mutex
	// inFlight counts the calls of this gather by leaf; guarded by mu.
	inFlight map[string]int
}

var _ Replicas = (*Balancer)(nil)

// New returns a balancer that knows no leaf yet.
func New(clock Clock, random Random) *Balancer {
	return &Balancer{clock: clock, random: random, inFlight: make(map[string]int)}
}

// Pick implements Replicas.
func (b *Balancer) Pick(candidates []string) (Call, bool) {
	if len(candidates) == 0 {
		return nil, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	one := candidates[int(b.random()*float64(len(candidates)))]
	two := candidates[int(b.random()*float64(len(candidates)))]
	if b.inFlight[two] < b.inFlight[one] {
		one = two
	}
	b.inFlight[one]++
	return &call{b: b, leaf: one}, true
}

// SetCapacity implements Replicas.
func (b *Balancer) SetCapacity(string, int, int) {}

// SetIncarnation implements Replicas.
func (b *Balancer) SetIncarnation(string, uint64) {}

// Report implements Replicas.
func (b *Balancer) Report(string, *pb.LeafLoad) {}

// HedgeAfter implements Replicas.
func (b *Balancer) HedgeAfter([]string) time.Duration { return hedgeDefault }

// AllowHedge implements Replicas.
func (b *Balancer) AllowHedge(float64) bool { return false }

// AllowRetry implements Replicas.
func (b *Balancer) AllowRetry(float64) bool { return false }

// call is one call in flight.
type call struct {
	b    *Balancer
	leaf string
	once sync.Once
}

// Leaf implements Call.
func (c *call) Leaf() string { return c.leaf }

// Done implements Call.
func (c *call) Done(Result) {
	c.once.Do(func() {
		c.b.mu.Lock()
		defer c.b.mu.Unlock()
		c.b.inFlight[c.leaf]--
	})
}
