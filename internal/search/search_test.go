package search

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/balance"
	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/outcome"
	"github.com/burdockplank/burdockplank/internal/quarantine"
	"github.com/burdockplank/burdockplank/internal/upstream"
)

// answerBy is when a search with a limit of 1 s ends at the latest.
const answerBy = time.Second - time.Second/marginShare

func TestWholeAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service, fleet := groups(4)
		r := newRig("az-a", service, fleet, nil)
		start := time.Now()
		a, err := r.ask("r1", "dawn", "algebra", time.Second)
		is.NoErr(err)
		is.Equal(time.Since(start), 2*serviceTime) // the first run on one leaf, then the rest at once
		is.Equal(a.GetOutcome().GetKind(), pb.OutcomeKind_OUTCOME_KIND_ANSWERED_WHOLE)
		is.Equal(a.GetSnapshot(), uint64(1))
		is.Equal(a.GetBundleVersion(), uint64(7))
		is.Equal(a.GetCoverage().GetShardsCovered(), uint32(4))
		is.Equal(a.GetCoverage().GetDocumentsCovered(), uint64(400))
		is.Equal(len(a.GetHits()), 4)
		is.Equal(a.GetHits()[0].GetDocument(), "doc-3") // best score first
		is.Equal(fleet.ran["algebra"], 4)               // the first run costs no extra call

		start = time.Now()
		_, err = r.ask("r2", "dawn", "algebra", time.Second)
		is.NoErr(err)
		is.Equal(time.Since(start), serviceTime) // known by now
	})
}

// TestFaults shows for each fault of one replica or group what the answer says and what it costs.
func TestFaults(t *testing.T) {
	lost := failWith(&upstream.CallError{Wrote: true, Err: errLost})
	tests := map[string]struct {
		fault func(*fakeFleet)
		kind  string
		// missing reason of shard 0; UNSPECIFIED where the answer is whole.
		missing pb.Reason
		took    time.Duration
		calls   int
		// proven texts only are retried after a broken connection; no retry budget is left then.
		proven bool
	}{
		"replica errs":                     {fault: one(lost), took: serviceTime, calls: 4},
		"group errs":                       {fault: all(lost), missing: pb.Reason_REASON_UPSTREAM_ERROR, took: serviceTime, calls: 5},
		"replica sheds":                    {fault: one(refuseWith(pb.LeafRefusalReason_LEAF_REFUSAL_REASON_SHED)), took: serviceTime, calls: 4},
		"group sheds, asked twice only":    {fault: all(refuseWith(pb.LeafRefusalReason_LEAF_REFUSAL_REASON_SHED)), missing: pb.Reason_REASON_OVERLOAD, took: serviceTime, calls: 4},
		"replica drains":                   {fault: one(refuseWith(pb.LeafRefusalReason_LEAF_REFUSAL_REASON_DRAINING)), took: serviceTime, calls: 4},
		"replica has another shard":        {fault: one(spoil(func(a *pb.LeafSearchResponse) { a.Shard++ })), took: serviceTime, calls: 4},
		"replica has another snapshot":     {fault: one(spoil(func(a *pb.LeafSearchResponse) { a.Snapshot++ })), took: serviceTime, calls: 4},
		"replica answers another request":  {fault: one(spoil(func(a *pb.LeafSearchResponse) { a.RequestId = "other" })), took: serviceTime, calls: 4},
		"replica ran another text":         {fault: one(spoil(func(a *pb.LeafSearchResponse) { a.QueryDigest++ })), took: serviceTime, calls: 4},
		"replica is of another service":    {fault: one(spoil(func(a *pb.LeafSearchResponse) { a.Service = "clips" })), took: serviceTime, calls: 4},
		"replica has hits of other shards": {fault: one(spoil(func(a *pb.LeafSearchResponse) { a.Hits[0].Shard++ })), took: serviceTime, calls: 4},
		"group answers wrongly":            {fault: all(spoil(func(a *pb.LeafSearchResponse) { a.Shard++ })), missing: pb.Reason_REASON_ANSWER_MISMATCH, took: serviceTime, calls: 5},
		"empty shard counts as covered":    {fault: all(spoil(func(a *pb.LeafSearchResponse) { a.Hits = nil })), took: serviceTime, calls: 3},
		"silent connection, asked at once": {fault: all(failWith(&upstream.CallError{Wrote: true, ConnectionSilent: true, Err: errLost})), missing: pb.Reason_REASON_UNREACHABLE, took: serviceTime, calls: 6},
		"connection lost, no budget left":  {fault: brokeOnce, proven: true, took: serviceTime, calls: 4},
		"straggler is hedged":              {fault: one(stall), took: 10*time.Millisecond + serviceTime, calls: 4},
		"lost group, known at once":        {fault: down, missing: pb.Reason_REASON_NO_UPSTREAM, took: serviceTime, calls: 2},
		"stalled group, coverage waits":    {fault: all(stall), kind: "claim", missing: pb.Reason_REASON_DEADLINE, took: answerBy, calls: 4},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				service, fleet := groups(3)
				r := newRig("az-a", service, fleet, anywhere)
				tt.fault(fleet)
				if tt.kind == "" {
					tt.kind = "dawn"
				}
				if tt.proven {
					r.guard.RecordAnswer(quarantine.SearchKey("teachers", "algebra", 1, 10))
					r.replicas.retries = 0
				}
				start := time.Now()
				a, err := r.ask("r1", tt.kind, "algebra", time.Second)
				is.NoErr(err)
				is.Equal(time.Since(start), tt.took)
				if tt.missing == pb.Reason_REASON_UNSPECIFIED {
					is.Equal(a.GetOutcome().GetKind(), pb.OutcomeKind_OUTCOME_KIND_ANSWERED_WHOLE)
				} else {
					is.Equal(a.GetOutcome().GetKind(), pb.OutcomeKind_OUTCOME_KIND_ANSWERED_PARTIAL)
					is.Equal(len(a.GetCoverage().GetMissing()), 1)
					is.Equal(a.GetCoverage().GetMissing()[0].GetReason(), tt.missing)
				}
				is.Equal(int(r.counter(t, "burdock_gather_leaf_calls_total")), tt.calls)
				r.engine.Wait()
			})
		})
	}
}

// A call that ended without an answer is made again as soon as a replica has a slot, not given up
// because none has one at that moment.
func TestRetryWaitsForASlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service, fleet := groups(1)
		r := newRig("az-a", service, fleet, anywhere)
		r.replicas.slots = 1
		one(failWith(&upstream.CallError{Wrote: true, ConnectionSilent: true, Err: errLost}))(fleet)
		for _, busy := range []string{"leaf-0-b", "leaf-0-c"} {
			call, ok := r.replicas.Pick([]string{busy})
			is.True(ok)
			time.AfterFunc(100*time.Millisecond, func() { call.Done(balance.ResultOK) })
		}
		a, err := r.ask("r1", "claim", "algebra", time.Second)
		is.NoErr(err)
		is.Equal(a.GetOutcome().GetKind(), pb.OutcomeKind_OUTCOME_KIND_ANSWERED_WHOLE)
	})
}

// one gives the fault to the replica of shard 0 that is asked first, all to its whole group.
func one(answer func(context.Context, *pb.LeafSearchRequest) (*pb.LeafSearchResponse, error)) func(*fakeFleet) {
	return func(f *fakeFleet) { f.set("leaf-0-a", func(l *fakeLeaf) { l.answer = answer }) }
}

func all(answer func(context.Context, *pb.LeafSearchRequest) (*pb.LeafSearchResponse, error)) func(*fakeFleet) {
	return func(f *fakeFleet) {
		for _, id := range []string{"leaf-0-a", "leaf-0-b", "leaf-0-c"} {
			f.set(id, func(l *fakeLeaf) { l.answer = answer })
		}
	}
}

func brokeOnce(f *fakeFleet) {
	one(failWith(&upstream.CallError{Wrote: true, ConnectionLost: true, Err: errLost}))(f)
}

func down(f *fakeFleet) {
	for _, id := range []string{"leaf-0-a", "leaf-0-b", "leaf-0-c"} {
		f.set(id, f.kill)
	}
}

func TestLatencyAnswersEarlyOnceTheUsualTimeIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service, fleet := groups(3)
		r := newRig("az-a", service, fleet, anywhere)
		for range usualNeeds {
			_, err := r.ask("r", "dawn", "algebra", time.Second)
			is.NoErr(err)
		}
		all(stall)(fleet)
		for range 3 * usualWindow { // stragglers don't push up the usual time
			start := time.Now()
			a, err := r.ask("r", "dawn", "algebra", time.Second)
			is.NoErr(err)
			is.Equal(time.Since(start), 3*serviceTime)
			is.Equal(a.GetCoverage().GetMissing()[0].GetReason(), pb.Reason_REASON_DEADLINE)
		}
	})
}

// TestRefusals checks that a refusal is not_run only where no byte went to a leaf.
func TestRefusals(t *testing.T) {
	tests := map[string]struct {
		fault  func(*rig)
		query  string
		limit  time.Duration
		kind   pb.OutcomeKind
		reason pb.Reason
		took   time.Duration
	}{
		"no leaf":         {fault: allDown, kind: pb.OutcomeKind_OUTCOME_KIND_NOT_RUN, reason: pb.Reason_REASON_NO_UPSTREAM},
		"long query":      {query: string(make([]byte, 101)), kind: pb.OutcomeKind_OUTCOME_KIND_NOT_RUN, reason: pb.Reason_REASON_TOO_LARGE},
		"not UTF-8":       {query: "\xff", kind: pb.OutcomeKind_OUTCOME_KIND_NOT_RUN, reason: pb.Reason_REASON_INVALID_REQUEST},
		"all at limit":    {fault: func(r *rig) { r.replicas.slots = 0 }, kind: pb.OutcomeKind_OUTCOME_KIND_NOT_RUN, reason: pb.Reason_REASON_OVERLOAD, took: answerBy},
		"queue is full":   {fault: func(r *rig) { r.replicas.slots, r.engine.settings.MaxWaiting = 0, 0 }, kind: pb.OutcomeKind_OUTCOME_KIND_NOT_RUN, reason: pb.Reason_REASON_OVERLOAD},
		"all leaves shed": {fault: allAnswer(refuseWith(pb.LeafRefusalReason_LEAF_REFUSAL_REASON_SHED)), kind: pb.OutcomeKind_OUTCOME_KIND_FAILED, reason: pb.Reason_REASON_OVERLOAD},
		"all leaves err":  {fault: allAnswer(failWith(&upstream.CallError{Wrote: true, Err: errLost})), kind: pb.OutcomeKind_OUTCOME_KIND_FAILED, reason: pb.Reason_REASON_UPSTREAM_ERROR},
		"none connects":   {fault: allAnswer(failWith(&upstream.CallError{Err: errRefused})), kind: pb.OutcomeKind_OUTCOME_KIND_NOT_RUN, reason: pb.Reason_REASON_UNREACHABLE},
		"all stall":       {fault: allAnswer(stall), kind: pb.OutcomeKind_OUTCOME_KIND_FAILED, reason: pb.Reason_REASON_DEADLINE, took: answerBy},
	}
	for name, tt := range tests {
		for mode, change := range modes {
			t.Run(name+", first run "+mode, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					service, fleet := groups(2)
					r := newRig("az-a", service, fleet, change)
					if tt.fault != nil {
						tt.fault(r)
					}
					start := time.Now()
					_, err := r.ask("r1", "claim", tt.query, time.Second)
					e, ok := outcome.As(err)
					is.True(ok)
					is.Equal(time.Since(start), tt.took)
					is.Equal(outcome.KindName(e.Kind), outcome.KindName(tt.kind))
					is.Equal(outcome.ReasonName(e.Reason), outcome.ReasonName(tt.reason))
				})
			})
		}
	}
}

var modes = map[string]func(*quarantine.Settings){"always": nil, "never": anywhere}

func allDown(r *rig) {
	for _, l := range r.fleet.leaves {
		r.fleet.kill(l)
	}
}

func allAnswer(answer func(context.Context, *pb.LeafSearchRequest) (*pb.LeafSearchResponse, error)) func(*rig) {
	return func(r *rig) {
		for _, l := range r.fleet.leaves {
			l.answer = answer
		}
	}
}

func TestSnapshotDroppedMidQueryRunsAgainWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service, fleet := groups(3)
		newer := &bundle.Snapshot{Version: 2, Shards: service.Snapshots[0].Shards[:2]} // repartitioned
		service.Snapshots = append([]*bundle.Snapshot{newer}, service.Snapshots...)
		r := newRig("az-a", service, fleet, nil)
		for _, l := range fleet.leaves {
			l.snapshots = []uint64{1}
		}
		for _, id := range []string{"leaf-0-a", "leaf-0-b", "leaf-0-c"} {
			fleet.set(id, func(l *fakeLeaf) {
				l.answer = func(ctx context.Context, req *pb.LeafSearchRequest) (*pb.LeafSearchResponse, error) {
					if req.GetSnapshot() == 1 {
						for _, o := range fleet.leaves {
							fleet.mu.Lock()
							o.snapshots = []uint64{2}
							fleet.mu.Unlock()
						}
						return refuseWith(pb.LeafRefusalReason_LEAF_REFUSAL_REASON_SNAPSHOT_GONE)(ctx, req)
					}
					return answerAfter(serviceTime)(ctx, req)
				}
			})
		}
		a, err := r.ask("r1", "claim", "algebra", time.Second)
		is.NoErr(err)
		is.Equal(a.GetSnapshot(), uint64(2))
		is.Equal(a.GetOutcome().GetKind(), pb.OutcomeKind_OUTCOME_KIND_ANSWERED_WHOLE)
		is.Equal(a.GetCoverage().GetShardsTotal(), uint32(2))
		for _, h := range a.GetHits() {
			is.Equal(h.GetText(), hitText("r1", 2, "algebra")) // no hit of the first run
		}
		is.Equal(int(r.counter(t, "burdock_gather_reruns_total")), 1)
	})
}

func TestLateAnswerIsCountedAndDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service, fleet := groups(2)
		r := newRig("az-a", service, fleet, anywhere)
		fleet.set("leaf-0-a", func(l *fakeLeaf) { // it minds no cancellation
			l.answer = func(_ context.Context, req *pb.LeafSearchRequest) (*pb.LeafSearchResponse, error) {
				time.Sleep(5 * time.Second)
				return goodAnswer(req), nil
			}
		})
		r.replicas.hedges = 0
		a, err := r.ask("r1", "claim", "algebra", time.Second)
		is.NoErr(err)
		is.Equal(len(a.GetHits()), 1)
		r.engine.Wait()
		is.Equal(int(r.counter(t, "burdock_gather_late_answers_total")), 1)
		is.Equal(len(a.GetHits()), 1)
	})
}

func TestCallerThatGoesAwayCancelsItsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service, fleet := groups(2)
		r := newRig("az-a", service, fleet, anywhere)
		allAnswer(stall)(r)
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(serviceTime, cancel)
		_, err := r.engine.Search(ctx, &pb.Identity{RequestId: "r1"}, &pb.SearchRequest{Service: "teachers", Kind: "claim", Query: "x"})
		e, _ := outcome.As(err)
		is.Equal(e.Reason, pb.Reason_REASON_CANCELLED)
		r.engine.Wait()
		cancelled := 0
		for _, l := range fleet.leaves {
			cancelled += l.cancelled
		}
		is.Equal(cancelled, 2)
	})
}

func TestWaitingSearchTakesTheSlotThatIsFreed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service, fleet := groups(1)
		r := newRig("az-a", service, fleet, anywhere)
		r.replicas.slots = 1
		start := time.Now()
		const searches = 9 // three for each replica
		done := make(chan time.Duration, searches)
		for range searches {
			go func() {
				_, err := r.ask("r", "claim", "algebra", time.Second)
				is.NoErr(err)
				done <- time.Since(start)
			}()
		}
		for i := range searches {
			is.Equal(<-done, time.Duration(1+i/3)*serviceTime)
		}
	})
}

// TestFirstRunGoesToTheLeafThatTheBalancerPicks shows that a rank alone sends nothing to a slow leaf,
// and that a slow leaf asked first holds the search up for its group's hedge delay only.
func TestFirstRunGoesToTheLeafThatTheBalancerPicks(t *testing.T) {
	for name, tt := range map[string]struct {
		slow  func(leaf string) bool
		known bool
		took  time.Duration
	}{
		"known to be slow":     {slow: func(l string) bool { return l[len(l)-1] == 'a' }, known: true, took: 2 * serviceTime},
		"not known to be slow": {slow: func(l string) bool { return l[len(l)-1] == 'a' }, took: 2 * (10*time.Millisecond + serviceTime)}, // each of the two steps waits for a hedge
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				service, fleet := groups(3)
				r := newRig("az-a", service, fleet, nil)
				r.replicas.slow = make(map[string]bool)
				for l, leaf := range fleet.leaves {
					if tt.slow(l) {
						leaf.answer = stall
						r.replicas.slow[l] = tt.known
					}
				}
				start := time.Now()
				a, err := r.ask("r1", "dawn", "algebra", time.Second)
				is.NoErr(err)
				is.Equal(a.GetOutcome().GetKind(), pb.OutcomeKind_OUTCOME_KIND_ANSWERED_WHOLE)
				is.Equal(time.Since(start), tt.took)
			})
		})
	}
}
