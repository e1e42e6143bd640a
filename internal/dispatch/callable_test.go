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
