package directory

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/mirror"
)

// zonedDecoder decodes leaves as textDecoder does, all of them in zone a and with a warm-up time, and configurations
// whose service x warms up for 3 s.
type zonedDecoder struct {
	textDecoder
	warmup time.Duration
}

func (z zonedDecoder) Leaf(key string, value []byte) (catalog.Leaf, bool, error) {
	l, ok, err := z.textDecoder.Leaf(key, value)
	l.Zone, l.Warmup = "a", z.warmup
	return l, ok, err
}

func (z zonedDecoder) Config(key string, value []byte) (*catalog.Config, bool, error) {
	_, ok, err := z.textDecoder.Config(key, value)
	return catalog.New(1, nil, []catalog.Service{{Name: "x", Warmup: 3 * time.Second}}, catalog.Limits{}), ok, err
}

func zonedFixture(warmup time.Duration) *fixture {
	f := newFixture()
	f.decoder = zonedDecoder{warmup: warmup}
	f.put("config", "1")
	return f
}

// The leaves of an evacuated zone got work for as long as the evacuation lasted, because its key was never read.
func TestLeavesOfAnEvacuatedZoneGetNothing(t *testing.T) {
	is := is.New(t)
	f := zonedFixture(0)
	f.put("leaf/1", "x ready")
	f.put("evacuate/b", "")
	is.Equal(ids(f.Current().Leaves["x"]), "1") // another zone
	f.put("evacuate/a", "")
	is.Equal(ids(f.Current().Leaves["x"]), "")
	is.Equal(ids(f.Current().EvacuatedLeaves["x"]), "1")
	f.put("leaf/2", "x ready") // starts during the evacuation
	f.remove("leaf/1")         // its entry lapses
	is.Equal(len(f.Current().Leaves["x"])+len(f.Current().Expired["x"]), 0)
	f.remove("evacuate/a")
	is.Equal(ids(f.Current().Leaves["x"]), "2")
	is.Equal(len(f.Current().Evacuations), 1) // of b
}

// A copy of the store's items that is older than the evacuation doesn't take it back, whether it comes from the store
// or from another VM.
func TestOlderItemsDontTakeAnEvacuationBack(t *testing.T) {
	is := is.New(t)
	f := zonedFixture(0)
	f.put("leaf/1", "x ready")
	f.put("evacuate/a", "")
	f.m.Merge(mirror.Delta{Items: []mirror.Item{{Key: "leaf/1", Revision: 2, Value: []byte("x ready")}}, CompleteTo: 2, Full: true}, f.now)
	f.Refresh(f.now)
	is.Equal(ids(f.Current().Leaves["x"]), "")
}

// The leaves of a zone are cold when its evacuation ends, but their entries say so only at the next heartbeat.
func TestLeavesAreColdAfterAnEvacuation(t *testing.T) {
	is := is.New(t)
	f := zonedFixture(0)
	f.put("leaf/1", "x ready")
	cold := func() bool { return f.Current().Leaves["x"][0].Cold(f.now) }
	is.True(!cold())
	f.put("evacuate/a", "")
	f.remove("evacuate/a")
	is.True(cold())
	f.advance(3*time.Second - time.Millisecond)
	is.True(cold())
	f.advance(time.Millisecond)
	is.True(!cold())
}

// A leaf that says for how long it is cold counts as cold for as long from the receipt of its entry.
func TestLeafIsColdAsItsEntrySays(t *testing.T) {
	is := is.New(t)
	f := zonedFixture(1200 * time.Millisecond)
	f.put("leaf/1", "x ready")
	f.advance(time.Second)
	is.True(f.Current().Leaves["x"][0].Cold(f.now))
	f.advance(time.Second)
	is.True(!f.Current().Leaves["x"][0].Cold(f.now))
	f.put("leaf/1", "x ready") // cold again while it runs
	is.True(f.Current().Leaves["x"][0].Cold(f.now))
}
