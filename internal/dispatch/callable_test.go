package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/directory"
)

// evacuate withholds the leaves of the services, as the directory does where their zone is evacuated.
func (w *world) evacuate(services ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := *w.view
	next.Leaves, next.EvacuatedLeaves = make(map[string][]catalog.Leaf), make(map[string][]catalog.Leaf)
	for s, leaves := range w.view.Leaves {
		next.Leaves[s] = leaves
	}
	for _, s := range services {
		next.EvacuatedLeaves[s] = next.Leaves[s]
		delete(next.Leaves, s)
	}
	next.Evacuations = map[string]directory.Evacuation{"z": {Since: time.Now()}}
	w.view = &next
}

// Callers waited for their deadline, or got calls to leaves that the operator had evacuated. A request that has no
// other leaf is refused at once as not run, and named so; a search may do without the shards that it can miss.
func TestEvacuatedLeavesAreRefusedAtOnce(t *testing.T) {
	for name, tt := range map[string]struct {
		path     string
		services []string
		outcome  Outcome
		reason   Reason
	}{
		"single request without a leaf":   {"/i/", []string{"x"}, NotRun, ReasonEvacuated},
		"order without a leaf":            {"/o/", []string{"x"}, NotRun, ReasonEvacuated},
		"search that lacks two of ten":    {"/s/", []string{"s3", "s4"}, NotRun, ReasonEvacuated},
		"search that can miss one of ten": {"/s/", []string{"s3"}, Served, ReasonPartial},
		"another service is evacuated":    {"/i/", []string{"y"}, Served, ReasonNone},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, func(t *testing.T, w *world) {
				is := is.New(t)
				w.evacuate(tt.services...)
				a, took := w.ask(t.Context(), tt.path)
				is.Equal(a.Outcome, tt.outcome)
				is.Equal(a.Reason, tt.reason)
				if tt.outcome == NotRun {
					is.Equal(took, time.Duration(0))
					is.True(a.RetryAfter >= retryNoLeaf)
				}
				for _, s := range tt.services {
					is.Equal(w.callsTo(s+"-a", s+"-b", s+"-c"), 0)
				}
			})
		})
	}
}

// A repeat that is due after the evacuation goes to no leaf of the zone.
func TestRepeatsDontGoToEvacuatedLeaves(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		w.oddFirst("x", reply{after: 50 * ms, refuse: true})
		time.AfterFunc(20*ms, func() { w.evacuate("x") })
		a, _ := w.ask(t.Context(), "/i/")
		is.Equal(a.Outcome, NotRun)
		is.Equal(w.callsTo("x-a", "x-b", "x-c"), 1)
	})
}

// chill makes all leaves of the services cold for the time. Their services tolerate a rate, and each leaf gets the
// given number of requests.
func (w *world) chill(d time.Duration, requests int, services ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := *w.view
	next.Leaves = make(map[string][]catalog.Leaf)
	for s, leaves := range w.view.Leaves {
		next.Leaves[s] = leaves
	}
	config := *w.view.Config
	config.Services = make(map[string]catalog.Service)
	for _, s := range services {
		config.Services[s] = catalog.Service{Name: s, Warmup: d, WarmupRate: 4}
		next.Leaves[s] = nil
		for _, l := range w.view.Leaves[s] {
			l.ColdUntil = time.Now().Add(d)
			next.Leaves[s] = append(next.Leaves[s], l)
			w.coldLeft[l.ID.Name] = requests
		}
	}
	next.Config = &config
	w.view = &next
}

// A service whose leaves all come back cold would crash under its callers. What the leaves don't tolerate is refused at
// once, with a time to come back after which they tolerate more.
func TestColdLeavesGetNoMoreThanTheyTolerate(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		w.chill(3*time.Second, 2, "x")
		served, refused := 0, 0
		for range 20 {
			a, took := w.ask(t.Context(), "/i/")
			if a.Outcome == Served {
				served++
				continue
			}
			refused++
			is.Equal(a.Outcome, NotRun)
			is.Equal(a.Reason, ReasonColdLeaves)
			is.Equal(took, time.Duration(0))
			is.True(a.RetryAfter >= coldWindow)
		}
		is.Equal(served, 6)
		is.Equal(refused, 14)
		time.Sleep(3 * time.Second)
		a, _ := w.ask(t.Context(), "/i/")
		is.Equal(a.Outcome, Served) // warm again
	})
}

// A search whose shards are cold is refused before any call, as long as it can't cover enough shards.
func TestSearchOverColdShards(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		w.chill(3*time.Second, 0, "s3", "s4")
		a, _ := w.ask(t.Context(), "/s/")
		is.Equal(a.Outcome, NotRun)
		is.Equal(a.Reason, ReasonColdLeaves)
		is.Equal(w.callsTo("s0-a", "s0-b", "s0-c"), 0)
	})
}

// Warm leaves of a service take what its cold ones don't.
func TestWarmLeavesTakeWhatColdOnesDont(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		w.chill(3*time.Second, 1, "x")
		w.view.Leaves["x"][2].ColdUntil = time.Time{}
		for range 10 {
			a, _ := w.ask(t.Context(), "/i/")
			is.Equal(a.Outcome, Served)
		}
		is.True(w.callsTo("x-a") <= 1)
		is.True(w.callsTo("x-b") <= 1)
	})
}

// A request whose route names regions reaches no leaf elsewhere, also as a repeat, and is refused where its regions have
// none. A zone of unknown region counts as elsewhere.
func TestRequestsStayInTheRegionsOfTheirRoute(t *testing.T) {
	for name, tt := range map[string]struct {
		regions []string
		zones   []string
		served  bool
		called  string
	}{
		"at home":        {[]string{"home"}, []string{"far", "z", "far"}, true, "x-b"},
		"abroad":         {[]string{"abroad"}, []string{"far", "z", "z"}, true, "x-a"},
		"nowhere":        {[]string{"abroad"}, []string{"z", "z", "z"}, false, ""},
		"unknown region": {[]string{"home"}, []string{"new", "new", "new"}, false, ""},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, func(t *testing.T, w *world) {
				is := is.New(t)
				w.view.Config.Match("h", "/i/").AllowedRegions = tt.regions
				for i, zone := range tt.zones {
					w.view.Leaves["x"][i].Zone = zone
				}
				for range 5 {
					a, _ := w.ask(t.Context(), "/i/")
					is.Equal(a.Outcome == Served, tt.served)
				}
				all := w.callsTo("x-a", "x-b", "x-c")
				is.Equal(all, w.callsTo(tt.called))
			})
		})
	}
}
