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

// bench is a registry with a clock and leaves set by hand.
type bench struct {
	*Registry
	now    time.Time
	leaves map[string]upstream.State
	told   []*pb.Crash
}

func (b *bench) ReportDeparture(*pb.Departure) {}
func (b *bench) SetState(pb.ProcessState)      {}
func (b *bench) ReportCrash(c *pb.Crash)       { b.told = append(b.told, c) }

// newBench has leaves a, b and c of incarnation 1, seen up.
func newBench(change func(*Settings)) *bench {
	b := &bench{now: time.Unix(1000, 0), leaves: make(map[string]upstream.State)}
	s := DefaultSettings()
	if change != nil {
		change(&s)
	}
	states := func(l string) (upstream.State, bool) { st, ok := b.leaves[l]; return st, ok }
	b.Registry = New(s, b, states, func() time.Time { return b.now }, NewMetrics(prometheus.NewRegistry()))
	for _, l := range []string{"a", "b", "c"} {
		b.leaves[l] = upstream.State{Leaf: l, Incarnation: 1, Connected: true}
		b.Held(l, 0)
	}
	return b
}

func (b *bench) pass(d time.Duration) { b.now = b.now.Add(d) }

// crash makes a leaf refuse connections, as a pool sees it soon after a crash.
func (b *bench) crash(leaf string) {
	b.leaves[leaf] = upstream.State{Leaf: leaf, Incarnation: 1, Leaving: true}
}

func (b *bench) heard(digest uint64, leaf string, incarnation uint64) {
	c := &pb.Crash{RequestDigest: digest, Leaf: leaf, Incarnation: incarnation}
	b.ApplyView(&feed.View{Crashes: []*pb.Crash{c}, Received: b.now})
}

// heardAnswered takes in a crash at which a request was in flight that another VM knows to be answered.
func (b *bench) heardAnswered(digest uint64, leaf string, incarnation uint64) {
	c := &pb.Crash{RequestDigest: digest, Leaf: leaf, Incarnation: incarnation, Answered: true}
	b.ApplyView(&feed.View{Crashes: []*pb.Crash{c}, Received: b.now})
}

func (b *bench) stands(k Key) Status { s, _ := b.Status(k); return s }

var bad = SearchKey("teachers", "bad", 1, 10)

func TestStandingByEvidence(t *testing.T) {
	is := is.New(t)
	b := newBench(nil)
	is.Equal(b.stands(bad), FirstRun)
	b.crash("a")
	b.RecordUnprovenLoss(bad.Digest, "a", 1, true)
	is.Equal(b.stands(bad), Suspect)
	b.heard(bad.Digest, "a", 1) // the same crash, seen by another VM
	is.Equal(b.stands(bad), Suspect)
	b.pass(time.Second)
	b.RecordAnswer(bad) // its solo run was answered
	is.Equal(b.stands(bad), Proven)
	b.pass(time.Second)
	b.heard(bad.Digest, "a", 2)
	is.Equal(b.stands(bad), Suspect) // evidence outranks the proof, but an answered request runs on alone
	b.heard(bad.Digest, "b", 1)
	is.Equal(b.stands(bad), Suspect)
	b.heard(bad.Digest, "c", 1)
	is.Equal(b.stands(bad), Doubted) // three since its answer
	b.pass(DefaultSettings().Hold.D())
	is.Equal(b.stands(bad), Quarantined)
	is.Equal(b.stands(SearchKey("teachers", "bad", 2, 50)), Quarantined)
	is.Equal(b.stands(SearchKey("teachers", "good", 1, 10)), FirstRun)
}

// TestUnansweredIsRefusedAtTwoCrashes: a request that no leaf has answered is refused at the second crash, in all its
// forms, and at the third even where another one was in flight at all of them.
func TestUnansweredIsRefusedAtTwoCrashes(t *testing.T) {
	is := is.New(t)
	b := newBench(nil)
	b.heard(bad.Digest, "a", 1)
	is.Equal(b.stands(bad), Suspect)
	b.heard(bad.Digest, "a", 2)
	is.Equal(b.stands(bad), Doubted)
	b.pass(doubtFor)
	is.Equal(b.stands(bad), Quarantined)
	is.Equal(b.stands(SearchKey("teachers", "bad", 2, 50)), Quarantined)
	b.heard(99, "a", 1)
	b.heard(99, "a", 2)
	is.Equal(b.stands(bad), Suspect)
	b.heard(99, "b", 1)
	b.heard(bad.Digest, "b", 1)
	is.Equal(b.stands(bad), Quarantined)
}

// TestAnsweredIsClearedByTheWordOfTheCause guards against refusals of innocent requests: of three crashes one that a
// leaf has answered is refused only while nothing explains them, at whatever time the explanation comes.
func TestAnsweredIsClearedByTheWordOfTheCause(t *testing.T) {
	is := is.New(t)
	hold := DefaultSettings().Hold.D()
	b := newBench(nil)
	b.RecordAnswer(bad)
	for _, leaf := range []string{"a", "b", "c"} {
		b.pass(time.Second)
		b.heard(bad.Digest, leaf, 1)
	}
	b.pass(hold)
	is.Equal(b.stands(bad), Quarantined)
	b.pass(time.Minute)
	b.heard(99, "b", 1) // one crash of the cause is enough
	is.Equal(b.stands(bad), Suspect)
	other := SearchKey("teachers", "other", 1, 10)
	b.RecordAnswer(other)
	b.pass(time.Second)
	for _, leaf := range []string{"a", "b", "c"} {
		b.heard(other.Digest, leaf, 7)
		b.heard(bad.Digest, leaf, 7)
	}
	b.pass(hold)
	is.Equal(b.stands(other), Quarantined) // one that was answered too explains nothing
}

// TestAnswerRefutesEarlierCrashes: what a request was in flight at before its last answer doesn't speak against it,
// also where word of it comes later.
func TestAnswerRefutesEarlierCrashes(t *testing.T) {
	is := is.New(t)
	b := newBench(nil)
	for i, leaf := range []string{"a", "b", "c"} {
		b.RecordAnswer(bad)
		b.heard(bad.Digest, leaf, uint64(i+2))
		is.Equal(b.stands(bad), Proven)
		b.pass(time.Second)
	}
	b.heard(bad.Digest, "a", 9)
	is.Equal(b.stands(bad), Suspect)
}

// TestWordOfAnAnswerElsewhere guards against refusals of innocent requests that are new to a VM: where a leaf has
// answered one to another VM, it counts as answered here, for as long as word of its crashes comes.
func TestWordOfAnAnswerElsewhere(t *testing.T) {
	is := is.New(t)
	b := newBench(nil)
	for _, leaf := range []string{"a", "b"} {
		b.heard(bad.Digest, leaf, 1)
	}
	b.pass(doubtFor)
	is.Equal(b.stands(bad), Quarantined)
	b.heardAnswered(bad.Digest, "a", 1)
	is.Equal(b.stands(bad), Suspect)
	b.heard(bad.Digest, "c", 1)
	is.Equal(b.stands(bad), Doubted) // three that nothing explains
	b.pass(DefaultSettings().Hold.D())
	is.Equal(b.stands(bad), Quarantined)
}

// TestAnswersAreVouchedFor: a VM tells the others, once for each crash that they have, that a leaf has answered the
// request, whichever of the two it learns first.
func TestAnswersAreVouchedFor(t *testing.T) {
	vouched := func(b *bench) (leaves []string) {
		for _, c := range b.told {
			if c.GetAnswered() {
				leaves = append(leaves, c.GetLeaf())
			}
		}
		return leaves
	}
	for name, tt := range map[string]struct {
		do   func(b *bench)
		want []string
	}{
		"answered, then heard": {func(b *bench) { b.RecordAnswer(bad); b.heard(bad.Digest, "a", 1) }, []string{"a"}},
		"heard, then answered": {func(b *bench) { b.heard(bad.Digest, "a", 1); b.RecordAnswer(bad) }, []string{"a"}},
		"own crash, then answered": {func(b *bench) {
			b.crash("a")
			b.RecordUnprovenLoss(bad.Digest, "a", 1, true)
			b.RecordAnswer(bad)
		}, []string{"a"}},
		"answered, then own crash": {func(b *bench) {
			b.RecordAnswer(bad)
			b.crash("a")
			b.RecordUnprovenLoss(bad.Digest, "a", 1, true)
		}, []string{"a"}},
		"own loss that is no crash so far": {func(b *bench) {
			b.RecordUnprovenLoss(bad.Digest, "a", 1, true)
			b.RecordAnswer(bad)
		}, nil},
		"others know": {func(b *bench) { b.RecordAnswer(bad); b.heardAnswered(bad.Digest, "a", 1) }, nil},
		"others know of one": {func(b *bench) {
			b.heardAnswered(bad.Digest, "a", 1)
			b.heard(bad.Digest, "b", 1)
		}, []string{"b"}},
		"not answered": {func(b *bench) { b.heard(bad.Digest, "a", 1) }, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(nil)
			tt.do(b)
			is.Equal(vouched(b), tt.want)
			for range 2 { // the same views come again and again
				b.heard(bad.Digest, "a", 1)
				b.RecordAnswer(bad)
			}
			all := vouched(b)
			slices.Sort(all)
			is.Equal(all, slices.Compact(slices.Clone(all)))
		})
	}
}

// TestInnocentOfTwoCrashes: one of two requests that were in flight at the same two crashes may be
// innocent; the third run tells.
func TestInnocentOfTwoCrashes(t *testing.T) {
	is := is.New(t)
	b := newBench(nil)
	good := SearchKey("teachers", "good", 1, 10)
	for _, leaf := range []string{"a", "b"} {
		b.heard(bad.Digest, leaf, 1)
		b.heard(good.Digest, leaf, 1)
	}
	b.pass(doubtFor)
	is.Equal(b.stands(good), Suspect)
	is.Equal(b.stands(bad), Suspect)
	b.RecordAnswer(good)
	is.Equal(b.stands(good), Proven)
	b.heard(bad.Digest, "c", 1)
	is.Equal(b.stands(bad), Quarantined) // no third excuse
}

// TestRenewedEvidenceStaysRefuted guards against refusals of innocent requests: where another VM refuses the content and
// renews its evidence, crashes that an answer here has refuted don't count anew.
func TestRenewedEvidenceStaysRefuted(t *testing.T) {
	is := is.New(t)
	b := newBench(nil)
	leaves := []string{"a", "b", "c"}
	for _, leaf := range leaves {
		b.heard(bad.Digest, leaf, 1)
	}
	b.pass(time.Second)
	b.RecordAnswer(bad)
	b.pass(time.Second)
	for _, leaf := range leaves {
		b.heard(bad.Digest, leaf, 1) // of age 0: renewed
	}
	b.pass(DefaultSettings().Hold.D())
	is.Equal(b.stands(bad), Proven)
	is.Equal(b.stands(SearchKey("teachers", "bad", 1, 50)), Quarantined) // another form; renews here, too
	is.Equal(b.stands(bad), Proven)
}

func TestEvidenceAgesOutUnlessTheRequestKeepsComing(t *testing.T) {
	is := is.New(t)
	age := DefaultSettings().Age.D()
	b := newBench(nil)
	b.heard(bad.Digest, "a", 1)
	b.heard(bad.Digest, "b", 1)
	b.pass(doubtFor)
	for range 8 { // for two ages
		b.pass(age / 4)
		is.Equal(b.stands(bad), Quarantined)
	}
	is.Equal(len(b.told), 2*8) // both crashes, each quarter, so that other VMs keep them as well
	b.pass(age + time.Second)
	b.Refresh()
	is.Equal(b.stands(bad), FirstRun)
}

// TestLostConnections tells crashes from connections that broke for another cause.
func TestLostConnections(t *testing.T) {
	tests := map[string]struct {
		after upstream.State
		// soon and later say whether the evidence was told at once, and after two seconds.
		soon, later bool
	}{
		"refuses connections":    {after: upstream.State{Incarnation: 1, Leaving: true}, soon: true, later: true},
		"is another incarnation": {after: upstream.State{Incarnation: 2, Connected: true}, soon: true, later: true},
		"stays away":             {after: upstream.State{Incarnation: 1}, later: true},
		"lives on":               {after: upstream.State{Incarnation: 1, Connected: true}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(nil)
			b.leaves["a"] = tt.after
			b.RecordUnprovenLoss(bad.Digest, "a", 1, false)
			is.Equal(b.stands(bad), Suspect) // the next run is careful in any case
			is.Equal(len(b.told) > 0, tt.soon)
			b.pass(2 * time.Second)
			b.Refresh()
			is.Equal(len(b.told) > 0, tt.later)
			is.Equal(b.stands(bad) == Suspect, tt.later)
		})
	}
}

// TestBrokenConnectionOfALiveLeafSpeaksAgainstNobody: as soon as the incarnation that lost a
// connection answers on a new one, the request is cleared and the leaf takes first runs again.
func TestBrokenConnectionOfALiveLeafSpeaksAgainstNobody(t *testing.T) {
	is := is.New(t)
	b := newBench(nil)
	for _, leaf := range []string{"a", "b"} {
		b.RecordUnprovenLoss(bad.Digest, leaf, 1, true)
	}
	is.Equal(b.stands(bad), Doubted)
	is.Equal(b.Eligibility("a", 99), LeafWithheld)
	for _, leaf := range []string{"a", "b"} {
		b.leaves[leaf] = upstream.State{Leaf: leaf, Incarnation: 1, Connected: true, Survived: true}
	}
	b.pass(settleEvery)
	b.Settle()
	is.Equal(b.stands(bad), FirstRun)
	is.Equal(b.Eligibility("a", 99), LeafEligible)
	is.Equal(len(b.told), 0)
}

// busySource changes its view all the time, as the heartbeats of a fleet do.
type busySource struct{ view *feed.View }

func (s busySource) Current() *feed.View       { return s.view }
func (s busySource) Fresh() bool               { return true }
func (s busySource) FreshSince(time.Time) bool { return true }
func (s busySource) Changed() <-chan struct{} {
	c := make(chan struct{})
	time.AfterFunc(5*time.Millisecond, func() { close(c) })
	return c
}

func TestLeavesAreLookedAtHoweverOftenTheViewChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(nil)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- b.Run(ctx, busySource{&feed.View{}}) }()
		time.Sleep(3 * lookEvery)
		b.mu.Lock()
		b.crash("a")
		b.mu.Unlock()
		time.Sleep(3 * lookEvery)
		b.mu.Lock()
		lost := !b.leaf("a").lostAt.IsZero()
		b.mu.Unlock()
		cancel()
		is.NoErr(<-ended)
		is.True(lost)
	})
}

func TestRequestGivenUpBeforeTheCrashIsASuspect(t *testing.T) {
	is := is.New(t)
	b := newBench(nil)
	b.RecordAbandoned(bad.Digest, "a", 1)
	b.pass(abandonedFor / 2)
	b.crash("a")
	b.Refresh()
	is.Equal(b.stands(bad), Suspect)
	is.Equal(len(b.told), 1)
	b.RecordAbandoned(bad.Digest, "b", 1)
	b.pass(abandonedFor * 2) // too long ago to be the cause
	b.crash("b")
	b.Refresh()
	is.Equal(b.stands(bad), Suspect)
}

func TestProvenRequests(t *testing.T) {
	is := is.New(t)
	b := newBench(func(s *Settings) { s.Remembered = 2 })
	key := func(text string) Key { return SearchKey("s", text, 1, 10) }
	for _, text := range []string{"one", "two", "one", "three"} {
		b.RecordAnswer(key(text))
	}
	is.Equal(b.stands(key("one")), Proven)
	is.Equal(b.stands(key("two")), FirstRun)                   // the longest unused is forgotten
	is.Equal(b.stands(SearchKey("s", "one", 2, 10)), FirstRun) // another snapshot
	b.RecordProvenLoss(key("one"))                             // in flight when a leaf was lost
	is.Equal(b.stands(key("one")), FirstRun)                   // no suspect, but tried on one leaf again
	same, content := b.Answered(key("one"))
	is.True(same && content)
	same, content = b.Answered(SearchKey("s", "one", 1, 50))
	is.True(!same && content)
	same, content = b.Answered(key("two"))
	is.True(!same && !content)
	is.Equal(newBench(func(s *Settings) { s.FirstRun = ModeNever }).stands(bad), Unproven)
	e := newBench(func(s *Settings) { s.FirstRun = ModeEvidence })
	is.Equal(e.stands(bad), Unproven)
	e.heard(99, "a", 1)
	is.Equal(e.stands(bad), FirstRun)
}

func TestSuspectRunsBesideNoOtherUnprovenRequest(t *testing.T) {
	is := is.New(t)
	b := newBench(nil)
	is.True(b.TryAcquire("a", false))
	is.True(b.TryAcquire("a", false))
	is.True(!b.TryAcquire("a", true))
	is.True(!b.Release("a"))
	is.True(b.Release("a")) // it was the only one
	is.True(b.TryAcquire("a", true))
	is.True(!b.TryAcquire("a", false))
	is.True(b.TryAcquire("b", false))
}

// executor is an upstream.Caller whose leaves end each order in the same way.
type executor struct {
	upstream.Caller
	err  error
	sent int
}

func (e *executor) Execute(context.Context, string, *pb.LeafExecuteRequest) (*pb.LeafExecuteResponse, error) {
	e.sent++
	return &pb.LeafExecuteResponse{}, e.err
}

func TestOrdersThatCrashLeavesAreRefusedUnsent(t *testing.T) {
	is := is.New(t)
	b := newBench(nil)
	leaves := &executor{err: &upstream.CallError{Wrote: true, Incarnation: 1, ConnectionLost: true, Err: errors.New("reset")}}
	c := NewOrderCaller(leaves, b.Registry)
	send := func(leaf, payload string) error {
		_, err := c.Execute(context.Background(), leaf, &pb.LeafExecuteRequest{Service: "teachers", Kind: "book", Key: "k", Payload: payload})
		return err
	}
	b.crash("a")
	is.True(send("a", "bad") != nil) // the leaf was lost lately
	is.Equal(leaves.sent, 0)
	b.leaves["b"] = upstream.State{Incarnation: 1, Connected: true}
	is.True(send("b", "bad") != nil)
	b.crash("b")
	is.True(send("c", "bad") != nil)
	b.crash("c")
	is.Equal(leaves.sent, 2)
	b.pass(time.Minute)
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
