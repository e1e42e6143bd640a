package crashguard

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/peers"
)

// fakeFleet records crashes like a fleet with a single VM.
type fakeFleet struct {
	crashes []peers.Crash
	// reported, if set, is called after each report.
	reported func(c peers.Crash)
}

func (f *fakeFleet) ReportCrash(c peers.Crash) {
	f.crashes = append(f.crashes, c)
	if f.reported != nil {
		f.reported(c)
	}
}

func (f *fakeFleet) Crashes(digest uint64, since time.Time) []peers.Crash {
	var out []peers.Crash
	for _, c := range f.crashes {
		if c.Digest == digest && c.At.After(since) {
			out = append(out, c)
		}
	}
	return out
}

func (f *fakeFleet) Confirmed() map[uint64][]peers.Crash {
	ended := func(leaf catalog.LeafID) bool {
		return slices.ContainsFunc(f.crashes, func(c peers.Crash) bool { return c.Leaf == leaf && !c.Unconfirmed })
	}
	out := make(map[uint64][]peers.Crash)
	for _, c := range f.crashes {
		if ended(c.Leaf) {
			out[c.Digest] = append(out[c.Digest], c)
		}
	}
	return out
}

func (f *fakeFleet) ReportAnswer(digest uint64) {
	for i := range f.crashes {
		f.crashes[i].Outlived = f.crashes[i].Outlived || f.crashes[i].Digest == digest
	}
}

func (f *fakeFleet) Refute(digest uint64, leaves []catalog.LeafID, _ time.Time) {
	f.crashes = slices.DeleteFunc(f.crashes, func(c peers.Crash) bool {
		return c.Digest == digest && slices.Contains(leaves, c.Leaf)
	})
}

func (f *fakeFleet) Suspects() []uint64              { return nil }
func (f *fakeFleet) ReportRefusal(uint64, time.Time) {}

type fixture struct {
	*Guard
	now time.Time
}

func newFixture() *fixture {
	f := &fixture{now: time.Now()}
	f.Guard = New(&fakeFleet{}, func() time.Time { return f.now }, zap.NewNop(), prometheus.NewRegistry())
	return f
}

// Lost records a loss of a request that was whatever standing it has now.
func (f *fixture) Lost(digest uint64, leaf catalog.LeafID) {
	_, suspect := f.Suspect(digest)
	f.Guard.Lost(Loss{Digest: digest, Leaf: leaf, Repeated: suspect})
}

func leafID(name string) catalog.LeafID { return catalog.LeafID{Name: name} }

const crashing, innocent = 7, 8

// crash simulates a crash of the leaf while it runs the requests.
func (f *fixture) crash(name string, digests ...uint64) {
	leaf := leafID(name)
	for _, d := range digests {
		f.Lost(d, leaf)
	}
	f.now = f.now.Add(300 * time.Millisecond)
	f.Down(leaf)
}

func TestThirdCrashBlocksRequest(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.crash("a", crashing)
	f.crash("b", crashing)
	is.True(!f.Blocked(crashing))
	f.crash("c", crashing)
	is.True(f.Blocked(crashing))
	is.True(!f.Blocked(innocent))
	f.now = f.now.Add(blockPeriod)
	is.True(!f.Blocked(crashing))
}

// A connection lost while its leaf keeps running proves nothing: resets come by the dozen.
func TestLostConnectionsAreNotCrashes(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	for _, leaf := range []string{"a", "b", "c", "d"} {
		f.Lost(crashing, leafID(leaf))
	}
	is.True(!f.Blocked(crashing))
	f.now = f.now.Add(refusalWindow + time.Second) // the leaves go down much later
	for _, leaf := range []string{"a", "b", "c", "d"} {
		f.Down(leafID(leaf))
	}
	is.True(!f.Blocked(crashing))
}

// An answer clears a request that was in flight at crashes without causing them.
func TestAnswerClearsRequest(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	for _, leaf := range []string{"a", "b", "c"} {
		f.crash(leaf, crashing, innocent)
	}
	is.True(f.Blocked(innocent))
	f.Answered(innocent)
	is.True(!f.Blocked(innocent))
	is.True(f.Blocked(crashing))
	f.now = f.now.Add(time.Second)
	f.crash("d", innocent)
	is.True(!f.Blocked(innocent))
}

// All leaves of a service ended within a second. A request that was in flight at four of the five ends and was never answered
// took the blame, and the one that crashes them, answered between two of its crashes, ended the next leaf that came.
func TestUnansweredRequestIsNotBlamedForServiceOutage(t *testing.T) {
	outage := func(pause time.Duration) *fixture {
		f := newFixture()
		both := []uint64{crashing, innocent}
		for i, inFlight := range [][]uint64{both, {crashing}, both, both, both} {
			leaf := leafID(string(rune('a' + i)))
			for _, d := range inFlight {
				f.Lost(d, leaf)
			}
			f.Down(leaf)
			f.Answered(crashing)
			f.now = f.now.Add(pause)
		}
		return f
	}
	is := is.New(t)
	is.True(outage(200 * time.Millisecond).Blocked(crashing))
	is.True(!outage(time.Minute).Blocked(crashing)) // the other end may be a chance
}

func TestStateIsBounded(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	for i := range 1000 {
		f.Lost(uint64(i), leafID(string(rune('a'+i%20))))
		f.now = f.now.Add(time.Second)
	}
	is.True(len(f.losses) < 10)
}

// A network partition that resets connections looks like the crash of all leaves beyond it. Searches in
// flight get their parts from the leaves on this side, before or right after the resets, and did not crash
// the others.
func TestAnsweredRequestIsNotBlocked(t *testing.T) {
	for name, answered := range map[string]func(f *fixture){
		"after the loss": func(f *fixture) {
			f.Lost(innocent, leafID("a"))
			f.Lost(innocent, leafID("b"))
			f.Lost(innocent, leafID("c"))
			f.now = f.now.Add(10 * time.Millisecond)
			f.Answered(innocent)
		},
		"and lost once more": func(f *fixture) {
			f.Lost(innocent, leafID("a"))
			f.Lost(innocent, leafID("b"))
			f.Answered(innocent)
			f.now = f.now.Add(10 * time.Millisecond)
			f.Lost(innocent, leafID("c"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			answered(f)
			f.Lost(crashing, leafID("a"))
			f.Lost(crashing, leafID("b"))
			f.Lost(crashing, leafID("c"))
			for _, leaf := range []string{"a", "b", "c"} {
				f.Down(leafID(leaf))
			}
			is.True(!f.Blocked(innocent))
			counted := f.evidence(innocent, f.fleet.Crashes(innocent, time.Time{})).counted()
			is.Equal(len(counted), 0) // only those of the crashing request count
			is.True(f.Blocked(crashing))
		})
	}
}
