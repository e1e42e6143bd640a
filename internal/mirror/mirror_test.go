package mirror

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/burdockplank/burdockplank/internal/notify"
	_ "github.com/burdockplank/burdockplank/internal/rapidseed"
)

// newest returns the items of the newest era, including deletions.
func newest(m *Mirror) []ReceivedItem { return m.State(time.Now())[0].Items }

// itemsText returns the items as text, sorted.
func itemsText(m *Mirror) string {
	var out []string
	for _, h := range newest(m) {
		if !h.Deleted {
			out = append(out, fmt.Sprintf("%s@%d=%s", h.Key, h.Revision, h.Value))
		}
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}

func TestHigherRevisionWins(t *testing.T) {
	is := is.New(t)
	n := notify.New()
	m := New(n)
	now := time.Now()
	is.True(m.Merge(Delta{Items: []Item{{Key: "a", Revision: 5, Value: []byte("new")}}, CompleteTo: 5}, now))
	is.True(!m.Merge(Delta{Items: []Item{{Key: "a", Revision: 3, Value: []byte("old")}}, CompleteTo: 3}, now))
	is.True(!m.Merge(Delta{Items: []Item{{Key: "a", Revision: 4, Deleted: true}}, CompleteTo: 4}, now))
	is.Equal(itemsText(m), "a@5=new")
	is.Equal(m.CompleteTo(), uint64(5))
	is.Equal(n.Epoch(), uint64(1))
}

func TestFullDeltaDeletesAbsentItems(t *testing.T) {
	is := is.New(t)
	m := New(notify.New())
	now := time.Now()
	m.Merge(Delta{Items: []Item{{Key: "a", Revision: 2}, {Key: "b", Revision: 3}, {Key: "c", Revision: 9}}, CompleteTo: 3}, now)
	m.Merge(Delta{Items: []Item{{Key: "b", Revision: 3}}, CompleteTo: 6, Full: true}, now)
	is.Equal(itemsText(m), "b@3= c@9=") // c is newer than the full delta
	is.Equal(m.CompleteTo(), uint64(6))
}

// A delta from a revision that the copy has not reached leaves a gap and must not advance completeTo, because the
// changes in the gap would never be requested.
func TestDeltaBeyondGapDoesNotAdvanceCompleteTo(t *testing.T) {
	is := is.New(t)
	m := New(notify.New())
	m.Merge(Delta{Items: []Item{{Key: "a", Revision: 9}}, CompleteFrom: 7, CompleteTo: 9}, time.Now())
	is.Equal(itemsText(m), "a@9=")
	is.Equal(m.CompleteTo(), uint64(0))
}

func TestPrunedTombstoneMakesNextDeltaFull(t *testing.T) {
	is := is.New(t)
	a, b := New(notify.New()), New(notify.New())
	now := time.Now()
	d := Delta{Items: []Item{{Key: "x", Revision: 2}, {Key: "y", Revision: 3}}, CompleteTo: 3}
	a.Merge(d, now)
	b.Merge(d, now)
	a.Merge(Delta{Items: []Item{{Key: "x", Revision: 4, Deleted: true}}, CompleteFrom: 3, CompleteTo: 4}, now)
	later := now.Add(tombstoneRetention + time.Second)
	a.Merge(Delta{CompleteFrom: 4, CompleteTo: 5}, later)
	b.Merge(a.Since(b.Progress(), later), later)
	is.Equal(itemsText(b), "y@3=")
	is.Equal(b.CompleteTo(), uint64(5))
}

// A copy that has pruned a deletion gets the item from a copy that never learned of it. Found by
// TestCopiesConverge.
func TestStaleCopyDoesNotRestoreDeletedItem(t *testing.T) {
	is := is.New(t)
	m := New(notify.New())
	now := time.Now()
	m.Merge(Delta{Items: []Item{{Key: "b", Revision: 2, Deleted: true}}, CompleteTo: 2}, now)
	later := now.Add(tombstoneRetention + time.Second)
	m.Merge(Delta{CompleteFrom: 2, CompleteTo: 3}, later)
	is.Equal(len(newest(m)), 0)
	m.Merge(Delta{Items: []Item{{Key: "b", Revision: 1}}, CompleteTo: 1}, later)
	is.Equal(itemsText(m), "")
}

// A copy that started from a full delta knows of no earlier deletion, so it sends a full delta to a copy that is
// behind. Found by TestCopiesConverge.
func TestCopyFromFullDeltaSendsFullDelta(t *testing.T) {
	is := is.New(t)
	fromFull, behind := New(notify.New()), New(notify.New())
	now := time.Now()
	behind.Merge(Delta{Items: []Item{{Key: "a", Revision: 2}}, CompleteTo: 3}, now)
	fromFull.Merge(Delta{Items: []Item{{Key: "b", Revision: 6}}, CompleteTo: 6, Full: true}, now) // a was deleted at 4
	behind.Merge(fromFull.Since(behind.Progress(), now), now)
	is.Equal(itemsText(behind), "b@6=")
	is.Equal(behind.CompleteTo(), uint64(6))
}

// Copies that exchange deltas in any order while the store keeps changing never go back to an older revision, and
// agree with the store in the end.
func TestCopiesConverge(t *testing.T) { rapid.Check(t, copiesConverge) }

func FuzzCopiesConverge(f *testing.F) { f.Fuzz(rapid.MakeFuzz(copiesConverge)) }

func copiesConverge(t *rapid.T) {
	now := time.Now()
	store := New(notify.New())
	copies := []*Mirror{New(notify.New()), New(notify.New()), New(notify.New())}
	highest := make([]map[string]uint64, len(copies))
	for i := range highest {
		highest[i] = make(map[string]uint64)
	}
	revision := uint64(0)
	steps := rapid.IntRange(1, 60).Draw(t, "steps")
	for range steps {
		now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pass")) * time.Second)
		if rapid.Bool().Draw(t, "write") {
			revision++
			key := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key")
			it := Item{Key: key, Revision: revision, Value: []byte{byte(revision)}, Deleted: rapid.Bool().Draw(t, "delete")}
			store.Merge(Delta{Items: []Item{it}, CompleteFrom: revision - 1, CompleteTo: revision}, now)
			continue
		}
		to := rapid.IntRange(0, len(copies)-1).Draw(t, "to")
		from := store
		if i := rapid.IntRange(0, len(copies)).Draw(t, "from"); i < len(copies) {
			from = copies[i]
		}
		// The sender may overestimate the receiver's completeTo.
		believed := copies[to].CompleteTo() + uint64(rapid.IntRange(0, 2).Draw(t, "wrong"))
		copies[to].Merge(from.Since(Progress{{Revision: believed}}, now), now)
		for _, h := range newest(copies[to]) {
			if h.Revision < highest[to][h.Key] {
				t.Fatalf("%s went back from %d to %d", h.Key, highest[to][h.Key], h.Revision)
			}
			highest[to][h.Key] = h.Revision
		}
	}
	for _, c := range copies {
		c.Merge(store.Since(c.Progress(), now), now)
		if itemsText(c) != itemsText(store) {
			t.Fatalf("copy %q, store %q", itemsText(c), itemsText(store))
		}
	}
}

// A part of an era that the copy has not begun leaves out what the store had before, and would read as its removal.
func TestPartOfANewEraIsNotMerged(t *testing.T) {
	is := is.New(t)
	m := New(notify.New())
	now := time.Now()
	m.Merge(Delta{Era: 1, Items: []Item{{Key: "a", Revision: 5}}, CompleteTo: 5, Full: true}, now)
	is.True(!m.Merge(Delta{Era: 2, Items: []Item{{Key: "b", Revision: 4}}, CompleteFrom: 3, CompleteTo: 4}, now))
	is.Equal(m.Position(), Position{1, 5})
	is.True(m.Merge(Delta{Era: 2, Items: []Item{{Key: "a", Revision: 2}, {Key: "b", Revision: 4}}, CompleteTo: 4, Full: true}, now))
	is.Equal(m.Progress(), Progress{{2, 4}, {1, 5}})
	is.Equal(itemsText(m), "a@2= b@4=")
}

// Old knowledge that spreads after the new era began is kept apart, for as long as it is of use: the age of the era goes
// along, so that a VM that starts late doesn't keep it for longer.
func TestEarlierErasAreDropped(t *testing.T) {
	is := is.New(t)
	a, b := New(notify.New()), New(notify.New())
	now := time.Now()
	old := Delta{Era: 1, Items: []Item{{Key: "a", Revision: 5}}, CompleteTo: 5, Full: true}
	a.Merge(old, now)
	a.Merge(Delta{Era: 2, CompleteTo: 4, Full: true}, now)
	later := now.Add(earlierRetention - time.Second)
	b.Merge(a.Since(nil, later), later)
	is.Equal(b.Progress(), Progress{{2, 4}, {1, 5}})
	later = later.Add(time.Second)
	is.Equal(len(a.State(later)), 1)
	is.Equal(len(b.State(later)), 1)
	is.True(!b.Merge(old, later))
	is.Equal(b.Progress(), Progress{{2, 4}})
}

func TestProgressLacks(t *testing.T) {
	for name, tt := range map[string]struct {
		own, other Progress
		want       bool
	}{
		"nothing known":                 {nil, Progress{{1, 3}}, true},
		"other knows nothing":           {Progress{{1, 3}}, nil, false},
		"same":                          {Progress{{1, 3}}, Progress{{1, 3}}, false},
		"other is further":              {Progress{{1, 3}}, Progress{{1, 4}}, true},
		"newer era, lower revision":     {Progress{{1, 9}}, Progress{{2, 3}}, true},
		"older era, higher revision":    {Progress{{2, 3}}, Progress{{1, 9}}, false},
		"more of an era that both hold": {Progress{{2, 3}, {1, 8}}, Progress{{2, 3}, {1, 9}}, true},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(tt.own.Lacks(tt.other), tt.want) })
	}
}
