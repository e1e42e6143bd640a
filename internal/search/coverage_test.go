package search

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/outcome"
	_ "github.com/burdockplank/burdockplank/internal/rapidseed"
	"github.com/burdockplank/burdockplank/internal/upstream"
)

// notSent is the index in behaviours of the only one of which no byte reaches the leaf.
const notSent = 0

// behaviours are the possible reactions of a leaf to a call.
var behaviours = []func(context.Context, *pb.LeafSearchRequest) (*pb.LeafSearchResponse, error){
	failWith(&upstream.CallError{Err: errRefused}),
	answerAfter(serviceTime),
	answerAfter(20 * serviceTime),
	corrupt(func(a *pb.LeafSearchResponse) { a.Hits = nil }),
	stall,
	ignoreCancellation,
	refuseWith(pb.LeafRefusalReason_LEAF_REFUSAL_REASON_SHED),
	refuseWith(pb.LeafRefusalReason_LEAF_REFUSAL_REASON_DRAINING),
	refuseWith(pb.LeafRefusalReason_LEAF_REFUSAL_REASON_SNAPSHOT_GONE),
	refuseWith(pb.LeafRefusalReason_LEAF_REFUSAL_REASON_DEADLINE),
	failWith(&upstream.CallError{Wrote: true, ConnectionSilent: true, Err: errLost}),
	failWith(&upstream.CallError{Wrote: true, ConnectionLost: true, Err: errLost}),
	failWith(&upstream.CallError{Wrote: true, Err: errLost}),
	corrupt(func(a *pb.LeafSearchResponse) { a.Shard++ }),
	corrupt(func(a *pb.LeafSearchResponse) { a.Snapshot++ }),
	corrupt(func(a *pb.LeafSearchResponse) { a.RequestId += "x" }),
	corrupt(func(a *pb.LeafSearchResponse) { a.QueryDigest++ }),
	refuseWith(pb.LeafRefusalReason_LEAF_REFUSAL_REASON_TOO_LATE),
}

// ignoreCancellation answers late, whether or not its call is cancelled.
func ignoreCancellation(_ context.Context, req *pb.LeafSearchRequest) (*pb.LeafSearchResponse, error) {
	time.Sleep(300 * time.Millisecond)
	return goodAnswer(req), nil
}

// deliveries records which correct answers leaves gave, by request, snapshot and shard.
type deliveries struct {
	mu        sync.Mutex
	delivered map[string]bool
	// written holds the requests of which a byte reached a leaf.
	written map[string]bool
}

func deliveryKey(id string, snapshot uint64, shard uint32) string {
	return fmt.Sprint(id, "/", snapshot, "/", shard)
}

func (d *deliveries) record(req *pb.LeafSearchRequest, a *pb.LeafSearchResponse, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		return
	}
	want := goodAnswer(req)
	a = proto.CloneOf(a)
	want.Hits, a.Hits = nil, nil
	if proto.Equal(a, want) {
		d.delivered[deliveryKey(req.GetRequestId(), req.GetSnapshot(), req.GetShard())] = true
	}
}

func (d *deliveries) write(req *pb.LeafSearchRequest, choice int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if choice != notSent {
		d.written[req.GetRequestId()] = true
	}
}

func (d *deliveries) wasWritten(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.written[id]
}

func (d *deliveries) has(key string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.delivered[key]
}

// TestCoverageIsWhatWasDelivered guards against wrong coverage. Each leaf reacts arbitrarily to any call, and each
// response is compared with the answers that the leaves gave: one snapshot, own hits only, every shard covered or
// missing, nothing covered that was not delivered, and no byte at a leaf if the outcome is not_run.
func TestCoverageIsWhatWasDelivered(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		choices := rapid.SliceOfN(rapid.IntRange(0, len(behaviours)-1), 40, 40).Draw(rt, "leaf behaviours")
		healthy := rapid.IntRange(0, 10).Draw(rt, "healthy of ten calls")
		slots := rapid.IntRange(0, 4).Draw(rt, "slots")
		mode := rapid.SampledFrom([]string{"always", "never"}).Draw(rt, "first run")
		kinds := rapid.SliceOfN(rapid.SampledFrom([]string{"dawn", "claim"}), 1, 6).Draw(rt, "searches")
		var wrong []string
		synctest.Test(t, func(t *testing.T) {
			service, fleet := groups(3)
			service.Snapshots = append([]*bundle.Snapshot{repartitioned(service.Snapshots[0])}, service.Snapshots...)
			r := newRig("az-b", service, fleet, modes[mode])
			r.replicas.slots = slots
			delivered := &deliveries{delivered: make(map[string]bool), written: make(map[string]bool)}
			calls := 0
			for _, l := range fleet.leaves {
				l.answer = func(ctx context.Context, req *pb.LeafSearchRequest) (*pb.LeafSearchResponse, error) {
					delivered.mu.Lock()
					n := calls
					calls++
					delivered.mu.Unlock()
					choice := choices[n%len(choices)]
					if n%10 < healthy {
						choice = 1
					}
					delivered.write(req, choice)
					a, err := behaviours[choice](ctx, req)
					delivered.record(req, a, err)
					return a, err
				}
			}
			var wg sync.WaitGroup
			for i, kind := range kinds {
				wg.Go(func() {
					id := fmt.Sprint("r", i)
					text := fmt.Sprint("text ", i/2) // two searches share a text
					a, err := r.search(id, kind, text, 200*time.Millisecond)
					found := append(verify(id, text, a, err, delivered.wasWritten(id)), notDelivered(id, a, delivered)...)
					delivered.mu.Lock()
					wrong = append(wrong, found...)
					delivered.mu.Unlock()
				})
			}
			wg.Wait()
			r.engine.Wait()
		})
		if len(wrong) > 0 {
			rt.Fatal(wrong)
		}
	})
}

// repartitioned returns a newer snapshot with fewer shards, one of them listed twice.
func repartitioned(s *bundle.Snapshot) *bundle.Snapshot {
	return &bundle.Snapshot{Version: s.Version + 1, Shards: []bundle.Shard{s.Shards[0], s.Shards[1], s.Shards[0]}}
}

// verify returns the faults of the end of a search that show without regard to what the leaves delivered.
func verify(id, text string, a *pb.SearchResponse, err error, written bool) []string {
	var wrong []string
	if e, ok := outcome.As(err); err != nil {
		if !ok || e.Kind == pb.OutcomeKind_OUTCOME_KIND_NOT_RUN && written {
			wrong = append(wrong, "outcome is not_run, but a byte reached a leaf")
		}
		return wrong
	}
	c := a.GetCoverage()
	shards := uint32(4 - a.GetSnapshot()) // 3 in the first, 2 in the second
	if c.GetShardsTotal() != shards || c.GetDocumentsTotal() != uint64(shards)*100 || c.GetDocumentsCovered() != uint64(c.GetShardsCovered())*100 {
		wrong = append(wrong, "coverage does not match the shards of the snapshot")
	}
	if c.GetShardsCovered()+uint32(len(c.GetMissing())) != shards || c.GetShardsCovered() == 0 {
		wrong = append(wrong, "no shard is covered, or some are neither covered nor missing")
	}
	whole := a.GetOutcome().GetKind() == pb.OutcomeKind_OUTCOME_KIND_ANSWERED_WHOLE
	if whole != (len(c.GetMissing()) == 0) {
		wrong = append(wrong, "outcome does not match coverage")
	}
	for _, h := range a.GetHits() {
		if h.GetText() != hitText(id, a.GetSnapshot(), text) {
			wrong = append(wrong, "hit of another search or snapshot")
		}
	}
	return wrong
}

// notDelivered returns the shards reported as covered for which no leaf gave an answer.
func notDelivered(id string, a *pb.SearchResponse, delivered *deliveries) []string {
	var wrong []string
	for shard := range a.GetCoverage().GetShardsTotal() {
		missing := slices.ContainsFunc(a.GetCoverage().GetMissing(), func(m *pb.MissingShard) bool { return m.GetShard() == shard })
		if !missing && !delivered.has(deliveryKey(id, a.GetSnapshot(), shard)) {
			wrong = append(wrong, fmt.Sprintf("shard %d is covered, but no leaf delivered it", shard))
		}
	}
	return wrong
}

func TestChoosePlan(t *testing.T) {
	is := is.New(t)
	both := []uint64{1, 2}
	service := &bundle.Service{Snapshots: []*bundle.Snapshot{
		{Version: 1, Shards: []bundle.Shard{{ID: 0, Documents: 10, Leaves: []string{"a", "b"}}, {ID: 1, Documents: 30, Leaves: []string{"c"}}}},
		{Version: 2, Shards: []bundle.Shard{{ID: 0, Documents: 20, Leaves: []string{"a"}}, {ID: 1, Documents: 20, Leaves: []string{"d"}}}},
	}}
	up := func(snapshots []uint64) upstream.State { return upstream.State{Connected: true, Snapshots: snapshots} }
	tests := map[string]struct {
		states map[string]upstream.State
		lacks  string
		want   uint64
	}{
		"newest whole":                       {states: map[string]upstream.State{"a": up(both), "b": up(both), "c": up(both), "d": up(both)}, want: 2},
		"unreported snapshots count as held": {states: map[string]upstream.State{"a": up(nil), "b": up(nil), "c": up(nil), "d": up(nil)}, want: 2},
		"newest lacks a shard":               {states: map[string]upstream.State{"a": up(both), "b": up(both), "c": up(both), "d": up([]uint64{1})}, want: 1},
		"leaf refused the snapshot":          {states: map[string]upstream.State{"a": up(both), "b": up(both), "c": up(both), "d": up(both)}, lacks: "d", want: 1},
		"leaving leaf does not count":        {states: map[string]upstream.State{"a": up(both), "b": up(both), "c": up(both), "d": {Connected: true, Leaving: true}}, want: 1},
		"none whole, most documents":         {states: map[string]upstream.State{"c": up(both), "d": up(both)}, want: 1},
		"none whole, newest on ties":         {states: map[string]upstream.State{"b": up([]uint64{1}), "c": {}, "d": up(both), "a": {}}, want: 2},
		"no leaf is connected":               {states: map[string]upstream.State{"a": {Connected: false}}, want: 0},
		"unconnected leaf does not count":    {states: map[string]upstream.State{"a": up(both), "b": up(both), "c": up(both), "d": {}}, want: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := choosePlan(service, fleet{
				state:         func(l string) (upstream.State, bool) { s, ok := tt.states[l]; return s, ok },
				lacksSnapshot: func(l string, v uint64) bool { return l == tt.lacks && v == 2 },
			})
			if tt.want == 0 {
				is.True(p == nil)
				return
			}
			is.Equal(p.snapshot.Version, tt.want)
		})
	}
	twice := newPlan(&bundle.Snapshot{Shards: []bundle.Shard{{ID: 3, Documents: 5, Leaves: []string{"a"}}, {ID: 3, Documents: 5, Leaves: []string{"a", "b"}}}},
		fleet{state: func(string) (upstream.State, bool) { return up(nil), true }, lacksSnapshot: func(string, uint64) bool { return false }})
	is.Equal(len(twice.shards), 1)
	is.Equal(twice.documents, uint64(5))
	is.Equal(twice.shards[0].replicas, []string{"a", "b"})
}

func TestMergeIsTheSameInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		gen := rapid.Custom(func(t *rapid.T) *pb.Hit {
			return &pb.Hit{Document: rapid.StringMatching("[a-c]").Draw(t, "d"), Score: float64(rapid.IntRange(0, 3).Draw(t, "s")), Shard: uint32(rapid.IntRange(0, 2).Draw(t, "n"))}
		})
		hits := rapid.SliceOfN(gen, 0, 12).Draw(rt, "hits")
		k := rapid.IntRange(0, 8).Draw(rt, "k")
		cut := rapid.IntRange(0, len(hits)).Draw(rt, "cut")
		sorted := slices.Clone(hits)
		slices.SortFunc(sorted, compareHits)
		a, b := &pb.LeafSearchResponse{Hits: hits[:cut]}, &pb.LeafSearchResponse{Hits: hits[cut:]}
		for _, answers := range [][]*pb.LeafSearchResponse{{a, b}, {b, a}} {
			got := merge(answers, k)
			if len(got) != min(k, len(hits)) {
				rt.Fatal("wrong number of hits")
			}
			for i, h := range got {
				if compareHits(h, sorted[i]) != 0 {
					rt.Fatal("not the best hits in order")
				}
			}
		}
	})
}
