package directory

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/burdockplank/burdockplank/internal/mirror"
)

// restored is a fixture whose store has come back from a copy.
type restored struct {
	*fixture
	age time.Duration
}

// item returns an item of the store, or its deletion if the value is empty.
func item(key string, revision uint64, value string) mirror.Item {
	return mirror.Item{Key: key, Revision: revision, Value: []byte(value), Deleted: value == ""}
}

// deltaOf returns all items of an era, complete up to the revision.
func deltaOf(era, completeTo uint64, items ...mirror.Item) mirror.Delta {
	return mirror.Delta{Era: era, Items: items, CompleteTo: completeTo, Full: true}
}

// restore returns a directory that knew the items up to revision 20 of era 1, and then read the others up to revision 15
// of era 2, of which the copy held those up to 10 at most. All were received long before the age, counted from the
// return.
func restore(known, read []mirror.Item, age time.Duration) *restored {
	f := newFixture()
	f.m.Merge(deltaOf(1, 20, known...), f.now)
	f.Refresh(f.now)
	f.advance(time.Minute)
	f.m.Merge(deltaOf(2, 15, read...), f.now)
	f.Refresh(f.now)
	f.advance(age)
	return &restored{f, age}
}

// leafState returns where the view has the leaf x of the service s.
func (f *fixture) leafState() string {
	v := f.Current()
	switch {
	case len(v.Leaves["s"]) > 0:
		return "usable"
	case len(v.Expired["s"]) > 0:
		return "expired"
	case len(v.EvacuatedLeaves["s"]) > 0:
		return "evacuated"
	}
	return "none"
}

// What a leaf wrote, and what of it the store lost, is judged by what the leaf itself counts. A leaf that left gets no work
// again because the copy still has it; one that the copy lacks keeps its work until it must have written again.
func TestLeafAfterTheStoreCameBackFromACopy(t *testing.T) {
	const soon, written, settled = 100 * time.Millisecond, rewriteTime + time.Millisecond, restoreMemory + time.Millisecond
	ready, draining := item("leaf/x", 8, "s ready 5 3"), item("leaf/x", 18, "s draining 5 9")
	for name, tt := range map[string]struct {
		known, read []mirror.Item
		age         time.Duration
		want        string
	}{
		"unchanged":                               {[]mirror.Item{ready}, []mirror.Item{ready}, soon, "usable"},
		"written after the copy":                  {[]mirror.Item{item("leaf/x", 18, "s ready 5 3")}, nil, soon, "usable"},
		"and not again":                           {[]mirror.Item{item("leaf/x", 18, "s ready 5 3")}, nil, written, "none"},
		"and again":                               {[]mirror.Item{item("leaf/x", 18, "s ready 5 3")}, []mirror.Item{item("leaf/x", 14, "s ready 5 6")}, written, "usable"},
		"draining after the copy":                 {[]mirror.Item{draining}, []mirror.Item{ready}, settled, "none"},
		"draining, copy lacks it":                 {[]mirror.Item{draining}, nil, soon, "none"},
		"draining before the copy":                {[]mirror.Item{item("leaf/x", 8, "s draining 5 3")}, []mirror.Item{item("leaf/x", 8, "s draining 5 3")}, soon, "none"},
		"draining seen only in the new era":       {[]mirror.Item{ready}, []mirror.Item{item("leaf/x", 14, "s draining 5 9")}, soon, "none"},
		"gone after the copy":                     {[]mirror.Item{item("leaf/x", 18, "")}, []mirror.Item{ready}, written, "none"},
		"gone, but still written":                 {[]mirror.Item{item("leaf/x", 18, "")}, []mirror.Item{ready}, settled, "usable"},
		"gone, then a change in the new era":      {[]mirror.Item{{Key: "leaf/x", Revision: 18, Value: []byte("s ready 5 3"), Deleted: true}}, []mirror.Item{item("leaf/x", 14, "s ready 5 4")}, soon, "usable"},
		"gone, then written after the first read": {[]mirror.Item{{Key: "leaf/x", Revision: 18, Value: []byte("s ready 5 3"), Deleted: true}}, []mirror.Item{item("leaf/x", 16, "s ready 5 3")}, soon, "usable"},
		"gone, then the same id, started":         {[]mirror.Item{{Key: "leaf/x", Revision: 18, Value: []byte("s ready 5 3"), Deleted: true}}, []mirror.Item{item("leaf/x", 14, "s ready 7 1")}, soon, "usable"},
		"started again after the copy":            {[]mirror.Item{item("leaf/x", 18, "s ready 7 1")}, []mirror.Item{ready}, soon, "usable"},
		"gone in the new era":                     {[]mirror.Item{ready}, []mirror.Item{item("leaf/x", 16, "")}, written, "none"},
		"not a leaf's entry, after the copy":      {[]mirror.Item{item("leaf/x", 18, "bad")}, []mirror.Item{ready}, soon, "usable"},
		"not a leaf's entry, in the new era":      {[]mirror.Item{ready}, []mirror.Item{item("leaf/x", 16, "bad")}, soon, "none"},
		"evacuated after the copy":                {[]mirror.Item{ready, item("evacuate/z", 18, "-")}, []mirror.Item{ready}, written, "evacuated"},
		"evacuated, and not again":                {[]mirror.Item{ready, item("evacuate/z", 18, "-")}, []mirror.Item{ready}, settled, "usable"},
		"evacuated before the copy":               {[]mirror.Item{ready, item("evacuate/z", 9, "-")}, []mirror.Item{ready, item("evacuate/z", 9, "-")}, settled, "evacuated"},
		"evacuation taken back after it":          {[]mirror.Item{ready, item("evacuate/z", 18, "")}, []mirror.Item{ready, item("evacuate/z", 9, "-")}, soon, "usable"},
		"taken back, and not again":               {[]mirror.Item{ready, item("evacuate/z", 18, "")}, []mirror.Item{ready, item("evacuate/z", 9, "-")}, written, "evacuated"},
		"evacuated only in the new era":           {[]mirror.Item{ready}, []mirror.Item{ready, item("evacuate/z", 14, "-")}, soon, "evacuated"},
		"evacuated again after it took effect":    {[]mirror.Item{ready, item("evacuate/z", 11, "")}, []mirror.Item{ready, item("evacuate/z", 14, "-")}, soon, "evacuated"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(restore(tt.known, tt.read, tt.age).leafState(), tt.want)
		})
	}
}

// The copy held an older version, and a VM that had been told of the newest one went back to it, or a VM that started then
// began with it.
func TestConfigurationIsOrderedByItsVersion(t *testing.T) {
	is := is.New(t)
	f := restore([]mirror.Item{item("config", 18, "7")}, []mirror.Item{item("config", 9, "4")}, time.Second).fixture
	is.Equal(f.Current().Config.Version, uint64(7))
	started := newFixture()
	started.m.Merge(f.m.Since(nil, f.now), f.now)
	started.Refresh(f.now)
	is.Equal(started.Current().Config.Version, uint64(7))
	f.m.Merge(mirror.Delta{Era: 2, Items: []mirror.Item{item("config", 16, "8")}, CompleteFrom: 15, CompleteTo: 16}, f.now)
	f.Refresh(f.now)
	is.Equal(f.Current().Config.Version, uint64(8))
	f.advance(time.Hour)
	is.Equal(f.Current().Config.Version, uint64(8))
}

// A leaf that had become warm long before counted as cold again on all VMs, since its entry was received anew.
func TestEntryOfTheCopyKeepsItsTime(t *testing.T) {
	is := is.New(t)
	entry := item("leaf/x", 8, "s ready 5 3")
	f := restore([]mirror.Item{entry}, []mirror.Item{entry}, 0)
	is.Equal(f.leaves["leaf/x"].receivedAt, f.now.Add(-time.Minute))
}

// Two returns in quick succession: what was known before the first still counts after the second.
func TestTwoReturnsInARow(t *testing.T) {
	is := is.New(t)
	ready := item("leaf/x", 8, "s ready 5 3")
	f := restore([]mirror.Item{item("leaf/x", 18, "s draining 5 9"), item("config", 19, "7")}, []mirror.Item{ready, item("config", 4, "3")}, time.Second).fixture
	f.m.Merge(deltaOf(3, 9, ready, item("config", 4, "3")), f.now)
	f.Refresh(f.now)
	is.Equal(f.leafState(), "none")
	is.Equal(f.Current().Config.Version, uint64(7))
	is.Equal(f.Current().Era, uint64(3))
}

// Operators see a return from a copy once, with what it took and what was kept.
func TestReturnFromACopyIsLogged(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	core, logs := observer.New(zap.WarnLevel)
	f.log = zap.New(core)
	f.m.Merge(deltaOf(4, 20, item("leaf/x", 18, "s ready 5 3"), item("leaf/y", 3, "s ready 5 3")), f.now)
	f.Refresh(f.now)
	f.m.Merge(deltaOf(5, 15, item("leaf/y", 3, "s ready 5 3")), f.now)
	for range 3 {
		f.advance(time.Millisecond)
	}
	lines := logs.FilterMessage(MsgStoreRestored).All()
	is.Equal(len(lines), 1)
	for field, want := range map[string]any{"era_before": uint64(4), "era": uint64(5), "known_to": uint64(20), "revision": uint64(15), "carried_over": int64(1)} {
		is.Equal(lines[0].ContextMap()[field], want)
	}
	is.Equal(testutil.ToFloat64(f.metrics.restores), 1.)
	is.Equal(testutil.ToFloat64(f.metrics.carried), 1.)
	is.Equal(f.StoreDump().LatestRestore.Carried, 1)
	f.advance(rewriteTime)
	is.Equal(testutil.ToFloat64(f.metrics.carried), 1.) // its removal counts now
	is.Equal(len(f.Current().Leaves["s"]), 1)
	f.advance(time.Minute)
	is.Equal(testutil.ToFloat64(f.metrics.carried), 0.)
}

// Copies that learn of two eras in any order come to the same view.
func TestOrderOfLearningDoesNotMatter(t *testing.T) {
	is := is.New(t)
	old := deltaOf(1, 20, item("leaf/x", 18, "s draining 5 9"), item("evacuate/z", 19, "-"), item("config", 20, "7"))
	restoredState := deltaOf(2, 15, item("leaf/x", 8, "s ready 5 3"), item("leaf/y", 14, "s ready 5 1"), item("config", 4, "3"))
	var views []*View
	for _, order := range [][]mirror.Delta{{old, restoredState}, {restoredState, old}} {
		f := newFixture()
		for _, d := range order {
			f.m.Merge(d, f.now)
		}
		f.Refresh(f.now)
		views = append(views, f.Current())
	}
	is.Equal(views[0].Config.Version, uint64(7))
	is.Equal(views[1].Config.Version, uint64(7))
	for _, v := range views {
		is.Equal(len(v.Leaves["s"]), 0)
		is.Equal(len(v.EvacuatedLeaves["s"]), 1)
		is.True(slices.Equal([]uint64{v.Era, v.Revision}, []uint64{2, 15}))
	}
}
