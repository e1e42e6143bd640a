package search

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/burdockplank/burdockplank/internal/upstream"
)

// maxReconnectDelay is the longest time from the return of a leaf until a gather is connected to it again: the longest
// pause between two attempts of internal/upstream.
const maxReconnectDelay = 2500 * time.Millisecond

// reconnectingView is the fleet as seen by a gather that notices the return of a leaf later than it happens. A gather
// that tries again in growing intervals notices it after at most as long as the leaf was away.
type reconnectingView struct {
	*fakeFleet
	// share is the part of the longest possible delay that the gather takes for a return, drawn for each leaf and
	// incarnation.
	share func(leaf string, incarnation uint64) float64
}

func (v reconnectingView) State(leaf string) (upstream.State, bool) {
	s, ok := v.fakeFleet.State(leaf)
	v.mu.Lock()
	l := v.leaves[leaf]
	returned, longest := l.returned, min(maxReconnectDelay, l.returned.Sub(l.wentDown))
	v.mu.Unlock()
	s.UnseenFor = longest
	if !s.Connected || returned.IsZero() {
		return s, ok
	}
	if delay := time.Duration(v.share(leaf, s.Incarnation) * float64(longest)); time.Since(returned) < delay {
		s.Connected = false
		s.Incarnation -= incarnationStep
	}
	return s, ok
}

// returnsStorm sends crashing texts one after the other, beside innocent ones, through six gathers, while leaves return
// after drawn times that each gather notices after a time of its own.
type returnsStorm struct {
	storm
	// starts are when each crashing text is first sent. Each is sent for duration.
	starts   []time.Duration
	duration time.Duration
	// minReturn and maxReturn bound the time for which a crashed leaf is away.
	minReturn, maxReturn time.Duration
}

func drawReturnsStorm(seed uint64) returnsStorm {
	random := rand.New(rand.NewPCG(seed, 1))
	between := func(minimum, maximum int64) time.Duration {
		return time.Duration(minimum+random.Int64N(maximum-minimum)) * time.Millisecond
	}
	s := returnsStorm{storm: drawStorm(seed), duration: between(500, 3000), minReturn: 100 * time.Millisecond, maxReturn: between(101, 10000)}
	s.maxDelay = between(0, designedDelay.Milliseconds())
	s.unseen = random.IntN(2) == 0
	s.shards = 2 + random.IntN(4)
	next := time.Duration(0)
	for range 2 + random.IntN(2) {
		s.starts = append(s.starts, next)
		next += between(0, 6000)
	}
	return s
}

// run runs the storm.
func (s returnsStorm) run() *stormResult {
	ctx, cancel := context.WithCancel(context.Background())
	rigs, fleet := s.newGathers(ctx)
	s.delayEvidence(rigs)
	time.Sleep(time.Second) // the guards see the leaves as up
	if !s.unseen {
		s.askAll(rigs)
	}
	result := &stormResult{answered: make(map[string]time.Time), crashes: fleet.crashes}
	end := time.Now().Add(s.starts[len(s.starts)-1] + s.duration)
	var wg sync.WaitGroup
	for i, r := range rigs {
		random := rand.New(rand.NewPCG(s.seed, uint64(i)))
		for n, start := range s.starts {
			wg.Go(func() { s.sendCrashing(r, n, start) })
		}
		wg.Go(func() { s.sendInnocent(r, random, end, result) })
	}
	wg.Wait()
	cancel()
	synctest.Wait()
	return result
}

func (s returnsStorm) newGathers(ctx context.Context) ([]*rig, *fakeFleet) {
	service, fleet := groups(s.shards)
	random := rand.New(rand.NewPCG(s.seed, 2))
	fleet.restartAfter = func() time.Duration {
		return s.minReturn + time.Duration(random.Int64N(int64(s.maxReturn-s.minReturn)))
	}
	var rigs []*rig
	for i := range 6 {
		share := func(leaf string, incarnation uint64) float64 {
			return rand.New(rand.NewPCG(s.seed+uint64(i)<<32, incarnation)).Float64()
		}
		zone := []string{"az-a", "az-b", "az-c"}[i%3]
		rigs = append(rigs, newRigOver(zone, service, reconnectingView{fleet, share}, fleet, nil))
	}
	connectGathers(ctx, rigs, 0, neverCut)
	return rigs, fleet
}

// sendCrashing sends a crashing text, each copy right after the refusal of the last.
func (s returnsStorm) sendCrashing(r *rig, n int, start time.Duration) {
	time.Sleep(start)
	for end := time.Now().Add(s.duration); time.Now().Before(end); {
		_, _ = s.search(r, fmt.Sprint(crashMark, n), 1)
		time.Sleep(s.pause)
	}
}

// TestCrashingTextsAreBoundWhileLeavesReturn guards against a text that ends more than maxCrashes leaves, one after
// another text that ended some: gathers notice the return of a leaf at different times, and those that had not ran the
// text on a further leaf in its place.
func TestCrashingTextsAreBoundWhileLeavesReturn(t *testing.T) {
	seeds := []uint64{302, 412, 457, 557, 910, 965} // a leaf returned and crashed again before a gather noticed
	for seed := range *storms {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("storm ", seed), func(t *testing.T) {
			t.Parallel()
			s := drawReturnsStorm(seed)
			synctest.Test(t, func(t *testing.T) {
				e := s.run()
				for text, n := range e.crashes {
					if n > maxCrashes {
						t.Errorf("text %s crashed %d leaves", text, n)
					}
				}
				t.Logf("%d of %d innocent requests unserved, %d as quarantined: %+v", e.unserved, e.requests, len(e.refused), s)
			})
		})
	}
}
