package search

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/upstream"
)

// The size of the simulated fleet: the groups of the booking desk behind six VMs, without the processors and networks
// of a real fleet. Time is virtual, so the results do not depend on the machine. simCapacity and simNormalRate are in
// searches per second, simQueue is the queue length of a leaf, and simNetworkDelay the delay of one hop.
const (
	simGathers      = 6
	simZones        = 3
	simGroups       = 10
	simSlots        = 3
	simQueue        = 8
	simServiceTime  = 20 * time.Millisecond
	simSigma        = 0.3
	simNetworkDelay = 500 * time.Microsecond
	simCapacity     = 430.0
	simNormalRate   = 190.0
)

// simLeaf is a leaf with slots and a queue.
type simLeaf struct {
	// running, waiting, maxInFlight and calls are guarded by the fleet's mutex.
	running, maxInFlight, calls int
	waiting                     []chan struct{}
	slowFactor                  float64
	down                        bool
}

type simFleet struct {
	mu     sync.Mutex
	leaves map[string]*simLeaf
	random *rand.Rand
}

func (f *simFleet) State(id string) (upstream.State, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.leaves[id]
	return upstream.State{Leaf: id, Incarnation: 1, Connected: !l.down}, true
}

func (f *simFleet) Execute(context.Context, string, *pb.LeafExecuteRequest) (*pb.LeafExecuteResponse, error) {
	panic("unexpected call of Execute")
}

// Search takes a slot, works and answers. A call that is cancelled frees its slot.
func (f *simFleet) Search(ctx context.Context, id string, req *pb.LeafSearchRequest) (*pb.LeafSearchResponse, error) {
	time.Sleep(simNetworkDelay)
	l, turn, shed := f.enter(id)
	if shed {
		return nil, &upstream.CallError{Leaf: id, Wrote: true, Refusal: pb.LeafRefusalReason_LEAF_REFUSAL_REASON_SHED, Err: errRefused}
	}
	select {
	case <-turn:
	case <-ctx.Done():
		f.abandon(l, turn)
		return nil, &upstream.CallError{Leaf: id, Wrote: true, Err: ctx.Err()}
	}
	defer f.release(l)
	select {
	case <-time.After(f.work(l)):
		time.Sleep(simNetworkDelay)
		return goodAnswer(req), nil
	case <-ctx.Done():
		return nil, &upstream.CallError{Leaf: id, Wrote: true, Err: ctx.Err()}
	}
}

func (f *simFleet) work(l *simLeaf) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(l.slowFactor * float64(simServiceTime) * math.Exp(simSigma*f.random.NormFloat64()))
}

func (f *simFleet) enter(id string) (l *simLeaf, turn chan struct{}, shed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l = f.leaves[id]
	turn = make(chan struct{})
	switch {
	case l.running < simSlots:
		l.running++
		close(turn)
	case len(l.waiting) < simQueue:
		l.waiting = append(l.waiting, turn)
	default:
		return l, nil, true
	}
	l.calls++
	l.maxInFlight = max(l.maxInFlight, l.running+len(l.waiting))
	return l, turn, false
}

func (f *simFleet) abandon(l *simLeaf, turn chan struct{}) {
	f.mu.Lock()
	i := slices.Index(l.waiting, turn)
	if i >= 0 {
		l.waiting = slices.Delete(l.waiting, i, i+1)
	}
	f.mu.Unlock()
	if i < 0 {
		f.release(l)
	}
}

func (f *simFleet) release(l *simLeaf) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(l.waiting) == 0 {
		l.running--
		return
	}
	close(l.waiting[0])
	l.waiting = l.waiting[1:]
}
