package search

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/admission"
	"github.com/burdockplank/burdockplank/internal/balance"
	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/feed"
	"github.com/burdockplank/burdockplank/internal/outcome"
	"github.com/burdockplank/burdockplank/internal/quarantine"
)

// simKind holds the results of the searches of one kind.
type simKind struct {
	sent, answered, whole, failed int
	times, refusals               []time.Duration
}

// p99 returns the 99th percentile of the time of answered searches.
func (k *simKind) p99() time.Duration { return quantileOf(k.times, 0.99) }

func quantileOf(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[int(q*float64(len(times)-1))]
}

// sim is a fleet of entries and gathers over simulated leaves.
type sim struct {
	fleet      *simFleet
	service    *bundle.Service
	engines    []*Engine
	admissions []*admission.Controller
	random     *rand.Rand

	mu sync.Mutex
	// kinds, and the time from which it counts, are guarded by mu.
	kinds       map[string]*simKind
	countedFrom time.Time
	// baseCalls is the number of calls before countedFrom, neededCalls the number of shards of the searches answered
	// since.
	baseCalls, neededCalls int
}

type simBalancer struct{ balance.Replicas }

func (b simBalancer) For(string) balance.Replicas { return b.Replicas }

func newSim(partial bundle.Partial) *sim {
	service, _ := groups(simGroups)
	service.Kinds = map[string]*bundle.Kind{}
	for name, weight := range map[string]int{"dawn": 10, "roster": 2} {
		service.Kinds[name] = &bundle.Kind{
			Name: name, Mode: bundle.ModeSearch, Weight: weight, Timeout: time.Second, TopK: 10, Partial: partial,
			EarlyCoverage: 0.9, EarlyAfter: 3, HedgeBudget: 0.05, RetryBudget: 0.1,
		}
	}
	s := &sim{
		service: service, random: rand.New(rand.NewPCG(1, 1)), kinds: make(map[string]*simKind),
		fleet: &simFleet{leaves: make(map[string]*simLeaf), random: rand.New(rand.NewPCG(2, 2))},
	}
	for id := range service.Leaves {
		s.fleet.leaves[id] = &simLeaf{slowFactor: 1}
	}
	for i := range simGathers {
		s.addVM(i)
	}
	return s
}

func (s *sim) addVM(i int) {
	random := rand.New(rand.NewPCG(uint64(i), 3))
	var mu sync.Mutex
	float := func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return random.Float64()
	}
	b := &bundle.Bundle{
		Version: 1, Services: map[string]*bundle.Service{s.service.Name: s.service},
		Limits: bundle.Limits{MaxQueryBytes: 100, MaxTopK: 100, MaxTimeout: 10 * time.Second},
	}
	f := &fakeFeed{view: &feed.View{Zone: fmt.Sprintf("az-%c", 'a'+i%simZones), Bundle: b}, onCrash: func(*pb.Crash) {}}
	reg := prometheus.NewRegistry()
	guard := quarantine.New(quarantine.DefaultSettings(), f, s.fleet.State, time.Now, quarantine.NewMetrics(reg))
	guard.ApplyView(f.view)
	replicas := balance.New(time.Now, float)
	for id, l := range s.service.Leaves {
		replicas.SetCapacity(id, l.Slots, simGathers)
		replicas.SetIncarnation(id, 1)
	}
	s.engines = append(s.engines, New(DefaultSettings(), f, s.fleet, nil, simBalancer{replicas}, guard, zap.NewNop(), NewMetrics(reg)))
	s.admissions = append(s.admissions, admission.New(admission.DefaultSettings(), prometheus.NewRegistry(), time.Now, float))
}

// load sends searches at a rate per second for a duration, and counts only those that start from now on.
func (s *sim) load(rate float64, d time.Duration) {
	s.mu.Lock()
	s.countedFrom, s.baseCalls, s.neededCalls = time.Now(), s.calls(), 0
	s.kinds = map[string]*simKind{"dawn": {}, "roster": {}}
	s.mu.Unlock()
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(time.Duration(s.random.ExpFloat64() / rate * float64(time.Second)))
		kind := "roster"
		if s.random.Float64() < 0.3 {
			kind = "dawn"
		}
		vm, text := s.random.IntN(simGathers), fmt.Sprint(kind, time.Now().UnixNano(), n)
		wg.Go(func() { s.search(vm, kind, text) })
	}
	wg.Wait()
}

func (s *sim) calls() int {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	n := 0
	for _, l := range s.fleet.leaves {
		n += l.calls
	}
	return n
}

func (s *sim) search(vm int, kind, text string) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	a, err := s.send(ctx, vm, kind, text)
	elapsed := time.Since(start)
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.kinds[kind]
	k.sent++
	switch {
	case err == nil:
		k.answered++
		k.times = append(k.times, elapsed)
		s.neededCalls += len(s.service.Snapshots[0].Shards)
		if a.GetOutcome().GetKind() == pb.OutcomeKind_OUTCOME_KIND_ANSWERED_WHOLE {
			k.whole++
		}
	case err.Kind == pb.OutcomeKind_OUTCOME_KIND_NOT_RUN:
		k.refusals = append(k.refusals, elapsed)
	default:
		k.failed++
	}
}

// send sends a search through the admission of an entry and then one of the two gathers of its zone.
func (s *sim) send(ctx context.Context, vm int, kind, text string) (*pb.SearchResponse, *outcome.Error) {
	slot, refused := s.admissions[vm].Admit(ctx, admission.Request{
		Service: s.service.Name, Kind: s.service.Kinds[kind], Caller: &bundle.Caller{Name: "desk", Rate: 1e6, Burst: 1e6, Share: 1},
	})
	if refused != nil {
		return nil, refused
	}
	result := admission.ResultOK
	defer func() { slot.Done(result) }()
	time.Sleep(simNetworkDelay)
	at := vm%simZones + simZones*rand.IntN(simGathers/simZones)
	a, err := s.engines[at].Search(ctx, &pb.Identity{RequestId: text}, &pb.SearchRequest{Service: s.service.Name, Kind: kind, Query: text})
	time.Sleep(simNetworkDelay)
	if err != nil {
		e, _ := outcome.As(err)
		result = admission.ResultFailed
		switch e.Reason {
		case pb.Reason_REASON_OVERLOAD:
			result = admission.ResultOverload
		case pb.Reason_REASON_DEADLINE:
			result = admission.ResultDeadline
		}
		return nil, e
	}
	for _, m := range a.GetCoverage().GetMissing() {
		if m.GetReason() == pb.Reason_REASON_OVERLOAD {
			result = admission.ResultPartialOverload
		}
	}
	return a, nil
}

// measurement holds the results of a load.
type measurement struct {
	dawn, roster simKind
	// extraCalls is the number of calls divided by those needed, less 1. maxAtLeaf is the maximum number of calls at once
	// at a leaf, queued ones included.
	extraCalls float64
	maxAtLeaf  int
}

func (e measurement) answered() int { return e.dawn.answered + e.roster.answered }

// measure loads the fleet and returns the results of the searches.
func (s *sim) measure(t *testing.T, name string, rate float64, d time.Duration) measurement {
	t.Helper()
	s.load(rate, d)
	e := measurement{dawn: *s.kinds["dawn"], roster: *s.kinds["roster"]}
	e.extraCalls = float64(s.calls()-s.baseCalls)/float64(max(1, s.neededCalls)) - 1
	for _, l := range s.fleet.leaves {
		e.maxAtLeaf = max(e.maxAtLeaf, l.maxInFlight)
		l.maxInFlight = 0
	}
	t.Logf("%-14s dawn   %v", name, &e.dawn)
	t.Logf("%-14s roster %v; extra calls %.3f, most at a leaf %d", name, &e.roster, e.extraCalls, e.maxAtLeaf)
	return e
}

// String returns the counts and percentiles.
func (k *simKind) String() string {
	ms := func(times []time.Duration, q float64) time.Duration {
		return quantileOf(times, q).Round(100 * time.Microsecond)
	}
	return fmt.Sprintf("sent %d answered %d whole %.4f failed %d, p50 %s p99 %s; refused %d, p50 %s p99 %s",
		k.sent, k.answered, k.wholeShare(), k.failed, ms(k.times, 0.5), ms(k.times, 0.99),
		len(k.refusals), ms(k.refusals, 0.5), ms(k.refusals, 0.99))
}

func (k *simKind) wholeShare() float64 { return float64(k.whole) / float64(max(1, k.answered)) }

// slow sets the factor of the service time of leaves.
func (s *sim) slow(factor float64, ids ...string) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	for _, id := range ids {
		s.fleet.leaves[id].slowFactor = factor
	}
}

// replicas returns the ids of one replica of each of the groups.
func replicas(letter string, groups ...int) []string {
	var ids []string
	for _, g := range groups {
		ids = append(ids, fmt.Sprintf("leaf-%d-%s", g, letter))
	}
	return ids
}

// setDown takes leaves down, or up again.
func (s *sim) setDown(isDown bool, ids ...string) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	for _, id := range ids {
		s.fleet.leaves[id].down = isDown
	}
}

var everyGroup = []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9}

// settleTime is the duration of the load before a measurement.
const settleTime = 5 * time.Second

// measureTime is the duration of a measurement for a bound of its p99: some 2,500 searches of the rarer kind. With 830,
// the ratio of two p99 was between 1.10 and 1.30 in 25 runs of the same code.
const measureTime = 9 * settleTime

// TestFaultsUnderLoad checks what the decisions have to achieve with faults at a normal load: a bound of p99 relative
// to the p99 without faults, a bound of extra calls, and the share of whole answers.
func TestFaultsUnderLoad(t *testing.T) {
	for name, tt := range map[string]struct {
		fault func(s *sim)
		p99   float64
		extra float64
		whole float64
	}{
		"straggler in three groups": {func(s *sim) { s.slow(20, replicas("a", 0, 3, 6)...) }, 1.3, 0.05, 0.99},
		"replica lost everywhere":   {func(s *sim) { s.setDown(true, replicas("a", everyGroup...)...) }, 1.5, 0.05, 0.99},
		"group lost": {func(s *sim) {
			s.setDown(true, append(append(replicas("a", 0), replicas("b", 0)...), replicas("c", 0)...)...)
		}, 1.1, 0.05, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newSim(bundle.PartialLatency)
				s.load(simNormalRate, settleTime)
				calm := s.measure(t, "calm", simNormalRate, measureTime)
				tt.fault(s)
				s.load(simNormalRate, settleTime)
				during := s.measure(t, name, simNormalRate, measureTime)
				for _, k := range []simKind{during.dawn, during.roster} {
					is.Equal(k.answered, k.sent)
					is.True(float64(k.p99()) <= tt.p99*float64(calm.roster.p99()))
					is.True(k.wholeShare() >= tt.whole)
				}
				is.True(during.extraCalls <= tt.extra)
				for id := range s.fleet.leaves {
					s.slow(1, id)
					s.setDown(false, id)
				}
				s.load(simNormalRate, settleTime)
				after := s.measure(t, "after", simNormalRate, 3*settleTime)
				is.True(float64(after.roster.p99()) <= 1.1*float64(calm.roster.p99()))
				time.Sleep(time.Minute) // lets the remaining timers end
			})
		})
	}
}

// TestOverloadUnderLoad checks goodput, deadlines and the order of kinds above capacity, and the recovery after it.
func TestOverloadUnderLoad(t *testing.T) {
	for _, times := range []float64{1.5, 3, 10} {
		t.Run(fmt.Sprint(times, " times"), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newSim(bundle.PartialLatency)
				s.load(simNormalRate, settleTime)
				calm := s.measure(t, "calm", simNormalRate, measureTime)
				peak := s.measure(t, "capacity", simCapacity, settleTime)
				over := s.measure(t, "overload", times*simCapacity, settleTime)
				is.True(over.answered()*10 >= peak.answered()*9) // goodput
				for _, k := range []simKind{over.dawn, over.roster} {
					is.True(k.p99() < time.Second) // within their deadlines
					is.True(k.wholeShare() > 0.85) // most are whole
					is.Equal(k.failed, 0)
				}
				heavy := float64(over.dawn.answered) / float64(over.dawn.sent)
				light := float64(over.roster.answered) / float64(over.roster.sent)
				is.True(heavy > 1.5*light) // heavier kinds first
				is.True(quantileOf(over.roster.refusals, 0.5) <= 10*time.Millisecond)
				s.load(simNormalRate, settleTime)
				after := s.measure(t, "after", simNormalRate, 3*settleTime)
				is.True(float64(after.roster.p99()) <= 1.1*float64(calm.roster.p99()))
				time.Sleep(time.Minute)
			})
		})
	}
}

// TestASlowGroupIsHandledByKind checks the two policies for late groups with a group that is 15 times slower: one
// answers in time without it, the other waits for it and answers whole.
func TestASlowGroupIsHandledByKind(t *testing.T) {
	for partial, want := range map[bundle.Partial]struct {
		whole     float64
		from, end time.Duration
	}{
		bundle.PartialLatency:  {0, 60 * time.Millisecond, 250 * time.Millisecond},
		bundle.PartialCoverage: {1, 300 * time.Millisecond, time.Second},
	} {
		t.Run(string(partial), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newSim(partial)
				s.load(simNormalRate, settleTime)
				s.slow(15, append(append(replicas("a", 0), replicas("b", 0)...), replicas("c", 0)...)...)
				s.load(simCapacity/50, settleTime) // few enough for the slow group to answer all of them
				e := s.measure(t, string(partial), simCapacity/50, 10*settleTime)
				is.Equal(e.dawn.answered, e.dawn.sent)
				is.True(e.dawn.wholeShare() >= want.whole)
				is.True(quantileOf(e.dawn.times, 0.5) >= want.from)
				is.True(e.dawn.p99() <= want.end)
				time.Sleep(time.Minute)
			})
		})
	}
}
