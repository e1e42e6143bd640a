package directory

import (
	"errors"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/mirror"
	"github.com/burdockplank/burdockplank/internal/notify"
)

// textDecoder takes "service state" or "service state start" for a leaf and a version's digit for a configuration.
type textDecoder struct{}

func (textDecoder) Config(key string, value []byte) (*catalog.Config, bool, error) {
	if key != "config" {
		return nil, false, nil
	}
	if string(value) == "bad" {
		return nil, true, errors.New("bad")
	}
	return catalog.New(uint64(value[0]-'0'), nil, nil, catalog.Limits{}), true, nil
}

func (textDecoder) Leaf(key string, value []byte) (catalog.Leaf, bool, error) {
	id, ok := strings.CutPrefix(key, "leaf/")
	if !ok {
		return catalog.Leaf{}, false, nil
	}
	service, state, ok := strings.Cut(string(value), " ")
	if !ok {
		return catalog.Leaf{}, true, errors.New("bad")
	}
	state, start, _ := strings.Cut(state, " ")
	born, _ := strconv.ParseInt(start, 10, 64)
	return catalog.Leaf{ID: catalog.LeafID{Name: id, StartMillis: born}, Service: service, Draining: state == "draining"}, true, nil
}

type fixture struct {
	*Directory
	m        *mirror.Mirror
	revision uint64
	now      time.Time
}

func newFixture() *fixture {
	n := notify.New()
	m := mirror.New(n)
	return &fixture{Directory: New(m, n, notify.New(), textDecoder{}, zap.NewNop(), prometheus.NewRegistry()), m: m, now: time.Now()}
}

func (f *fixture) put(key, value string) {
	f.revision++
	f.m.Merge(mirror.Delta{Items: []mirror.Item{{Key: key, Revision: f.revision, Value: []byte(value)}}, CompleteFrom: f.revision - 1, CompleteTo: f.revision}, f.now)
	f.Refresh(f.now)
}

func (f *fixture) drop(key string) time.Duration {
	f.revision++
	f.m.Merge(mirror.Delta{Items: []mirror.Item{{Key: key, Revision: f.revision, Deleted: true}}, CompleteFrom: f.revision - 1, CompleteTo: f.revision}, f.now)
	return f.Refresh(f.now)
}

func (f *fixture) pass(d time.Duration) {
	f.now = f.now.Add(d)
	f.Refresh(f.now)
}

func ids(list []catalog.Leaf) string {
	var out []string
	for _, l := range list {
		out = append(out, l.ID.String())
	}
	return strings.Join(out, " ")
}

func TestDrainingLeafGetsNothingMore(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.put("leaf/1", "x ready")
	is.Equal(ids(f.Current().Leaves["x"]), "1")
	f.put("leaf/1", "x draining")
	is.Equal(ids(f.Current().Leaves["x"]), "")
	f.drop("leaf/1")
	is.Equal(ids(f.Current().Lapsed["x"]), "")
}

// An entry may lapse while the store is away, so its leaf stays a last resort for a while, less than
// the three seconds after which one that is gone may get nothing.
func TestLapsedEntry(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.put("leaf/1", "x ready")
	is.Equal(f.drop("leaf/1"), LapseHold)
	is.Equal(ids(f.Current().Leaves["x"]), "")
	is.Equal(ids(f.Current().Lapsed["x"]), "1")
	f.pass(LapseHold - time.Millisecond)
	is.Equal(ids(f.Current().Lapsed["x"]), "1")
	f.pass(time.Millisecond)
	is.Equal(ids(f.Current().Lapsed["x"]), "")
	f.put("leaf/1", "x ready") // it is back
	is.Equal(ids(f.Current().Leaves["x"]), "1")
}

func TestConfigNeverGoesBack(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	is.True(f.Current().Config == nil)
	f.put("config", "3")
	f.put("config", "bad")
	is.Equal(f.Current().Config.Version, uint64(3))
	f.put("config", "2")
	is.Equal(f.Current().Config.Version, uint64(3))
	f.put("config", "5")
	is.Equal(f.Current().Config.Version, uint64(5))
	f.drop("config")
	is.Equal(f.Current().Config.Version, uint64(5))
}

func TestAwaitReturnsWithTheConfiguration(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	is.True(f.Await(t.Context(), time.Millisecond).Config == nil)
	time.AfterFunc(10*time.Millisecond, func() { f.put("config", "3") })
	is.Equal(f.Await(t.Context(), 10*time.Second).Config.Version, uint64(3))
	is.Equal(f.Await(t.Context(), 10*time.Second).Config.Version, uint64(3))
}

func TestBadEntryIsIgnored(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.put("leaf/1", "nothing")
	f.put("leaf/2", "x ready")
	f.put("other", "key")
	is.Equal(len(f.Current().Leaves), 1)
	f.drop("leaf/1")
	is.Equal(len(f.Current().Lapsed), 0)
	is.Equal(f.Current().Revision, f.revision)
}

// A leaf that starts again under its id is another leaf. A late entry of the earlier start doesn't take its place,
// also not after one that no leaf wrote.
func TestLeafStartsAgain(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.put("leaf/1", "x ready 1000")
	f.put("leaf/1", "x ready 2000")
	is.Equal(ids(f.Current().Leaves["x"]), "1@2000")
	f.put("leaf/1", "x draining 1000")
	is.Equal(ids(f.Current().Leaves["x"]), "1@2000")
	f.put("leaf/1", "nothing")
	is.Equal(ids(f.Current().Leaves["x"]), "")
	f.put("leaf/1", "x ready 1000")
	is.Equal(ids(f.Current().Leaves["x"]), "")
	f.put("leaf/1", "x ready 2000")
	is.Equal(ids(f.Current().Leaves["x"]), "1@2000")
	f.put("leaf/1", "x draining 2000")
	f.drop("leaf/1")
	f.put("leaf/1", "x ready 3000") // it leaves in order, and is back at once
	is.Equal(ids(f.Current().Leaves["x"]), "1@3000")
	f.drop("leaf/1")
	is.Equal(ids(f.Current().Lapsed["x"]), "1@3000")
}

// Entries that another writer put in a leaf's place name no leaf, and one with a start far ahead doesn't keep the
// leaf out for good.
func TestForeignEntryInALeafsPlace(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.put("leaf/2", "x ready 1000")
	f.put("leaf/1", "x ready 1000")
	for _, foreign := range []string{"nothing", "x ready", "x ready 9000000000000000"} {
		f.put("leaf/1", foreign)
		is.Equal(ids(f.Current().Leaves["x"]), "2@1000")
		f.put("leaf/1", "x ready 1000")
		is.Equal(len(f.Current().Leaves["x"]), 2)
	}
	is.Equal(testutil.ToFloat64(f.ignored), 3.0)
}

// Whoever writes many bad entries fills neither the log nor the view.
func TestLinesOfForeignEntriesAreBounded(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	core, logs := observer.New(zap.WarnLevel)
	f.log = zap.New(core)
	for i := range 200 {
		f.put("leaf/"+strconv.Itoa(i), "nothing")
	}
	is.True(logs.Len() >= 1 && logs.Len() < 10)
	is.Equal(testutil.ToFloat64(f.ignored), 200.0)
	is.Equal(len(f.Current().Leaves), 0)
}
