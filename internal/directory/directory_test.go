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

// textDecoder decodes "service state", "service state start" or "service state start sequence" as a leaf, and the digit of a version as a
// configuration.
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
	start, sequence, _ := strings.Cut(start, " ")
	born, _ := strconv.ParseInt(start, 10, 64)
	writes, _ := strconv.ParseInt(sequence, 10, 64)
	return catalog.Leaf{ID: catalog.LeafID{Name: id, StartMillis: born}, Service: service, Zone: "z", Draining: state == "draining", Sequence: writes}, true, nil
}

func (textDecoder) Evacuation(key string) (string, bool) { return strings.CutPrefix(key, "evacuate/") }

type fixture struct {
	*Directory
	m        *mirror.Mirror
	revision uint64
	now      time.Time
}

func newFixture() *fixture { return newFixtureWith(3 * time.Second) }

// newFixtureWith returns a fixture of a deployment with the drain timeout.
func newFixtureWith(drainTimeout time.Duration) *fixture {
	n := notify.New()
	m := mirror.New(n)
	return &fixture{Directory: New(m, n, notify.New(), textDecoder{}, drainTimeout, zap.NewNop(), prometheus.NewRegistry()), m: m, now: time.Now()}
}

func (f *fixture) put(key, value string) {
	f.revision++
	f.m.Merge(mirror.Delta{Items: []mirror.Item{{Key: key, Revision: f.revision, Value: []byte(value)}}, CompleteFrom: f.revision - 1, CompleteTo: f.revision}, f.now)
	f.Refresh(f.now)
}

func (f *fixture) remove(key string) time.Duration {
	f.revision++
	f.m.Merge(mirror.Delta{Items: []mirror.Item{{Key: key, Revision: f.revision, Deleted: true}}, CompleteFrom: f.revision - 1, CompleteTo: f.revision}, f.now)
	return f.Refresh(f.now)
}

func (f *fixture) advance(d time.Duration) {
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

func TestDrainingLeafGetsNoWork(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.put("leaf/1", "x ready")
	is.Equal(ids(f.Current().Leaves["x"]), "1")
	f.put("leaf/1", "x draining")
	is.Equal(ids(f.Current().Leaves["x"]), "")
	f.remove("leaf/1")
	is.Equal(ids(f.Current().Expired["x"]), "")
}

// A leaf that has announced its shutdown is known as such after its entry is gone: its end is no crash.
func TestDrainingLeafIsKnownAsSuch(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.put("leaf/1", "x ready")
	f.put("leaf/2", "x ready")
	is.Equal(len(f.Current().Draining), 0)
	f.put("leaf/1", "x draining")
	is.True(f.Current().Draining[catalog.LeafID{Name: "1"}])
	f.remove("leaf/1")
	f.remove("leaf/2")
	is.True(f.Current().Draining[catalog.LeafID{Name: "1"}])
	is.Equal(len(f.Current().Draining), 1)
}

// An entry may expire while the store is unavailable, so its leaf stays a last resort for a while. The time is
// shorter than the three seconds after which a leaf that is gone must get no work.
func TestExpiredEntry(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.put("leaf/1", "x ready")
	is.Equal(f.remove("leaf/1"), ExpiryGracePeriod)
	is.Equal(ids(f.Current().Leaves["x"]), "")
	is.Equal(ids(f.Current().Expired["x"]), "1")
	f.advance(ExpiryGracePeriod - time.Millisecond)
	is.Equal(ids(f.Current().Expired["x"]), "1")
	f.advance(time.Millisecond)
	is.Equal(ids(f.Current().Expired["x"]), "")
	f.put("leaf/1", "x ready") // the entry is back
	is.Equal(ids(f.Current().Leaves["x"]), "1")
}

// A leaf that is gone would get work for longer than a deployment with a shorter drain timeout allows. One that allows more, or
// names none, gets no more than what an entry needs to be back.
func TestExpiredEntryWithAnotherDrainTimeout(t *testing.T) {
	for drainTimeout, want := range map[time.Duration]time.Duration{
		0: ExpiryGracePeriod, time.Second: 900 * time.Millisecond, 2 * time.Second: 1800 * time.Millisecond, 10 * time.Second: ExpiryGracePeriod,
	} {
		t.Run(drainTimeout.String(), func(t *testing.T) {
			is := is.New(t)
			f := newFixtureWith(drainTimeout)
			f.put("leaf/1", "x ready")
			f.remove("leaf/1")
			f.advance(want - time.Millisecond)
			is.Equal(ids(f.Current().Expired["x"]), "1")
			f.advance(time.Millisecond)
			is.Equal(ids(f.Current().Expired["x"]), "")
		})
	}
}

// A VM that hears late of a removal must not call the leaf for as long again. The end of the leaf is still looked for.
func TestExpiredEntryHeardOfLate(t *testing.T) {
	const late = 2 * time.Second
	is := is.New(t)
	f := newFixture()
	f.put("leaf/1", "x ready")
	f.revision++
	removal := mirror.Item{Key: "leaf/1", Revision: f.revision, Deleted: true, DeletedSince: f.now.Add(-late)}
	f.m.Merge(mirror.Delta{Items: []mirror.Item{removal}, CompleteFrom: f.revision - 1, CompleteTo: f.revision}, f.now)
	is.Equal(f.Refresh(f.now), ExpiryGracePeriod-late)
	is.Equal(ids(f.Current().Expired["x"]), "1")
	f.advance(ExpiryGracePeriod - late)
	is.Equal(ids(f.Current().Expired["x"]), "")
	is.Equal(ids(f.Current().Removed["x"]), "1")
	f.advance(late)
	is.Equal(ids(f.Current().Removed["x"]), "")
}

func TestConfigVersionNeverDecreases(t *testing.T) {
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
	f.remove("config")
	is.Equal(f.Current().Config.Version, uint64(5))
}

func TestAwaitReturnsOnceConfigured(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	is.True(f.Await(t.Context(), time.Millisecond).Config == nil)
	time.AfterFunc(10*time.Millisecond, func() { f.put("config", "3") })
	is.Equal(f.Await(t.Context(), 10*time.Second).Config.Version, uint64(3))
	is.Equal(f.Await(t.Context(), 10*time.Second).Config.Version, uint64(3))
}

func TestInvalidEntryIsIgnored(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.put("leaf/1", "nothing")
	f.put("leaf/2", "x ready")
	f.put("other", "key")
	is.Equal(len(f.Current().Leaves), 1)
	f.remove("leaf/1")
	is.Equal(len(f.Current().Expired), 0)
	is.Equal(f.Current().Revision, f.revision)
}

// A leaf that restarts under its id is another leaf. A late entry of the earlier start does not displace it, also
// not after an entry that no leaf wrote.
func TestRestartedLeaf(t *testing.T) {
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
	f.remove("leaf/1")
	f.put("leaf/1", "x ready 3000") // it drains, ends and restarts at once
	is.Equal(ids(f.Current().Leaves["x"]), "1@3000")
	f.remove("leaf/1")
	is.Equal(ids(f.Current().Expired["x"]), "1@3000")
}

// Entries that another writer put under a leaf's key name no leaf. One with a start time far ahead does not keep
// the leaf out for good.
func TestForeignEntryUnderLeafKey(t *testing.T) {
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
	is.Equal(testutil.ToFloat64(f.metrics.ignored), 3.0)
}

// Many invalid entries flood neither the log nor the view.
func TestIgnoredEntryLogIsRateLimited(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	core, logs := observer.New(zap.WarnLevel)
	f.log = zap.New(core)
	for i := range 200 {
		f.put("leaf/"+strconv.Itoa(i), "nothing")
	}
	is.True(logs.Len() >= 1 && logs.Len() < 10)
	is.Equal(testutil.ToFloat64(f.metrics.ignored), 200.0)
	is.Equal(len(f.Current().Leaves), 0)
}
