package leaf

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/settings"
)

// newTestLeaf returns a leaf without listeners, with one slot, a queue of one and a service time of exactly 10 ms.
func newTestLeaf(t *testing.T, change func(s *Settings)) *Leaf {
	t.Helper()
	queue := 1
	s := Settings{
		ID: "teachers-0-a", Service: "teachers", Listen: "127.0.0.1:0", Control: "127.0.0.1:0",
		Slots: 1, Queue: &queue, ServiceTime: settings.Duration(10 * time.Millisecond), Shards: []uint32{0, 7},
	}
	if change != nil {
		change(&s)
	}
	s.fillDefaults()
	l, err := newLeaf(s, zap.NewNop(), func(*Leaf) {})
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// setFaults replaces the faults of a leaf without listeners.
func setFaults(l *Leaf, f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

func searchRequest() *pb.LeafSearchRequest {
	return &pb.LeafSearchRequest{RequestId: "r1", Service: "teachers", Shard: 7, Snapshot: 1, Query: "maths", TopK: 3}
}

func orderRequest() *pb.LeafExecuteRequest {
	return &pb.LeafExecuteRequest{RequestId: "r1", Service: "teachers", Kind: "book", Ticket: "t1", Key: "k", Payload: "p"}
}

// refusalOf returns the refusal in the detail of err.
func refusalOf(err error) *pb.LeafRefusal {
	var ce *connect.Error
	if !errors.As(err, &ce) {
		return nil
	}
	for _, d := range ce.Details() {
		if v, err := d.Value(); err == nil {
			if r, ok := v.(*pb.LeafRefusal); ok {
				return r
			}
		}
	}
	return nil
}

// searchStates returns the states of the logged searches.
func searchStates(l *Leaf) []SearchState {
	var all []SearchState
	for _, s := range l.journal.snapshot().Searches {
		all = append(all, s.State)
	}
	return all
}

func TestRefusedCallsNeverStart(t *testing.T) {
	cases := []struct {
		name   string
		fault  Faults
		search func(*pb.LeafSearchRequest)
		reason pb.LeafRefusalReason
		code   connect.Code
	}{
		{"draining", Faults{Drain: true}, nil, pb.LeafRefusalReason_LEAF_REFUSAL_REASON_DRAINING, connect.CodeUnavailable},
		{"shedding", Faults{Shed: true}, nil, pb.LeafRefusalReason_LEAF_REFUSAL_REASON_SHED, connect.CodeResourceExhausted},
		{"snapshot refused", Faults{RefuseSnapshot: true}, nil, pb.LeafRefusalReason_LEAF_REFUSAL_REASON_SNAPSHOT_GONE, connect.CodeFailedPrecondition},
		{"snapshot not held", Faults{}, func(r *pb.LeafSearchRequest) { r.Snapshot = 2 }, pb.LeafRefusalReason_LEAF_REFUSAL_REASON_SNAPSHOT_GONE, connect.CodeFailedPrecondition},
		{"shard not held", Faults{}, func(r *pb.LeafSearchRequest) { r.Shard = 1 }, pb.LeafRefusalReason_LEAF_REFUSAL_REASON_WRONG_SHARD, connect.CodeInvalidArgument},
		{"too late", Faults{}, func(r *pb.LeafSearchRequest) { r.ArriveBy = durationpb.New(-time.Nanosecond) }, pb.LeafRefusalReason_LEAF_REFUSAL_REASON_TOO_LATE, connect.CodeFailedPrecondition},
		{"another service", Faults{}, func(r *pb.LeafSearchRequest) { r.Service = "clips" }, pb.LeafRefusalReason_LEAF_REFUSAL_REASON_WRONG_SHARD, connect.CodeInvalidArgument},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := newTestLeaf(t, nil)
			setFaults(l, c.fault)
			req := searchRequest()
			if c.search != nil {
				c.search(req)
			}
			_, err := l.Search(t.Context(), req)
			is.Equal(refusalOf(err).GetReason(), c.reason)
			is.Equal(refusalOf(err).GetIncarnation(), l.incarnation())
			is.Equal(connect.CodeOf(err), c.code)
			if c.fault.Drain || c.fault.Shed {
				_, err = l.Execute(t.Context(), orderRequest())
				is.Equal(refusalOf(err).GetReason(), c.reason)
			}
			log := l.journal.snapshot()
			is.Equal(len(log.Searches)+len(log.Executions), 0)
			is.Equal(log.Counts.Searches+log.Counts.Executions, uint64(0))
		})
	}
}

func TestSlotsAndQueueAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newTestLeaf(t, nil)
		start := time.Now()
		ended := make(chan time.Duration, 2)
		for range 2 {
			go func() {
				_, err := l.Search(t.Context(), searchRequest())
				is.NoErr(err)
				ended <- time.Since(start)
			}()
			synctest.Wait()
		}
		_, err := l.Execute(t.Context(), orderRequest())
		is.Equal(refusalOf(err).GetReason(), pb.LeafRefusalReason_LEAF_REFUSAL_REASON_SHED)
		is.Equal(<-ended, 10*time.Millisecond)
		is.Equal(<-ended, 20*time.Millisecond) // the second waited for the slot
		inFlight, queued := l.slots.maxCounts()
		is.Equal([]int{inFlight, queued}, []int{2, 1})
		running, waiting := l.slots.load()
		is.Equal(running+waiting, 0)
	})
}

func TestDeadlinesAreHonoured(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newTestLeaf(t, nil)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
		defer cancel()
		working := make(chan error)
		go func() {
			_, err := l.Search(ctx, searchRequest())
			working <- err
		}()
		synctest.Wait()
		queued := make(chan error, 1)
		go func() {
			_, err := l.Execute(ctx, orderRequest())
			queued <- err
		}()
		err := <-working
		is.Equal(connect.CodeOf(err), connect.CodeDeadlineExceeded)
		is.Equal(refusalOf(err), nil) // it had started
		is.Equal(refusalOf(<-queued).GetReason(), pb.LeafRefusalReason_LEAF_REFUSAL_REASON_DEADLINE)
		is.Equal(searchStates(l), []SearchState{SearchCancelled})
		is.Equal(len(l.journal.snapshot().Executions), 0)
		running, waiting := l.slots.load()
		is.Equal(running+waiting, 0)
	})
}

func TestStartedOrderStaysInLog(t *testing.T) {
	cases := []struct {
		name     string
		fault    Faults
		cancelAt time.Duration
		executed int
		code     connect.Code
	}{
		{"cancelled in its work", Faults{}, 5 * time.Millisecond, 1, connect.CodeCanceled},
		{"cancelled while held", Faults{HoldExecute: settings.Duration(time.Second)}, 500 * time.Millisecond, 1, connect.CodeCanceled},
		{"error after its effect", Faults{ErrorAfterExecute: true}, time.Hour, 1, connect.CodeInternal},
		{"error before its effect", Faults{ErrorShare: 1}, time.Hour, 0, connect.CodeInternal},
		{"stalled", Faults{Stall: true}, time.Second, 0, connect.CodeCanceled},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				l := newTestLeaf(t, nil)
				setFaults(l, c.fault)
				ctx, cancel := context.WithCancel(t.Context())
				defer time.AfterFunc(c.cancelAt, cancel).Stop()
				_, err := l.Execute(ctx, orderRequest())
				is.Equal(connect.CodeOf(err), c.code)
				is.Equal(refusalOf(err), nil)
				is.Equal(len(l.journal.snapshot().Executions), c.executed)
			})
		})
	}
}

func TestEachExecutionIsLoggedAndNoneDeduplicated(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "log")
	l := newTestLeaf(t, func(s *Settings) { s.LogFile = file })
	for range 2 {
		res, err := l.Execute(t.Context(), orderRequest())
		is.NoErr(err)
		is.Equal(res.GetResult(), "done:t1")
	}
	log := l.journal.snapshot()
	is.Equal(len(log.Executions), 2)
	is.Equal(log.Executions[0].Ticket+log.Executions[0].RequestID+log.Executions[0].Key+log.Executions[0].Payload, "t1r1kp")
	l.journal.close()
	text, err := os.ReadFile(file)
	is.NoErr(err)
	is.Equal(strings.Count(string(text), `{"execution":{"ticket":"t1",`), 2)
}

// TestLogFileRecordsDeliveredAnswers checks that the log file records the answer as sent, not the request,
// so that a wrong or mixed-up answer shows there.
func TestLogFileRecordsDeliveredAnswers(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "log")
	l := newTestLeaf(t, func(s *Settings) { s.LogFile = file })
	l.SetShards(2, []uint32{4})
	ask := func(id string, shard uint32, snapshot uint64, f Faults) {
		setFaults(l, f)
		req := searchRequest()
		req.RequestId, req.Shard, req.Snapshot = id, shard, snapshot
		_, _ = l.Search(t.Context(), req)
	}
	l.SetSnapshots([]uint64{1, 2})
	ask("true", 7, 1, Faults{})
	ask("wrong", 7, 1, Faults{WrongShard: true})
	ask("mixed", 7, 1, Faults{MixedShare: 1})
	ask("moved", 4, 2, Faults{})
	ask("refused", 7, 2, Faults{})
	l.journal.close()
	text, err := os.ReadFile(file)
	is.NoErr(err)
	var delivered []string
	arrivals := 0
	for line := range strings.Lines(string(text)) {
		var f FileLine
		is.NoErr(json.Unmarshal([]byte(line), &f))
		if f.Arrival != nil {
			arrivals++
		}
		if d := f.Delivery; d != nil {
			delivered = append(delivered, fmt.Sprintf("%s %d %d %d", d.RequestID, d.Shard, d.Snapshot, d.Hits))
		}
	}
	is.Equal(arrivals, 5)
	is.Equal(delivered, []string{"true 7 1 3", "wrong 8 1 3", "wrong 8 1 3", "moved 4 2 3"})
}

func TestAnswersIdentifyShardSnapshotAndQuery(t *testing.T) {
	cases := []struct {
		name            string
		fault           Faults
		shard, snapshot uint64
		hits            int
	}{
		{"true", Faults{}, 7, 1, 3},
		{"for another shard", Faults{WrongShard: true}, 8, 1, 3},
		{"of another snapshot", Faults{WrongSnapshot: true}, 7, 2, 3},
		{"empty", Faults{Empty: true}, 7, 1, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := newTestLeaf(t, func(s *Settings) { s.HitBytes = 500 })
			setFaults(l, c.fault)
			res, err := l.Search(t.Context(), searchRequest())
			is.NoErr(err)
			is.Equal(uint64(res.GetShard()), c.shard)
			is.Equal(res.GetSnapshot(), c.snapshot)
			is.Equal(res.GetQueryDigest(), QueryDigest("maths"))
			is.Equal(len(res.GetHits()), c.hits)
			for _, h := range res.GetHits() {
				is.Equal(len(h.GetText()), 500)
			}
			is.Equal(searchStates(l), []SearchState{SearchDelivered})
		})
	}
}

func TestStalledSearchIsLoggedAsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newTestLeaf(t, nil)
		setFaults(l, Faults{Stall: true})
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		_, err := l.Search(ctx, searchRequest())
		is.Equal(connect.CodeOf(err), connect.CodeDeadlineExceeded)
		is.Equal(searchStates(l), []SearchState{SearchCancelled})
	})
}

func TestHitsAreTheSameForEachReplica(t *testing.T) {
	is := is.New(t)
	hits := Hits(3, 2, "math", 20, 1000)
	is.Equal(len(hits), 20)
	is.Equal(hits, Hits(3, 2, "math", 20, 1000))
	is.Equal(hits[:5], Hits(3, 2, "math", 5, 1000)) // a shorter list is a prefix
	seen := make(map[string]bool)
	for i, h := range hits {
		is.True(i == 0 || h.GetScore() < hits[i-1].GetScore())
		is.True(strings.Contains(h.GetText(), "query debdaf136a99b867"))
		is.True(!seen[h.GetDocument()])
		seen[h.GetDocument()] = true
	}
	is.Equal(len(Hits(3, 2, "math", 20, 4)), 4) // at most one hit per document
	is.True(Hits(3, 2, "other", 1, 1000)[0].GetScore() != hits[0].GetScore())
	is.True(Hits(3, 3, "math", 1, 1000)[0].GetScore() != hits[0].GetScore())
}

func TestServiceTime(t *testing.T) {
	base := Settings{ServiceTime: settings.Duration(10 * time.Millisecond), ColdStart: settings.Duration(2 * time.Second)}
	cases := []struct {
		name  string
		fault Faults
		age   time.Duration
		want  time.Duration
	}{
		{"warm", Faults{}, 2 * time.Second, 10 * time.Millisecond},
		{"at the start", Faults{}, 0, 50 * time.Millisecond},
		{"half warm", Faults{}, time.Second, 30 * time.Millisecond},
		{"straggler", Faults{SlowFactor: 20}, time.Hour, 200 * time.Millisecond},
		{"straggler in each call", Faults{SlowFactor: 20, SlowShare: 1}, time.Hour, 200 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(serviceTime(&base, &c.fault, c.age, newRandom(1)), c.want)
		})
	}
}

func TestServiceTimeSpreadAndShareOfStragglers(t *testing.T) {
	is := is.New(t)
	s := Settings{ServiceTime: settings.Duration(10 * time.Millisecond), ServiceSigma: 0.3}
	r := newRandom(1)
	above, slow := 0, 0
	for range 10_000 {
		if serviceTime(&s, &Faults{}, 0, r) > 10*time.Millisecond {
			above++
		}
		if serviceTime(&s, &Faults{SlowFactor: 1000, SlowShare: 0.1}, 0, r) > time.Second {
			slow++
		}
	}
	is.True(above > 4800 && above < 5200) // service_time is the median
	is.True(slow > 900 && slow < 1100)
}

func TestLoadReportLagsAndCanBeOverridden(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newTestLeaf(t, nil)
		inFlight := func() uint32 {
			res, err := l.Status(t.Context(), &pb.LeafStatusRequest{})
			is.NoErr(err)
			return res.GetLoad().GetInFlight()
		}
		is.Equal(inFlight(), uint32(0))
		is.NoErr(l.slots.acquire(t.Context()))
		time.Sleep(time.Second)
		is.Equal(inFlight(), uint32(0)) // sampled now, reported one lag later
		l.slots.release()
		time.Sleep(999 * time.Millisecond)
		is.Equal(inFlight(), uint32(0))
		time.Sleep(time.Millisecond)
		is.Equal(inFlight(), uint32(1))
		setFaults(l, Faults{Report: &Report{Utilisation: 0.1, InFlight: 42}})
		is.Equal(inFlight(), uint32(42))
	})
}
