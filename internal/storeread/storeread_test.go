package storeread

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/burdockplank/burdockplank/internal/mirror"
	"github.com/burdockplank/burdockplank/internal/notify"
	"github.com/burdockplank/burdockplank/internal/readers"
)

// fakeStore answers with what next returns, and records the calls.
type fakeStore struct {
	mu    sync.Mutex
	calls []string
	waits []time.Duration
	next  func(call string, after uint64) (mirror.Delta, error)
}

func (f *fakeStore) answer(call string, after uint64) (mirror.Delta, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, call)
	return f.next(call, after)
}

func (f *fakeStore) Snapshot(context.Context) (mirror.Delta, error) { return f.answer("snapshot", 0) }

func (f *fakeStore) Watch(_ context.Context, after uint64, wait time.Duration) (mirror.Delta, error) {
	f.waits = append(f.waits, wait)
	return f.answer("watch", after)
}

func (f *fakeStore) EndedEvacuations(context.Context, mirror.Position) ([]mirror.Item, error) {
	if _, err := f.answer("ended", 0); err != nil {
		return nil, err
	}
	return []mirror.Item{{Key: "ended", Revision: 3, Deleted: true}}, nil
}

type fakeFleet struct {
	members          []string
	contact          time.Duration
	contactsRecorded int
	zones            []string
}

func (f *fakeFleet) ZoneStatus(time.Time) ([]string, time.Duration) { return f.members, f.contact }
func (f *fakeFleet) RecordStoreContact(time.Time)                   { f.contactsRecorded++; f.contact = 0 }
func (f *fakeFleet) LiveCount() int                                 { return len(f.members) - 1 }
func (f *fakeFleet) Zones() []string                                { return f.zones }

const bound = 3 * time.Second

// heartbeatInterval is that of the users' deployments.
const heartbeatInterval = 1200 * time.Millisecond

func testConfig(self string) Config {
	return Config{Self: self, Zone: "z", NeedsHistory: func([]mirror.Item) bool { return false }, Bound: bound, HeartbeatInterval: heartbeatInterval}
}

func newReader(s Store, f Fleet, self string) (*Reader, *mirror.Mirror) {
	m := mirror.New(notify.New())
	return New(s, m, f, testConfig(self), zap.NewNop(), prometheus.NewRegistry()), m
}

func TestSnapshotThenWatch(t *testing.T) {
	is := is.New(t)
	store := &fakeStore{next: func(call string, after uint64) (mirror.Delta, error) {
		if call == "watch" {
			return mirror.Delta{Items: []mirror.Item{{Key: "b", Revision: after + 1}}, CompleteFrom: after, CompleteTo: after + 1}, nil
		}
		return mirror.Delta{Items: []mirror.Item{{Key: "a", Revision: 4}}, CompleteTo: 5, Full: true}, nil
	}}
	fleet := &fakeFleet{members: []string{"one"}, contact: time.Hour, zones: []string{"z"}}
	r, m := newReader(store, fleet, "one")
	is.Equal(r.readOnce(t.Context()), bound/12) // a series of changes takes few calls
	is.Equal(r.readOnce(t.Context()), bound/12)
	is.Equal(store.calls, []string{"snapshot", "watch"})
	is.Equal(m.CompleteTo(), uint64(6))
	is.Equal(fleet.contactsRecorded, 2)
}

// A fleet that started as a whole knew nothing of an evacuation that had just ended, and took the zone's leaves for warm.
// The evacuations that ended are read with the snapshot, before anything is merged, and go to the other VMs with it. A
// store that refuses that doesn't keep callers waiting for the configuration.
func TestSnapshotWithEndedEvacuations(t *testing.T) {
	for name, refused := range map[string]error{"read": nil, "refused": errors.New("503")} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := &fakeStore{next: func(call string, _ uint64) (mirror.Delta, error) {
				if call == "ended" {
					return mirror.Delta{}, refused
				}
				return mirror.Delta{Items: []mirror.Item{{Key: "a", Revision: 4}}, CompleteTo: 5, Full: true}, nil
			}}
			r, m := newReader(store, &fakeFleet{members: []string{"one"}, zones: []string{"z"}}, "one")
			r.NeedsHistory = func(items []mirror.Item) bool { return len(items) == 1 && items[0].Key == "a" }
			r.readOnce(t.Context())
			is.Equal(store.calls, []string{"snapshot", "ended"})
			is.Equal(m.CompleteTo(), uint64(5))
			deleted := 0
			for _, it := range m.Since(nil, time.Now()).Items {
				if it.Deleted {
					deleted++
				}
			}
			is.Equal(deleted == 1, refused == nil)
		})
	}
}

// Items of other systems change often, too. They cost no more calls than changes that matter.
func TestForeignChangesCostFewCalls(t *testing.T) {
	is := is.New(t)
	store := &fakeStore{next: func(_ string, after uint64) (mirror.Delta, error) {
		return mirror.Delta{CompleteFrom: after, CompleteTo: after + 1, Full: after == 0, Skipped: 3}, nil
	}}
	r, m := newReader(store, &fakeFleet{members: []string{"one"}, zones: []string{"z"}}, "one")
	is.Equal(r.readOnce(t.Context()), bound/12)
	is.Equal(r.readOnce(t.Context()), bound/12)
	is.Equal(m.CompleteTo(), uint64(2))
	is.Equal(len(m.State(time.Now())[0].Items), 0)
}

// In a series of changes the first zone by rank reads them with little delay, and the others less often: they learn
// of them from it. In all zones the time between two answers keeps the zone's contact recent enough that no VM takes
// over.
func TestOneZoneReadsChangesWithShortPause(t *testing.T) {
	is := is.New(t)
	shortPauses := 0
	zones := []string{"a", "b", "c", "d"}
	for _, zone := range zones {
		store := &fakeStore{next: func(_ string, after uint64) (mirror.Delta, error) {
			return mirror.Delta{Items: []mirror.Item{{Key: "b", Revision: after + 1}}, CompleteFrom: after, CompleteTo: after + 1, Full: after == 0}, nil
		}}
		r, _ := newReader(store, &fakeFleet{members: []string{"one"}, zones: zones}, "one")
		r.Zone = zone
		pause := time.Duration(0)
		for range 5 {
			pause = r.readOnce(t.Context())
		}
		if pause == bound/12 {
			shortPauses++
		} else {
			is.Equal(pause, 3*bound/10)
		}
		is.True(pause+store.waits[len(store.waits)-1] < r.takeoverAge-bound/7)
	}
	is.Equal(shortPauses, 1)
}

// A zone that knows of no other one reads all changes with little delay.
func TestSingleZoneReadsChangesWithShortPause(t *testing.T) {
	is := is.New(t)
	r, _ := newReader(&fakeStore{}, &fakeFleet{members: []string{"one"}, zones: []string{"z"}}, "one")
	is.Equal(r.pauseAfterChange(), bound/12)
}

// A reader that finds the history gone reads a snapshot.
func TestHistoryGone(t *testing.T) {
	is := is.New(t)
	snapshots := []mirror.Delta{
		{CompleteTo: 5, Full: true},
		{Items: []mirror.Item{{Key: "a", Revision: 9}}, CompleteTo: 9, Full: true},
	}
	store := &fakeStore{next: func(call string, _ uint64) (mirror.Delta, error) {
		if call == "watch" {
			return mirror.Delta{}, &HistoryGoneError{}
		}
		d := snapshots[0]
		snapshots = snapshots[1:]
		return d, nil
	}}
	r, m := newReader(store, &fakeFleet{members: []string{"one"}}, "one")
	for range 3 {
		r.readOnce(t.Context())
	}
	is.Equal(store.calls, []string{"snapshot", "watch", "snapshot"})
	is.Equal(m.CompleteTo(), uint64(9))
}

// The logs didn't tell a store that went back from one that had dropped its history: they named neither the revision nor
// the era of its answers, and repeated the same line 50 times a second.
func TestAnswersBelowTheKnownRevisionAreLoggedOnce(t *testing.T) {
	is := is.New(t)
	store := &fakeStore{next: func(call string, _ uint64) (mirror.Delta, error) {
		if call == "watch" {
			return mirror.Delta{}, &HistoryGoneError{Era: 3}
		}
		return mirror.Delta{Items: []mirror.Item{{Key: "a", Revision: 4}}, CompleteTo: 5, Full: true, Era: 3}, nil
	}}
	core, logs := observer.New(zap.InfoLevel)
	r, m := newReader(store, &fakeFleet{members: []string{"one"}, zones: []string{"z"}}, "one")
	r.log = zap.New(core)
	m.Merge(mirror.Delta{CompleteTo: 9, Full: true, Era: 3}, time.Now())
	for range 20 {
		r.readOnce(t.Context())
	}
	is.Equal(logs.FilterMessage("store's history is gone; reading a snapshot").Len(), 1)
	behind := logs.FilterMessage("store's revision is below the known one").All()
	is.Equal(len(behind), 1)
	is.Equal(behind[0].ContextMap()["era"], uint64(3))
	is.Equal(behind[0].ContextMap()["revision"], uint64(5))
	is.Equal(behind[0].ContextMap()["complete_to"], uint64(9))
}

func TestFailuresBackOff(t *testing.T) {
	is := is.New(t)
	store := &fakeStore{next: func(string, uint64) (mirror.Delta, error) { return mirror.Delta{}, errors.New("503") }}
	r, _ := newReader(store, &fakeFleet{members: []string{"one"}}, "one")
	for range 10 {
		pause := r.readOnce(t.Context())
		is.True(pause > 0)
		is.True(pause <= maxRetryDelay)
	}
	is.True(!r.reachable)
}

// Once the store is back the first poll returns soon, before the next VMs of the zone take over.
func TestFirstPollAfterAFailureIsShort(t *testing.T) {
	is := is.New(t)
	fail := false
	store := &fakeStore{next: func(_ string, after uint64) (mirror.Delta, error) {
		if fail {
			return mirror.Delta{}, errors.New("down")
		}
		return mirror.Delta{CompleteFrom: after, CompleteTo: max(after, 1), Full: after == 0}, nil
	}}
	r, _ := newReader(store, &fakeFleet{members: []string{"one"}, zones: []string{"z"}}, "one")
	r.readOnce(t.Context()) // a snapshot
	r.readOnce(t.Context())
	fail = true
	r.readOnce(t.Context())
	fail = false
	r.readOnce(t.Context())
	r.readOnce(t.Context())
	is.Equal(store.waits, []time.Duration{r.pollWait, r.pollWait, firstPollWait, r.pollWait})
}

// After a loss of all VMs none has any state. The seeds read first, then the VMs that no other VM answers. A VM
// with state doesn't read until the fleet is known.
func TestPatienceAfterTheStart(t *testing.T) {
	for name, tt := range map[string]struct {
		hasState, seed bool
		live           int
		want           time.Duration
		spread         time.Duration
	}{
		"seed":                 {seed: true, live: 5, want: seedStartupDelay},
		"seed with state":      {seed: true, hasState: true, live: 5, want: withStateStartupDelay},
		"alone":                {want: aloneStartupDelay, spread: aloneStartupJitter},
		"others without state": {live: 5, want: withoutStateStartupDelay, spread: withoutStateStartupJitter},
		"others with state":    {live: 5, hasState: true, want: withStateStartupDelay},
		"alone with state":     {hasState: true, want: withStateStartupDelay},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, m := newReader(&fakeStore{}, &fakeFleet{members: make([]string, tt.live+1)}, "one")
			r.Seed = tt.seed
			if tt.hasState {
				m.Merge(mirror.Delta{CompleteTo: 7, Full: true}, time.Now())
			}
			is.Equal(r.startupDelay(0), tt.want)
			is.Equal(r.startupDelay(1), tt.want+tt.spread)
		})
	}
}

// One VM of a zone reads. The next one reads only while no VM of the zone has an answer.
func TestReaderSelection(t *testing.T) {
	now := time.Now()
	for name, tt := range map[string]struct {
		rank     int
		contact  time.Duration
		tookOver time.Duration // ago; 0 for never
		want     bool
	}{
		"first by rank":            {rank: 0, want: true},
		"second, contact is fresh": {rank: 1, contact: time.Second},
		"second, contact is old":   {rank: 1, contact: 2300 * time.Millisecond, want: true},
		"third waits its turn":     {rank: 2, contact: 2300 * time.Millisecond},
		"third, no VM took over":   {rank: 2, contact: 2600 * time.Millisecond, want: true},
		"took over a while ago":    {rank: 2, contact: time.Second, tookOver: 5 * time.Second, want: true},
		"stops reading later":      {rank: 2, contact: time.Second, tookOver: 11 * time.Second},
		"no contact ever":          {rank: 9, contact: time.Hour, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, _ := newReader(&fakeStore{}, &fakeFleet{}, "one")
			if tt.tookOver > 0 {
				r.takeoverAt = now.Add(-tt.tookOver)
			}
			is.Equal(r.shouldRead(tt.rank, tt.contact, r.takeoverAge, now), tt.want)
		})
	}
}

// After a power loss a zone may get the whole state from other zones before any of its VMs has read. Its first by
// rank then reads and reports it soon. The others wait for that as for any other contact, instead of all reading at
// once.
func TestZoneWithStateFromOtherZones(t *testing.T) {
	is := is.New(t)
	members := []string{"one", "two", "three", "four", "five"}
	now := time.Now()
	for _, self := range members {
		store := &fakeStore{next: func(string, uint64) (mirror.Delta, error) { return mirror.Delta{CompleteFrom: 7, CompleteTo: 7}, nil }}
		r, m := newReader(store, &fakeFleet{members: members, contact: 1 << 62, zones: []string{"z"}}, self)
		m.Merge(mirror.Delta{CompleteTo: 7, Full: true}, now)
		r.startupEnd = now
		first := readers.Rank("z", members, self) == 0
		is.Equal(r.active(now), first)
		is.Equal(r.active(now.Add(r.takeoverAge)), first)
		is.True(r.active(now.Add(r.takeoverAge + 4*takeoverStagger))) // the first by rank can't read
		r.readOnce(t.Context())
		r.readOnce(t.Context())
		is.Equal(store.waits, []time.Duration{firstPollWait, r.pollWait})
	}
}

// A whole poll on a silent connection, the time in which a contact becomes known to the zone, and the first answer
// to the next reader must fit into the bound together.
func TestTakeoverFitsConfigBound(t *testing.T) {
	is := is.New(t)
	r, _ := newReader(&fakeStore{}, &fakeFleet{}, "one")
	is.True(r.pollWait < r.takeoverAge)
	is.True(r.takeoverAge+takeoverStagger < bound)
	is.True(r.largeZoneTakeoverAge < bound)
	is.Equal(r.takeoverAgeFor(make([]string, largeZoneSize-1)), r.takeoverAge)
	is.Equal(r.takeoverAgeFor(make([]string, largeZoneSize)), r.largeZoneTakeoverAge)
}

// restoredStore is a store in era 2 that has counted to revision 5 since it came back, where the reader knew revision 9
// of era 1.
func restoredStore() *fakeStore {
	return &fakeStore{next: func(call string, after uint64) (mirror.Delta, error) {
		switch {
		case call == "watch" && after > 5:
			return mirror.Delta{}, &HistoryGoneError{Era: 2}
		case call == "watch":
			return mirror.Delta{Era: 2, CompleteFrom: after, CompleteTo: 5}, nil
		}
		return mirror.Delta{Era: 2, Items: []mirror.Item{{Key: "a", Revision: 4}}, CompleteTo: 5, Full: true}, nil
	}}
}

func knownEra1() mirror.Delta { return mirror.Delta{Era: 1, CompleteTo: 9, Full: true} }

// After the store had come back from a copy each reading VM alternated a watch and a snapshot until the store had counted
// past the known revision: 50 calls a second, and changes up to there were never asked for.
func TestReturnFromACopyTakesOneSnapshot(t *testing.T) {
	is := is.New(t)
	store := restoredStore()
	r, m := newReader(store, &fakeFleet{members: []string{"one"}, zones: []string{"z"}}, "one")
	r.NeedsHistory = func([]mirror.Item) bool { return true } // known from the era before
	m.Merge(knownEra1(), time.Now())
	for range 4 {
		r.readOnce(t.Context())
	}
	is.Equal(store.calls, []string{"watch", "snapshot", "watch", "watch"})
	is.Equal(m.Position(), mirror.Position{Era: 2, Revision: 5})
}

// A store that has counted past the known revision answers the watch, with events that don't continue the known ones.
func TestWatchAnsweredInANewEra(t *testing.T) {
	is := is.New(t)
	store := &fakeStore{next: func(call string, after uint64) (mirror.Delta, error) {
		if call == "watch" {
			return mirror.Delta{Era: 2, Items: []mirror.Item{{Key: "b", Revision: 11}}, CompleteFrom: after, CompleteTo: 11}, nil
		}
		return mirror.Delta{Era: 2, Items: []mirror.Item{{Key: "a", Revision: 6}, {Key: "b", Revision: 11}}, CompleteTo: 11, Full: true}, nil
	}}
	r, m := newReader(store, &fakeFleet{members: []string{"one"}, zones: []string{"z"}}, "one")
	m.Merge(knownEra1(), time.Now())
	r.readOnce(t.Context())
	is.Equal(m.Position(), mirror.Position{Era: 1, Revision: 9})
	r.readOnce(t.Context())
	is.Equal(store.calls, []string{"watch", "snapshot"})
	is.Equal(m.Position(), mirror.Position{Era: 2, Revision: 11})
	is.Equal(len(m.State(time.Now())[0].Items), 2)
}

// A VM that learns the new era from a peer before it has read it reads no snapshot.
func TestPeerWasFirstInANewEra(t *testing.T) {
	is := is.New(t)
	store := restoredStore()
	r, m := newReader(store, &fakeFleet{members: []string{"one"}, zones: []string{"z"}}, "one")
	m.Merge(knownEra1(), time.Now())
	r.readOnce(t.Context())
	m.Merge(mirror.Delta{Era: 2, CompleteTo: 5, Full: true}, time.Now())
	r.readOnce(t.Context())
	is.Equal(store.calls, []string{"watch", "watch"})
}

// One answer named an era that the store is not in. The whole is read once for it, not with every call from then on.
func TestEraThatTheSnapshotDoesNotConfirm(t *testing.T) {
	is := is.New(t)
	named := uint64(9)
	store := &fakeStore{next: func(call string, after uint64) (mirror.Delta, error) {
		if call == "watch" {
			defer func() { named = 1 }()
			return mirror.Delta{Era: named, CompleteFrom: after, CompleteTo: 9}, nil
		}
		return mirror.Delta{Era: 1, CompleteTo: 9, Full: true}, nil
	}}
	r, m := newReader(store, &fakeFleet{members: []string{"one"}, zones: []string{"z"}}, "one")
	m.Merge(knownEra1(), time.Now())
	for range 4 {
		r.readOnce(t.Context())
	}
	is.Equal(store.calls, []string{"watch", "snapshot", "watch", "watch"})
	is.Equal(m.Position(), mirror.Position{Era: 1, Revision: 9})
}

// A store that names no era may have come back from a copy, too. That can't be told, but costs few calls, and is logged
// once.
func TestStoreWithoutAnEra(t *testing.T) {
	is := is.New(t)
	store := &fakeStore{next: func(call string, _ uint64) (mirror.Delta, error) {
		if call == "watch" {
			return mirror.Delta{}, &HistoryGoneError{}
		}
		return mirror.Delta{CompleteTo: 5, Full: true}, nil
	}}
	core, logs := observer.New(zap.InfoLevel)
	r, m := newReader(store, &fakeFleet{members: []string{"one"}, zones: []string{"z"}}, "one")
	r.log = zap.New(core)
	m.Merge(knownEra1(), time.Now())
	var pauses time.Duration
	for range 20 {
		pauses += r.readOnce(t.Context())
	}
	is.True(pauses > 10*maxRetryDelay/2)
	is.Equal(m.Position(), mirror.Position{Era: 1, Revision: 9})
	is.Equal(logs.FilterMessageSnippet("names no era").Len(), 1)
}
