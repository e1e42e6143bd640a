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

// answerBy is the latest end of a search with a timeout of 1 s.
const answerBy = time.Second - time.Second/marginDivisor

func TestWholeAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service, fleet := groups(4)
		r := newRig("az-a", service, fleet, nil)
		start := time.Now()
		a, err := r.search("r1", "dawn", "algebra", time.Second)
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
		_, err = r.search("r2", "dawn", "algebra", time.Second)
		is.NoErr(err)
		is.Equal(time.Since(start), serviceTime) // proven by the first search
	})
}

// TestFaults checks the response, the time and the number of calls for each fault of one replica or group.
func TestFaults(t *testing.T) {
	lost := failWith(&upstream.CallError{Wrote: true, Err: errLost})
	tests := map[string]struct {
		fault func(*fakeFleet)
		kind  string
		// missing is the reason of shard 0, UNSPECIFIED if the answer is whole.
		missing pb.Reason
		elapsed time.Duration
		calls   int
		// proven marks the text as proven, because only such a text is retried after a lost connection. It also leaves no
		// retry budget.
		proven bool
	}{
		"replica errs":                         {fault: firstReplica(lost), elapsed: serviceTime, calls: 4},
		"group errs":                           {fault: wholeGroup(lost), missing: pb.Reason_REASON_UPSTREAM_ERROR, elapsed: serviceTime, calls: 5},
		"replica sheds":                        {fault: firstReplica(refuseWith(pb.LeafRefusalReason_LEAF_REFUSAL_REASON_SHED)), elapsed: serviceTime, calls: 4},
		"group sheds, called twice only":       {fault: wholeGroup(refuseWith(pb.LeafRefusalReason_LEAF_REFUSAL_REASON_SHED)), missing: pb.Reason_REASON_OVERLOAD, elapsed: serviceTime, calls: 4},
		"call comes too late at a replica":     {fault: firstReplica(refuseWith(pb.LeafRefusalReason_LEAF_REFUSAL_REASON_TOO_LATE)), elapsed: serviceTime, calls: 4},
		"replica drains":                       {fault: firstReplica(refuseWith(pb.LeafRefusalReason_LEAF_REFUSAL_REASON_DRAINING)), elapsed: serviceTime, calls: 4},
		"replica has another shard":            {fault: firstReplica(corrupt(func(a *pb.LeafSearchResponse) { a.Shard++ })), elapsed: serviceTime, calls: 4},
		"replica has another snapshot":         {fault: firstReplica(corrupt(func(a *pb.LeafSearchResponse) { a.Snapshot++ })), elapsed: serviceTime, calls: 4},
		"replica answers another request":      {fault: firstReplica(corrupt(func(a *pb.LeafSearchResponse) { a.RequestId = "other" })), elapsed: serviceTime, calls: 4},
		"replica ran another text":             {fault: firstReplica(corrupt(func(a *pb.LeafSearchResponse) { a.QueryDigest++ })), elapsed: serviceTime, calls: 4},
		"replica is of another service":        {fault: firstReplica(corrupt(func(a *pb.LeafSearchResponse) { a.Service = "clips" })), elapsed: serviceTime, calls: 4},
		"replica has hits of other shards":     {fault: firstReplica(corrupt(func(a *pb.LeafSearchResponse) { a.Hits[0].Shard++ })), elapsed: serviceTime, calls: 4},
		"group answers wrongly":                {fault: wholeGroup(corrupt(func(a *pb.LeafSearchResponse) { a.Shard++ })), missing: pb.Reason_REASON_ANSWER_MISMATCH, elapsed: serviceTime, calls: 5},
		"empty shard counts as covered":        {fault: wholeGroup(corrupt(func(a *pb.LeafSearchResponse) { a.Hits = nil })), elapsed: serviceTime, calls: 3},
		"silent connection, retried at once":   {fault: wholeGroup(failWith(&upstream.CallError{Wrote: true, ConnectionSilent: true, Err: errLost})), missing: pb.Reason_REASON_UNREACHABLE, elapsed: serviceTime, calls: 6},
		"connection lost, no budget remaining": {fault: firstConnectionLost, proven: true, elapsed: serviceTime, calls: 4},
		"straggler is hedged":                  {fault: firstReplica(stall), elapsed: 10*time.Millisecond + serviceTime, calls: 4},
		"lost group, known at once":            {fault: wholeGroupDown, missing: pb.Reason_REASON_NO_UPSTREAM, elapsed: serviceTime, calls: 2},
		"stalled group, coverage waits":        {fault: wholeGroup(stall), kind: "claim", missing: pb.Reason_REASON_DEADLINE, elapsed: answerBy, calls: 4},
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
				a, err := r.search("r1", tt.kind, "algebra", time.Second)
				is.NoErr(err)
				is.Equal(time.Since(start), tt.elapsed)
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

// TestRetryWaitsForASlot guards against a shard given up because no replica has a free slot at the moment of a retry.
// The retry is sent as soon as a replica has one.
func TestRetryWaitsForASlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service, fleet := groups(1)
		r := newRig("az-a", service, fleet, anywhere)
		r.replicas.slots = 1
		firstReplica(failWith(&upstream.CallError{Wrote: true, ConnectionSilent: true, Err: errLost}))(fleet)
		for _, busy := range []string{"leaf-0-b", "leaf-0-c"} {
			call, ok := r.replicas.Pick([]string{busy})
			is.True(ok)
			time.AfterFunc(100*time.Millisecond, func() { call.Done(balance.ResultOK) })
		}
		a, err := r.search("r1", "claim", "algebra", time.Second)
		is.NoErr(err)
		is.Equal(a.GetOutcome().GetKind(), pb.OutcomeKind_OUTCOME_KIND_ANSWERED_WHOLE)
	})
}

// firstReplica gives the fault to the replica of shard 0 that is called first.
func firstReplica(answer func(context.Context, *pb.LeafSearchRequest) (*pb.LeafSearchResponse, error)) func(*fakeFleet) {
	return func(f *fakeFleet) { f.set("leaf-0-a", func(l *fakeLeaf) { l.answer = answer }) }
}

// wholeGroup gives the fault to all replicas of shard 0.
func wholeGroup(answer func(context.Context, *pb.LeafSearchRequest) (*pb.LeafSearchResponse, error)) func(*fakeFleet) {
	return func(f *fakeFleet) {
		for _, id := range []string{"leaf-0-a", "leaf-0-b", "leaf-0-c"} {
			f.set(id, func(l *fakeLeaf) { l.answer = answer })
		}
	}
}

func firstConnectionLost(f *fakeFleet) {
	firstReplica(failWith(&upstream.CallError{Wrote: true, ConnectionLost: true, Err: errLost}))(f)
}

func wholeGroupDown(f *fakeFleet) {
	for _, id := range []string{"leaf-0-a", "leaf-0-b", "leaf-0-c"} {
		f.set(id, f.kill)
	}
}

func TestLatencyAnswersEarlyOnceTheTypicalTimeIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service, fleet := groups(3)
		r := newRig("az-a", service, fleet, anywhere)
		for range minTypicalSamples {
			_, err := r.search("r", "dawn", "algebra", time.Second)
			is.NoErr(err)
		}
		wholeGroup(stall)(fleet)
		for range 3 * typicalWindow { // stragglers do not raise the typical time
			start := time.Now()
			a, err := r.search("r", "dawn", "algebra", time.Second)
			is.NoErr(err)
			is.Equal(time.Since(start), 3*serviceTime)
			is.Equal(a.GetCoverage().GetMissing()[0].GetReason(), pb.Reason_REASON_DEADLINE)
		}
	})
}

// TestRefusals checks that the kind of a refusal is not_run only if no byte went to a leaf.
func TestRefusals(t *testing.T) {
	tests := map[string]struct {
		fault   func(*rig)
		query   string
		limit   time.Duration
		kind    pb.OutcomeKind
		reason  pb.Reason
		elapsed time.Duration
	}{
		"no leaf":         {fault: allDown, kind: pb.OutcomeKind_OUTCOME_KIND_NOT_RUN, reason: pb.Reason_REASON_NO_UPSTREAM},
		"long query":      {query: string(make([]byte, 101)), kind: pb.OutcomeKind_OUTCOME_KIND_NOT_RUN, reason: pb.Reason_REASON_TOO_LARGE},
		"not UTF-8":       {query: "\xff", kind: pb.OutcomeKind_OUTCOME_KIND_NOT_RUN, reason: pb.Reason_REASON_INVALID_REQUEST},
		"all at limit":    {fault: func(r *rig) { r.replicas.slots = 0 }, kind: pb.OutcomeKind_OUTCOME_KIND_NOT_RUN, reason: pb.Reason_REASON_OVERLOAD, elapsed: answerBy},
		"queue is full":   {fault: func(r *rig) { r.replicas.slots, r.engine.settings.MaxWaiting = 0, 0 }, kind: pb.OutcomeKind_OUTCOME_KIND_NOT_RUN, reason: pb.Reason_REASON_OVERLOAD},
		"all leaves shed": {fault: allAnswer(refuseWith(pb.LeafRefusalReason_LEAF_REFUSAL_REASON_SHED)), kind: pb.OutcomeKind_OUTCOME_KIND_FAILED, reason: pb.Reason_REASON_OVERLOAD},
		"all leaves err":  {fault: allAnswer(failWith(&upstream.CallError{Wrote: true, Err: errLost})), kind: pb.OutcomeKind_OUTCOME_KIND_FAILED, reason: pb.Reason_REASON_UPSTREAM_ERROR},
		"none connects":   {fault: allAnswer(failWith(&upstream.CallError{Err: errRefused})), kind: pb.OutcomeKind_OUTCOME_KIND_NOT_RUN, reason: pb.Reason_REASON_UNREACHABLE},
		"all stall":       {fault: allAnswer(stall), kind: pb.OutcomeKind_OUTCOME_KIND_FAILED, reason: pb.Reason_REASON_DEADLINE, elapsed: answerBy},
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
					_, err := r.search("r1", "claim", tt.query, time.Second)
					e, ok := outcome.As(err)
					is.True(ok)
					is.Equal(time.Since(start), tt.elapsed)
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
		a, err := r.search("r1", "claim", "algebra", time.Second)
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
		fleet.set("leaf-0-a", func(l *fakeLeaf) { // it ignores cancellation
			l.answer = func(_ context.Context, req *pb.LeafSearchRequest) (*pb.LeafSearchResponse, error) {
				time.Sleep(5 * time.Second)
				return goodAnswer(req), nil
			}
		})
		r.replicas.hedges = 0
		a, err := r.search("r1", "claim", "algebra", time.Second)
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
				_, err := r.search("r", "claim", "algebra", time.Second)
				is.NoErr(err)
				done <- time.Since(start)
			}()
		}
		for i := range searches {
			is.Equal(<-done, time.Duration(1+i/3)*serviceTime)
		}
	})
}

// TestFirstRunGoesToTheLeafThatTheBalancerPicks guards against a first run sent to a slow leaf for its rank alone, and
// against one held up by a slow leaf for longer than the hedge delay of its group.
func TestFirstRunGoesToTheLeafThatTheBalancerPicks(t *testing.T) {
	for name, tt := range map[string]struct {
		slow    func(leaf string) bool
		known   bool
		elapsed time.Duration
	}{
		"known to be slow":     {slow: func(l string) bool { return l[len(l)-1] == 'a' }, known: true, elapsed: 2 * serviceTime},
		"not known to be slow": {slow: func(l string) bool { return l[len(l)-1] == 'a' }, elapsed: 2 * (10*time.Millisecond + serviceTime)}, // each of the two steps waits for a hedge
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
				a, err := r.search("r1", "dawn", "algebra", time.Second)
				is.NoErr(err)
				is.Equal(a.GetOutcome().GetKind(), pb.OutcomeKind_OUTCOME_KIND_ANSWERED_WHOLE)
				is.Equal(time.Since(start), tt.elapsed)
			})
		})
	}
}
