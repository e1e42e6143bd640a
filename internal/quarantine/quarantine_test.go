package quarantine

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/feed"
	"github.com/burdockplank/burdockplank/internal/outcome"
	"github.com/burdockplank/burdockplank/internal/upstream"
)

// testbed is a registry whose clock and leaf states the test sets. reported holds the crashes that the
// registry reported.
type testbed struct {
	*Registry
	now      time.Time
	leaves   map[string]upstream.State
	reported []*pb.Crash
}

func (b *testbed) ReportDeparture(*pb.Departure) {}
func (b *testbed) SetState(pb.ProcessState)      {}
func (b *testbed) ReportCrash(c *pb.Crash)       { b.reported = append(b.reported, c) }

// newTestbed returns a testbed with the connected leaves a, b and c of incarnation 1.
func newTestbed(change func(*Settings)) *testbed {
	b := &testbed{now: time.Unix(1000, 0), leaves: make(map[string]upstream.State)}
	s := DefaultSettings()
	if change != nil {
		change(&s)
	}
	states := func(l string) (upstream.State, bool) { st, ok := b.leaves[l]; return st, ok }
	b.Registry = New(s, b, states, func() time.Time { return b.now }, NewMetrics(prometheus.NewRegistry()))
	for _, l := range []string{"a", "b", "c"} {
		b.leaves[l] = upstream.State{Leaf: l, Incarnation: 1, Connected: true}
		b.Withheld(l, 0)
	}
	return b
}

func (b *testbed) advance(d time.Duration) { b.now = b.now.Add(d) }

// crash makes a leaf refuse connections, as the pool observes it soon after a crash.
func (b *testbed) crash(leaf string) {
	b.leaves[leaf] = upstream.State{Leaf: leaf, Incarnation: 1, Leaving: true}
}

func (b *testbed) receiveCrash(digest uint64, leaf string, incarnation uint64) {
	c := &pb.Crash{RequestDigest: digest, Leaf: leaf, Incarnation: incarnation}
	b.ApplyView(&feed.View{Crashes: []*pb.Crash{c}, Received: b.now})
}

// receiveAnsweredCrash applies a crash whose request another VM reports as answered.
func (b *testbed) receiveAnsweredCrash(digest uint64, leaf string, incarnation uint64) {
	c := &pb.Crash{RequestDigest: digest, Leaf: leaf, Incarnation: incarnation, Answered: true}
	b.ApplyView(&feed.View{Crashes: []*pb.Crash{c}, Received: b.now})
}

func (b *testbed) status(k Key) Status { s, _ := b.Status(k); return s }

var testKey = SearchKey("teachers", "bad", 1, 10)

func TestStatusByEvidence(t *testing.T) {
	is := is.New(t)
	b := newTestbed(nil)
	is.Equal(b.status(testKey), FirstRun)
	b.crash("a")
	b.RecordUnprovenLoss(testKey.Digest, "a", 1, true)
	is.Equal(b.status(testKey), Suspect)
	b.receiveCrash(testKey.Digest, "a", 1) // the same crash, observed by another VM
	is.Equal(b.status(testKey), Suspect)
	b.advance(time.Second)
	b.RecordAnswer(testKey) // its exclusive run was answered
	is.Equal(b.status(testKey), Proven)
	b.advance(time.Second)
	b.receiveCrash(testKey.Digest, "a", 2)
	is.Equal(b.status(testKey), Suspect) // later evidence overrides the answer, but an answered request still runs alone
	b.receiveCrash(testKey.Digest, "b", 1)
	is.Equal(b.status(testKey), Suspect)
	b.receiveCrash(testKey.Digest, "c", 1)
	is.Equal(b.status(testKey), Doubted) // three crashes since its answer
	b.advance(DefaultSettings().Hold.D())
	is.Equal(b.status(testKey), Quarantined)
	is.Equal(b.status(SearchKey("teachers", "bad", 2, 50)), Quarantined)
	is.Equal(b.status(SearchKey("teachers", "good", 1, 10)), FirstRun)
}

// TestUnansweredRequestIsQuarantinedAtTwoCrashes: a request that no leaf has answered is refused at the
// second crash for any snapshot and number of hits, and at the third even if another request was in
// flight at all of them.
func TestUnansweredRequestIsQuarantinedAtTwoCrashes(t *testing.T) {
	is := is.New(t)
	b := newTestbed(nil)
	b.receiveCrash(testKey.Digest, "a", 1)
	is.Equal(b.status(testKey), Suspect)
	b.receiveCrash(testKey.Digest, "a", 2)
	is.Equal(b.status(testKey), Doubted)
	b.advance(doubtPeriod)
	is.Equal(b.status(testKey), Quarantined)
	is.Equal(b.status(SearchKey("teachers", "bad", 2, 50)), Quarantined)
	b.receiveCrash(99, "a", 1)
	b.receiveCrash(99, "a", 2)
	is.Equal(b.status(testKey), Suspect)
	b.receiveCrash(99, "b", 1)
	b.receiveCrash(testKey.Digest, "b", 1)
	is.Equal(b.status(testKey), Quarantined)
}

// TestAnsweredIsClearedByTheWordOfTheCause guards against refusals of innocent requests: a request that a
// leaf has answered is refused for three crashes only while nothing explains them, however late the
// explanation arrives.
func TestAnsweredIsClearedByTheWordOfTheCause(t *testing.T) {
	is := is.New(t)
	hold := DefaultSettings().Hold.D()
	b := newTestbed(nil)
	b.RecordAnswer(testKey)
	for _, leaf := range []string{"a", "b", "c"} {
		b.advance(time.Second)
		b.receiveCrash(testKey.Digest, leaf, 1)
	}
	b.advance(hold)
	is.Equal(b.status(testKey), Quarantined)
	b.advance(time.Minute)
	b.receiveCrash(99, "b", 1) // one crash of the request that caused them is enough
	is.Equal(b.status(testKey), Suspect)
	other := SearchKey("teachers", "other", 1, 10)
	b.RecordAnswer(other)
	b.advance(time.Second)
	for _, leaf := range []string{"a", "b", "c"} {
		b.receiveCrash(other.Digest, leaf, 7)
		b.receiveCrash(testKey.Digest, leaf, 7)
	}
	b.advance(hold)
	is.Equal(b.status(other), Quarantined) // a request that was answered too explains nothing
}

// TestAnswerRefutesEarlierCrashes: crashes before the last answer to a request do not count against it,
// also if evidence of them arrives later.
func TestAnswerRefutesEarlierCrashes(t *testing.T) {
	is := is.New(t)
	b := newTestbed(nil)
	for i, leaf := range []string{"a", "b", "c"} {
		b.RecordAnswer(testKey)
		b.receiveCrash(testKey.Digest, leaf, uint64(i+2))
		is.Equal(b.status(testKey), Proven)
		b.advance(time.Second)
	}
	b.receiveCrash(testKey.Digest, "a", 9)
	is.Equal(b.status(testKey), Suspect)
}

// TestWordOfAnAnswerElsewhere guards against refusals of innocent requests that are new to a VM: if a leaf
// has answered the request to another VM, it counts as answered here for as long as evidence of its
// crashes arrives.
func TestWordOfAnAnswerElsewhere(t *testing.T) {
	is := is.New(t)
	b := newTestbed(nil)
	for _, leaf := range []string{"a", "b"} {
		b.receiveCrash(testKey.Digest, leaf, 1)
	}
	b.advance(doubtPeriod)
	is.Equal(b.status(testKey), Quarantined)
	b.receiveAnsweredCrash(testKey.Digest, "a", 1)
	is.Equal(b.status(testKey), Suspect)
	b.receiveCrash(testKey.Digest, "c", 1)
	is.Equal(b.status(testKey), Doubted) // three unexplained crashes
	b.advance(DefaultSettings().Hold.D())
	is.Equal(b.status(testKey), Quarantined)
}

// TestAnswersAreVouchedFor: a VM reports to the others, once for each crash that they have, that a leaf
// has answered the request, whether it learns of the crash or of the answer first.
func TestAnswersAreVouchedFor(t *testing.T) {
	reportedAnswers := func(b *testbed) (leaves []string) {
		for _, c := range b.reported {
			if c.GetAnswered() {
				leaves = append(leaves, c.GetLeaf())
			}
		}
		return leaves
	}
	for name, tt := range map[string]struct {
		do   func(b *testbed)
		want []string
	}{
		"answered, then crash received": {func(b *testbed) { b.RecordAnswer(testKey); b.receiveCrash(testKey.Digest, "a", 1) }, []string{"a"}},
		"crash received, then answered": {func(b *testbed) { b.receiveCrash(testKey.Digest, "a", 1); b.RecordAnswer(testKey) }, []string{"a"}},
		"own crash, then answered": {func(b *testbed) {
			b.crash("a")
			b.RecordUnprovenLoss(testKey.Digest, "a", 1, true)
			b.RecordAnswer(testKey)
		}, []string{"a"}},
		"answered, then own crash": {func(b *testbed) {
			b.RecordAnswer(testKey)
			b.crash("a")
			b.RecordUnprovenLoss(testKey.Digest, "a", 1, true)
		}, []string{"a"}},
		"own loss not yet known to be a crash": {func(b *testbed) {
			b.RecordUnprovenLoss(testKey.Digest, "a", 1, true)
			b.RecordAnswer(testKey)
		}, nil},
		"others know of the answer": {func(b *testbed) { b.RecordAnswer(testKey); b.receiveAnsweredCrash(testKey.Digest, "a", 1) }, nil},
		"others know of the answer for one crash": {func(b *testbed) {
			b.receiveAnsweredCrash(testKey.Digest, "a", 1)
			b.receiveCrash(testKey.Digest, "b", 1)
		}, []string{"b"}},
		"not answered": {func(b *testbed) { b.receiveCrash(testKey.Digest, "a", 1) }, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newTestbed(nil)
			tt.do(b)
			is.Equal(reportedAnswers(b), tt.want)
			for range 2 { // the same views are received repeatedly
				b.receiveCrash(testKey.Digest, "a", 1)
				b.RecordAnswer(testKey)
			}
			all := reportedAnswers(b)
			slices.Sort(all)
			is.Equal(all, slices.Compact(slices.Clone(all)))
		})
	}
}

// TestTwoRequestsInFlightAtTheSameCrashes: one of two requests that were in flight at the same two
// crashes may be innocent. The third run decides.
func TestTwoRequestsInFlightAtTheSameCrashes(t *testing.T) {
	is := is.New(t)
	b := newTestbed(nil)
	good := SearchKey("teachers", "good", 1, 10)
	for _, leaf := range []string{"a", "b"} {
		b.receiveCrash(testKey.Digest, leaf, 1)
		b.receiveCrash(good.Digest, leaf, 1)
	}
	b.advance(doubtPeriod)
	is.Equal(b.status(good), Suspect)
	is.Equal(b.status(testKey), Suspect)
	b.RecordAnswer(good)
	is.Equal(b.status(good), Proven)
	b.receiveCrash(testKey.Digest, "c", 1)
	is.Equal(b.status(testKey), Quarantined) // a third crash quarantines it in any case
}

// TestRenewedEvidenceStaysRefuted guards against refusals of innocent requests: if another VM refuses the
// content and renews its evidence, crashes that an answer here has refuted do not count again.
func TestRenewedEvidenceStaysRefuted(t *testing.T) {
	is := is.New(t)
	b := newTestbed(nil)
	leaves := []string{"a", "b", "c"}
	for _, leaf := range leaves {
		b.receiveCrash(testKey.Digest, leaf, 1)
	}
	b.advance(time.Second)
	b.RecordAnswer(testKey)
	b.advance(time.Second)
	for _, leaf := range leaves {
		b.receiveCrash(testKey.Digest, leaf, 1) // of age 0: renewed
	}
	b.advance(DefaultSettings().Hold.D())
	is.Equal(b.status(testKey), Proven)
	is.Equal(b.status(SearchKey("teachers", "bad", 1, 50)), Quarantined) // another number of hits; the call renews the evidence here, too
	is.Equal(b.status(testKey), Proven)
}

func TestEvidenceExpiresUnlessTheRequestRepeats(t *testing.T) {
	is := is.New(t)
	age := DefaultSettings().Age.D()
	b := newTestbed(nil)
	b.receiveCrash(testKey.Digest, "a", 1)
	b.receiveCrash(testKey.Digest, "b", 1)
	b.advance(doubtPeriod)
	for range 8 { // twice the age in total
		b.advance(age / 4)
		is.Equal(b.status(testKey), Quarantined)
	}
	is.Equal(len(b.reported), 2*8) // both crashes in each quarter of the age, so that other VMs keep them as well
	b.advance(age + time.Second)
	b.Refresh()
	is.Equal(b.status(testKey), FirstRun)
}

// TestLostConnectionsAreClassified checks that crashes are distinguished from connections that broke for
// another reason.
func TestLostConnectionsAreClassified(t *testing.T) {
	tests := map[string]struct {
		after upstream.State
		// reportedAtOnce and reportedLater say whether the evidence has been reported immediately and after
		// two seconds.
		reportedAtOnce, reportedLater bool
	}{
		"refuses connections":    {after: upstream.State{Incarnation: 1, Leaving: true}, reportedAtOnce: true, reportedLater: true},
		"is another incarnation": {after: upstream.State{Incarnation: 2, Connected: true}, reportedAtOnce: true, reportedLater: true},
		"stays away":             {after: upstream.State{Incarnation: 1}, reportedLater: true},
		"survives":               {after: upstream.State{Incarnation: 1, Connected: true}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newTestbed(nil)
			b.leaves["a"] = tt.after
			b.RecordUnprovenLoss(testKey.Digest, "a", 1, false)
			is.Equal(b.status(testKey), Suspect) // the next run is exclusive in any case
			is.Equal(len(b.reported) > 0, tt.reportedAtOnce)
			b.advance(2 * time.Second)
			b.Refresh()
			is.Equal(len(b.reported) > 0, tt.reportedLater)
			is.Equal(b.status(testKey) == Suspect, tt.reportedLater)
		})
	}
}

// TestConnectionLostByLiveLeafIsNoEvidence: as soon as the incarnation that lost a connection shows on a
// new one, the request is cleared and the leaf takes first runs again.
func TestConnectionLostByLiveLeafIsNoEvidence(t *testing.T) {
	is := is.New(t)
	b := newTestbed(nil)
	for _, leaf := range []string{"a", "b"} {
		b.RecordUnprovenLoss(testKey.Digest, leaf, 1, true)
	}
	is.Equal(b.status(testKey), Doubted)
	is.Equal(b.Eligibility("a", 99), LeafWithheld)
	for _, leaf := range []string{"a", "b"} {
		b.leaves[leaf] = upstream.State{Leaf: leaf, Incarnation: 1, Connected: true, Survived: true}
	}
	b.advance(lossResolutionInterval)
	b.ResolveLosses()
	is.Equal(b.status(testKey), FirstRun)
	is.Equal(b.Eligibility("a", 99), LeafEligible)
	is.Equal(len(b.reported), 0)
}

// frequentSource changes its view every 5 ms, as the heartbeats of a fleet do.
type frequentSource struct{ view *feed.View }

func (s frequentSource) Current() *feed.View       { return s.view }
func (s frequentSource) Fresh() bool               { return true }
func (s frequentSource) FreshSince(time.Time) bool { return true }
func (s frequentSource) Changed() <-chan struct{} {
	c := make(chan struct{})
	time.AfterFunc(5*time.Millisecond, func() { close(c) })
	return c
}

func TestRefreshRunsDespiteFrequentViewChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestbed(nil)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- b.Run(ctx, frequentSource{&feed.View{}}) }()
		time.Sleep(3 * refreshInterval)
		b.mu.Lock()
		b.crash("a")
		b.mu.Unlock()
		time.Sleep(3 * refreshInterval)
		b.mu.Lock()
		lost := !b.leaf("a").lostAt.IsZero()
		b.mu.Unlock()
		cancel()
		is.NoErr(<-ended)
		is.True(lost)
	})
}

func TestAbandonedRequestBecomesSuspect(t *testing.T) {
	is := is.New(t)
	b := newTestbed(nil)
	b.RecordAbandoned(testKey.Digest, "a", 1)
	b.advance(abandonedWindow / 2)
	b.crash("a")
	b.Refresh()
	is.Equal(b.status(testKey), Suspect)
	is.Equal(len(b.reported), 1)
	b.RecordAbandoned(testKey.Digest, "b", 1)
	b.advance(abandonedWindow * 2) // given up too long ago to be the cause
	b.crash("b")
	b.Refresh()
	is.Equal(b.status(testKey), Suspect)
}

func TestProvenRequests(t *testing.T) {
	is := is.New(t)
	b := newTestbed(func(s *Settings) { s.Remembered = 2 })
	key := func(text string) Key { return SearchKey("s", text, 1, 10) }
	for _, text := range []string{"one", "two", "one", "three"} {
		b.RecordAnswer(key(text))
	}
	is.Equal(b.status(key("one")), Proven)
	is.Equal(b.status(key("two")), FirstRun)                   // the least recently used is evicted
	is.Equal(b.status(SearchKey("s", "one", 2, 10)), FirstRun) // another snapshot
	b.RecordProvenLoss(key("one"))                             // in flight when a connection was lost
	is.Equal(b.status(key("one")), FirstRun)                   // not a suspect, but runs on one leaf first again
	same, content := b.Answered(key("one"))
	is.True(same && content)
	same, content = b.Answered(SearchKey("s", "one", 1, 50))
	is.True(!same && content)
	same, content = b.Answered(key("two"))
	is.True(!same && !content)
	is.Equal(newTestbed(func(s *Settings) { s.FirstRun = ModeNever }).status(testKey), Unproven)
	e := newTestbed(func(s *Settings) { s.FirstRun = ModeEvidence })
	is.Equal(e.status(testKey), Unproven)
	e.receiveCrash(99, "a", 1)
	is.Equal(e.status(testKey), FirstRun)
}

func TestSuspectRunsExclusively(t *testing.T) {
	is := is.New(t)
	b := newTestbed(nil)
	is.True(b.TryAcquire("a", false))
	is.True(b.TryAcquire("a", false))
	is.True(!b.TryAcquire("a", true))
	is.True(!b.Release("a"))
	is.True(b.Release("a")) // it was the only unproven request there
	is.True(b.TryAcquire("a", true))
	is.True(!b.TryAcquire("a", false))
	is.True(b.TryAcquire("b", false))
}

// fakeExecutor is an upstream.Caller that returns err for each order and counts the orders in sent.
type fakeExecutor struct {
	upstream.Caller
	err  error
	sent int
}

func (e *fakeExecutor) Execute(context.Context, string, *pb.LeafExecuteRequest) (*pb.LeafExecuteResponse, error) {
	e.sent++
	return &pb.LeafExecuteResponse{}, e.err
}

func TestCrashingOrdersAreRefusedUnsent(t *testing.T) {
	is := is.New(t)
	b := newTestbed(nil)
	leaves := &fakeExecutor{err: &upstream.CallError{Wrote: true, Incarnation: 1, ConnectionLost: true, Err: errors.New("reset")}}
	c := NewOrderCaller(leaves, b.Registry)
	send := func(leaf, payload string) error {
		_, err := c.Execute(context.Background(), leaf, &pb.LeafExecuteRequest{Service: "teachers", Kind: "book", Key: "k", Payload: payload})
		return err
	}
	b.crash("a")
	is.True(send("a", "bad") != nil) // the leaf was lost recently
	is.Equal(leaves.sent, 0)
	b.leaves["b"] = upstream.State{Incarnation: 1, Connected: true}
	is.True(send("b", "bad") != nil)
	b.crash("b")
	is.True(send("c", "bad") != nil)
	b.crash("c")
	is.Equal(leaves.sent, 2)
	b.advance(time.Minute)
	err := send("c", "bad")
	e, ok := outcome.As(err)
	is.True(ok)
	is.Equal(e.Reason, pb.Reason_REASON_QUARANTINED)
	var ce *upstream.CallError
	is.True(errors.As(err, &ce) && ce.NotStarted())
	is.Equal(leaves.sent, 2)
	leaves.err = nil
	is.NoErr(send("c", "good"))
}
