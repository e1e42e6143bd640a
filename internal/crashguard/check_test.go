package crashguard

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/directory"
	"github.com/burdockplank/burdockplank/internal/leafcall"
	"github.com/burdockplank/burdockplank/internal/peers"
)

// fakeProber returns the results in turn, and the last one from then on.
type fakeProber struct {
	mu      sync.Mutex
	results []leafcall.Reachability
	probes  int
	// asked is the result of health checks.
	asked leafcall.Reachability
}

func (p *fakeProber) Probe(context.Context, catalog.LeafID) leafcall.Reachability {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.results[min(p.probes, len(p.results)-1)]
	p.probes++
	return r
}

func (p *fakeProber) Ask(context.Context, catalog.LeafID, string) leafcall.Reachability {
	return p.asked
}

// run calls f beside a guard that checks leaves, in virtual time.
func run(t *testing.T, p Prober, f func(t *testing.T, g *Guard, fleet *fakeFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fleet := &fakeFleet{}
		g := New(fleet, time.Now, zap.NewNop(), prometheus.NewRegistry())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- g.Run(ctx, p) }()
		defer func() {
			cancel()
			<-done
		}()
		f(t, g, fleet)
	})
}

// leafAt returns a view with one leaf of the id and the address.
func leafAt(name, address string) *directory.View {
	return &directory.View{Leaves: map[string][]catalog.Leaf{"s": {{ID: leafID(name), Address: address}}}}
}

// The end of a leaf that nobody called again left no evidence: each case is a way in which the end shows.
func TestEndOfALeafIsLookedFor(t *testing.T) {
	const address = "10.0.0.1:80"
	for name, tt := range map[string]struct {
		results []leafcall.Reachability
		silent  bool
		view    *directory.View
		crashes int
	}{
		"refused":                   {results: []leafcall.Reachability{leafcall.Refused}, crashes: 1},
		"refused at the second try": {results: []leafcall.Reachability{leafcall.NotTried, leafcall.Refused}, crashes: 1},
		"no response":               {results: []leafcall.Reachability{leafcall.NoResponse}, crashes: 1},
		"alive":                     {results: []leafcall.Reachability{leafcall.Reached}},
		"another leaf there":        {results: []leafcall.Reachability{leafcall.Reached}, view: leafAt("b", address), crashes: 1},
		"its id at another address": {
			results: []leafcall.Reachability{leafcall.Reached}, crashes: 1,
			view: &directory.View{Leaves: map[string][]catalog.Leaf{"s": {{ID: catalog.LeafID{Name: "a", StartMillis: 7}, Address: "10.0.0.2:80"}}}},
		},
		"entry gone, not reached": {
			results: []leafcall.Reachability{leafcall.NotTried}, crashes: 1,
			view: &directory.View{Removed: map[string][]catalog.Leaf{"s": {{ID: leafID("a"), Address: address}}}},
		},
		"entry gone, but alive": {
			results: []leafcall.Reachability{leafcall.Reached},
			view:    &directory.View{Removed: map[string][]catalog.Leaf{"s": {{ID: leafID("a"), Address: address}}}},
		},
		"entry unchanged":                 {results: []leafcall.Reachability{leafcall.Reached}, view: leafAt("a", address)},
		"connection silent, no response":  {results: []leafcall.Reachability{leafcall.NoResponse}, silent: true},
		"connection silent, then another": {results: []leafcall.Reachability{leafcall.Reached}, silent: true, view: leafAt("b", address)},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, &fakeProber{results: tt.results}, func(t *testing.T, g *Guard, fleet *fakeFleet) {
				g.Lost(Loss{Digest: crashing, Leaf: leafID("a"), Address: address, Silent: tt.silent})
				time.Sleep(time.Second)
				if tt.view != nil {
					g.SetView(tt.view)
				}
				time.Sleep(replacementWindow)
				is.New(t).Equal(len(confirmedAt(fleet)), tt.crashes)
				is.New(t).Equal(len(g.losses), 0)
			})
		})
	}
}

// A connection that an address takes counted as a sign of life. A leaf whose entry is gone as well is asked.
func TestLeafWithoutEntryIsAsked(t *testing.T) {
	gone := &directory.View{
		Config:  catalog.New(1, nil, []catalog.Service{{Name: "s", HealthPath: "/health"}}, catalog.Limits{}),
		Removed: map[string][]catalog.Leaf{"s": {{ID: leafID("a"), Address: "10.0.0.1:80", Service: "s"}}},
	}
	for asked, crashes := range map[leafcall.Reachability]int{
		leafcall.Answered: 0, leafcall.NotTried: 0, leafcall.NoResponse: 1, leafcall.Refused: 1, leafcall.TakenOver: 1,
	} {
		t.Run(string(asked), func(t *testing.T) {
			run(t, &fakeProber{results: []leafcall.Reachability{leafcall.Reached}, asked: asked}, func(t *testing.T, g *Guard, fleet *fakeFleet) {
				g.Lost(Loss{Digest: crashing, Leaf: leafID("a"), Address: "10.0.0.1:80"})
				time.Sleep(4 * time.Second)
				g.SetView(gone)
				time.Sleep(replacementWindow)
				is.New(t).Equal(len(confirmedAt(fleet)), crashes)
			})
		})
	}
}

// The entry of a leaf was gone while something at its address still took connections. That showed nothing, and the loss was
// dropped before another start of a leaf at the address showed the end (seed 47205 of the soak).
func TestLaterFindingCounts(t *testing.T) {
	run(t, &fakeProber{results: []leafcall.Reachability{leafcall.Reached}}, func(t *testing.T, g *Guard, fleet *fakeFleet) {
		is := is.New(t)
		g.Lost(Loss{Digest: crashing, Leaf: leafID("a"), Address: "10.0.0.1:80"})
		time.Sleep(time.Second)
		g.SetView(&directory.View{Removed: map[string][]catalog.Leaf{"s": {{ID: leafID("a"), Address: "10.0.0.1:80"}}}})
		time.Sleep(time.Second)
		is.Equal(len(confirmedAt(fleet)), 0)
		g.SetView(leafAt("b", "10.0.0.1:80"))
		is.Equal(len(confirmedAt(fleet)), 1)
	})
}

// confirmedAt returns the leaves of the crashes that count.
func confirmedAt(f *fakeFleet) map[catalog.LeafID]bool {
	out := make(map[catalog.LeafID]bool)
	for _, c := range f.crashes {
		if !c.Unconfirmed {
			out[c.Leaf] = true
		}
	}
	return out
}

// A release ends leaves with requests in flight. Those must not be refused for it.
func TestEndAfterAnnouncedShutdownIsNoEvidence(t *testing.T) {
	run(t, &fakeProber{results: []leafcall.Reachability{leafcall.Refused}}, func(t *testing.T, g *Guard, fleet *fakeFleet) {
		g.SetView(&directory.View{Draining: map[catalog.LeafID]bool{leafID("a"): true}})
		g.Lost(Loss{Digest: innocent, Leaf: leafID("a")})
		time.Sleep(time.Second)
		is.New(t).Equal(len(fleet.crashes), 0)
	})
}

// Copies of a request came to a third leaf while nothing had shown yet whether two others had ended. Such a copy waits, and
// goes on when nothing has.
func TestThirdCopyWaitsForTheEvidence(t *testing.T) {
	run(t, &fakeProber{results: []leafcall.Reachability{leafcall.Reached}}, func(t *testing.T, g *Guard, _ *fakeFleet) {
		is := is.New(t)
		for _, leaf := range []string{"a", "b", "c"} {
			g.Lost(Loss{Digest: crashing, Leaf: leafID(leaf)})
		}
		s, suspect := g.Suspect(crashing)
		is.True(suspect)
		is.True(s.Undecided)
		is.Equal(len(s.Ended), 3)
		is.True(!g.Blocked(crashing))
		time.Sleep(suspicionPeriod + 2*sweepInterval)
		_, suspect = g.Suspect(crashing)
		is.True(!suspect)
	})
}

// Leaves of a popular request ended at the same moment for another reason. It is refused only if it ends one more as a
// suspect.
func TestAnsweredRequestAtCrashesAtOnceIsNotBlocked(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.Answered(innocent)
	f.now = f.now.Add(answerValidity + time.Second)
	for _, leaf := range []string{"a", "b", "c"} {
		f.Lost(innocent, leafID(leaf))
		f.Guard.losses[leafID(leaf)][0].Repeated = false // all of them were in flight already
	}
	for _, leaf := range []string{"a", "b", "c"} {
		f.Down(leafID(leaf))
	}
	is.Equal(len(f.fleet.(*fakeFleet).crashes), 3)
	is.True(!f.Blocked(innocent))
	f.now = f.now.Add(time.Second)
	f.crash("d", innocent)
	is.True(f.Blocked(innocent))
}

// A call that was given up may crash its leaf afterwards. It counts if the leaf refuses connections right after.
func TestGivenUpCallCountsIfTheLeafEnds(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.Guard.Lost(Loss{Digest: crashing, Leaf: leafID("a"), Silent: true})
	_, suspect := f.Suspect(crashing)
	is.True(!suspect)
	f.now = f.now.Add(300 * time.Millisecond)
	f.Down(leafID("a"))
	is.Equal(len(f.fleet.(*fakeFleet).crashes), 1)
}

func TestAnswersAreBounded(t *testing.T) {
	is := is.New(t)
	a := newAnswers()
	now := time.Now()
	for i := range 3 * rememberedAnswers {
		a.add(uint64(i), now)
		a.add(uint64(i), now)
	}
	is.Equal(len(a.times), rememberedAnswers)
	is.True(a.at(0).IsZero())
	is.Equal(a.at(3*rememberedAnswers-1), now)
}

// A connection that was lost while its leaf was being checked, after the leaf had been asked, was never checked itself: the end of
// the leaf did not count against the request that had crashed it, and another one was refused in its place.
func TestLossDuringACheckIsChecked(t *testing.T) {
	const first, second = 1, 2
	confirmed := func(fleet *fakeFleet, digest uint64) bool {
		return slices.ContainsFunc(fleet.crashes, func(c peers.Crash) bool { return c.Digest == digest && !c.Unconfirmed })
	}
	t.Run("while the check waits", func(t *testing.T) {
		p := &fakeProber{results: []leafcall.Reachability{leafcall.Reached, leafcall.Refused}}
		run(t, p, func(t *testing.T, g *Guard, fleet *fakeFleet) {
			g.Lost(Loss{Digest: first, Leaf: leafID("a")})
			time.Sleep(answerGrace / 2)
			g.Lost(Loss{Digest: second, Leaf: leafID("a")})
			time.Sleep(refusalWindow)
			is.New(t).True(confirmed(fleet, second))
		})
	})
	t.Run("while the end is counted", func(t *testing.T) {
		p := &fakeProber{results: []leafcall.Reachability{leafcall.Refused}}
		run(t, p, func(t *testing.T, g *Guard, fleet *fakeFleet) {
			fleet.reported = func(c peers.Crash) {
				if c.Digest == first {
					g.Lost(Loss{Digest: second, Leaf: leafID("a")})
				}
			}
			g.Lost(Loss{Digest: first, Leaf: leafID("a")})
			time.Sleep(refusalWindow)
			is.New(t).True(confirmed(fleet, second))
		})
	})
}
