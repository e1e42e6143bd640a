package search

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/feed"
	"github.com/burdockplank/burdockplank/internal/outcome"
	"github.com/burdockplank/burdockplank/internal/quarantine"
	"github.com/burdockplank/burdockplank/internal/upstream"
)

// maxCrashes is the promise: the most leaves that one crashing request may end in the whole fleet.
const maxCrashes = 3

// zoneView is a fleet as a gather sees it whose availability zone is cut off from others.
type zoneView struct {
	*fakeFleet
	hidden func(leaf string) bool
}

func (v zoneView) State(leaf string) (upstream.State, bool) {
	s, ok := v.fakeFleet.State(leaf)
	s.Connected = s.Connected && !v.hidden(leaf)
	return s, ok
}

// spread runs n gathers in each of three availability zones over one fleet. What one reports
// reaches each other gather after the delay, unless their zones are cut.
func spread(ctx context.Context, n int, delay time.Duration, cut func(from, to string) bool) ([]*rig, *fakeFleet) {
	return spreadOver(ctx, 5, n, delay, cut)
}

// spreadOver is spread over a fleet of as many shards.
func spreadOver(ctx context.Context, shards, n int, delay time.Duration, cut func(from, to string) bool) ([]*rig, *fakeFleet) {
	service, fleet := groups(shards)
	var rigs []*rig
	for _, z := range []string{"az-a", "az-b", "az-c"} {
		view := zoneView{fleet, func(leaf string) bool { return cut(z, service.Leaves[leaf].Zone) }}
		for range n {
			rigs = append(rigs, newRigOver(z, service, view, fleet, nil))
		}
	}
	for _, from := range rigs {
		from.feed.hear = func(c *pb.Crash) {
			for _, to := range rigs {
				if to != from && !cut(from.feed.view.Zone, to.feed.view.Zone) {
					time.AfterFunc(delay, func() { to.guard.ApplyView(&feed.View{Crashes: []*pb.Crash{c}, Received: time.Now().Add(-delay)}) })
				}
			}
		}
		go func() { _ = from.guard.Run(ctx, from.feed) }()
	}
	return rigs, fleet
}

func neverCut(_, _ string) bool { return false }

// TestCrashingRequestIsBoundInTheWholeFleet sends one or two crashing texts again and again through
// every gather, at once and one after another, among innocent ones, while leaves restart and
// evidence takes its time.
func TestCrashingRequestIsBoundInTheWholeFleet(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		restart := time.Duration(rapid.IntRange(1, 3000).Draw(rt, "restart ms")) * time.Millisecond
		delay := time.Duration(rapid.IntRange(0, 800).Draw(rt, "spread ms")) * time.Millisecond
		pause := time.Duration(rapid.IntRange(60, 500).Draw(rt, "pause ms")) * time.Millisecond
		limit := time.Duration(rapid.IntRange(1, 400).Draw(rt, "caller's limit ms")) * time.Millisecond
		senders := rapid.IntRange(1, 2).Draw(rt, "senders at each gather")
		zoneCut := rapid.Bool().Draw(rt, "az-a is cut off")
		texts := rapid.IntRange(1, 2).Draw(rt, "crashing texts")
		var crashes map[string]int
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			cut := func(from, to string) bool { return zoneCut && from != to && (from == "az-a" || to == "az-a") }
			rigs, fleet := spread(ctx, 2, delay, cut)
			fleet.restart = restart
			time.Sleep(time.Second) // the leaves are seen up
			var wg sync.WaitGroup
			end := time.Now().Add(3500*time.Millisecond + delay)
			for i, r := range rigs {
				for n := range senders {
					wg.Go(func() {
						time.Sleep(time.Duration(i) * pause)
						for k := 0; time.Now().Before(end); k++ {
							_, _ = r.ask("good", "claim", fmt.Sprint("innocent ", i, n, k), limit)
							if _, err := r.ask("bad", "claim", fmt.Sprint(crashMark, k%texts), limit); err == nil {
								t.Error("a crashing request was answered")
							}
							time.Sleep(pause)
						}
					})
				}
			}
			wg.Wait()
			cancel()
			synctest.Wait()
			crashes = fleet.crashes
		})
		for text, n := range crashes {
			if n > maxCrashes {
				rt.Fatalf("%s ended %d leaves", text, n)
			}
		}
	})
}

// TestInnocentRequestsAreAnsweredBesideACrashingOne sends first-seen texts all along. One that was
// sent to a leaf is always answered whole; one refused as not run, for all leaves that it could be
// tried on have just gone, is answered when it comes back as told.
func TestInnocentRequestsAreAnsweredBesideACrashingOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		rigs, fleet := spread(ctx, 2, 50*time.Millisecond, neverCut)
		fleet.restart = 500 * time.Millisecond
		time.Sleep(time.Second)
		var wg sync.WaitGroup
		var refused atomic.Int32
		for i, r := range rigs {
			wg.Go(func() {
				for n := range 2000 {
					wg.Go(func() {
						text := fmt.Sprintf("innocent %d %d", i, n)
						a, err := r.ask(text, "claim", text, time.Second)
						if e, ok := outcome.As(err); ok && e.Kind == pb.OutcomeKind_OUTCOME_KIND_NOT_RUN {
							refused.Add(1)
							is.Equal(fleet.runs(text), 0)
							time.Sleep(e.RetryAfter)
							a, err = r.ask(text, "claim", text, time.Second)
						}
						is.NoErr(err)
						is.Equal(a.GetOutcome().GetKind(), pb.OutcomeKind_OUTCOME_KIND_ANSWERED_WHOLE)
					})
					time.Sleep(time.Millisecond)
				}
			})
			wg.Go(func() {
				for range 50 {
					_, err := r.ask("bad", "claim", crashMark, time.Second)
					is.True(err != nil)
					time.Sleep(40 * time.Millisecond)
				}
			})
		}
		wg.Wait()
		cancel()
		synctest.Wait()
		is.True(fleet.crashes[crashMark] > 0 && fleet.crashes[crashMark] <= maxCrashes)
		is.True(refused.Load() < 20) // of 12,000
	})
}

func TestQuarantinedRequestIsRefusedNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service, fleet := groups(3)
		r := newRig("az-a", service, fleet, nil)
		_, err := r.ask("r1", "claim", crashMark, time.Second)
		e, _ := outcome.As(err)
		is.Equal(e.Kind, pb.OutcomeKind_OUTCOME_KIND_FAILED) // it did run
		is.Equal(e.Reason, pb.Reason_REASON_QUARANTINED)
		is.Equal(fleet.crashes[crashMark], 2)
		ran := fleet.ran[crashMark]
		_, err = r.ask("r2", "claim", crashMark, time.Second)
		e, _ = outcome.As(err)
		is.Equal(e.Kind, pb.OutcomeKind_OUTCOME_KIND_NOT_RUN)
		is.Equal(e.Reason, pb.Reason_REASON_QUARANTINED)
		is.True(e.RetryAfter > 0)
		is.Equal(fleet.ran[crashMark], ran)
		time.Sleep(e.RetryAfter + time.Second) // it ages out when it stays away
		_, err = r.ask("r3", "claim", crashMark, time.Second)
		e, _ = outcome.As(err)
		is.Equal(e.Kind, pb.OutcomeKind_OUTCOME_KIND_FAILED)
	})
}

// breakingView is a fleet in which a leaf crashes right after it was last seen connected.
type breakingView struct {
	*fakeFleet
	breaks string
}

func (v *breakingView) State(leaf string) (upstream.State, bool) {
	s, ok := v.fakeFleet.State(leaf)
	if leaf == v.breaks {
		v.breaks = ""
		v.crash(leaf, s.Incarnation, "another")
	}
	return s, ok
}

// TestLeafThatCrashesWhileItsPlaceIsLookedAt: a leaf whose connection breaks between two looks at it keeps its
// place. Were it taken for out of use, the next in rank would be asked, and a crashing text that runs through
// several gathers at once would end a fourth leaf.
func TestLeafThatCrashesWhileItsPlaceIsLookedAt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service, fleet := groups(3)
		view := &breakingView{fakeFleet: fleet}
		r := newRigOver("az-a", service, view, fleet, nil)
		for leaf := range service.Leaves {
			r.guard.Refresh()
			first := &trial{r: &run{
				e: r.engine, fleet: r.engine.fleet(), plan: choose(service, r.engine.fleet()),
				key: quarantine.SearchKey(service.Name, "new", 1, 1),
			}}
			is.Equal(first.place(leaf), quarantine.LeafEligible)
			view.breaks = leaf
			is.Equal(first.place(leaf), quarantine.LeafWithheld)
		}
	})
}

// TestInnocentInDoubtWaitsForEvidence: a request comes while its text, of which two crashes are known, may
// still turn out to be innocent of them. It waits for that, as those do that came before, and is answered.
func TestInnocentInDoubtWaitsForEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service, fleet := groups(3)
		r := newRig("az-a", service, fleet, nil)
		tell := func(digest uint64) {
			var crashes []*pb.Crash
			for _, leaf := range []string{"leaf-0-b", "leaf-1-c"} {
				crashes = append(crashes, &pb.Crash{RequestDigest: digest, Leaf: leaf, Incarnation: 77})
			}
			r.guard.ApplyView(&feed.View{Bundle: r.feed.Current().Bundle, Crashes: crashes, Received: time.Now()})
		}
		key := quarantine.SearchKey(service.Name, "innocent", 1, 1)
		tell(key.Digest)
		const evidence = 200 * time.Millisecond // within the time that it is waited for
		time.AfterFunc(evidence, func() { tell(99) })
		begun := time.Now()
		a, err := r.ask("r1", "claim", "innocent", 4*time.Second)
		is.NoErr(err)
		is.Equal(a.GetOutcome().GetKind(), pb.OutcomeKind_OUTCOME_KIND_ANSWERED_WHOLE)
		is.True(time.Since(begun) >= evidence)
	})
}

// TestInnocentSuspectWaitsForItsPlacesToComeBack: a request is in flight at a crash that another one
// caused, while its other places are down by crashes of that one. It is answered by the first of them
// that comes back.
func TestInnocentSuspectWaitsForItsPlacesToComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service, fleet := groups(1)
		r := newRig("az-a", service, fleet, nil)
		r.guard.Refresh()
		time.Sleep(time.Second)
		var crashes []*pb.Crash
		for _, down := range []string{"leaf-0-b", "leaf-0-c"} {
			s, _ := fleet.State(down)
			crashes = append(crashes, &pb.Crash{RequestDigest: 99, Leaf: down, Incarnation: s.Incarnation})
			fleet.crash(down, s.Incarnation, "another")
		}
		r.guard.ApplyView(&feed.View{Bundle: r.feed.Current().Bundle, Crashes: crashes, Received: time.Now()})
		time.Sleep(500 * time.Millisecond) // the other request is in quarantine by now
		r.guard.Refresh()
		first, _ := fleet.State("leaf-0-a")
		time.AfterFunc(serviceTime/2, func() { fleet.crash("leaf-0-a", first.Incarnation, "another") })
		time.AfterFunc(300*time.Millisecond, func() { fleet.revive("leaf-0-b") })
		a, err := r.ask("r1", "claim", "innocent", 4*time.Second)
		is.NoErr(err)
		is.Equal(a.GetOutcome().GetKind(), pb.OutcomeKind_OUTCOME_KIND_ANSWERED_WHOLE)
	})
}
