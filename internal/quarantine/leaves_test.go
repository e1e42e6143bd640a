package quarantine

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burdockplank/burdockplank/internal/upstream"
)

func TestHeldLeaves(t *testing.T) {
	const other = 99
	hold := DefaultSettings().Hold.D()
	up := upstream.State{Incarnation: 1, Connected: true}
	tests := map[string]struct {
		do   func(b *bench)
		held bool
	}{
		"up":              {do: func(*bench) {}},
		"lost":            {do: func(b *bench) { b.crash("a") }, held: true},
		"back as another": {do: func(b *bench) { b.leaves["a"] = upstream.State{Incarnation: 2, Connected: true} }, held: true},
		"reconnecting":    {do: func(b *bench) { b.leaves["a"] = upstream.State{Incarnation: 1} }, held: true},
		"reconnected":     {do: func(b *bench) { b.leaves["a"] = upstream.State{Incarnation: 1}; b.Refresh(); b.leaves["a"] = up }},
		"left in order": {do: func(b *bench) {
			b.leaves["a"] = upstream.State{Incarnation: 1, Connected: true, Leaving: true}
			b.Refresh()
			b.crash("a")
		}},
		"lost long ago": {do: func(b *bench) { b.crash("a"); b.Refresh(); b.pass(hold) }},
		"another request explains": {do: func(b *bench) {
			b.crash("a")
			b.Refresh()
			b.heard(other, "a", 1)
			b.heard(other, "b", 1)
			b.pass(doubtFor)
		}},
		"its own doesn't": {do: func(b *bench) {
			b.crash("a")
			b.Refresh()
			b.heard(bad.Digest, "a", 1)
			b.heard(bad.Digest, "b", 1)
			b.pass(doubtFor)
		}, held: true},
		"one crash doesn't": {do: func(b *bench) { b.crash("a"); b.Refresh(); b.heard(other, "a", 1) }, held: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(nil)
			tt.do(b)
			is.Equal(b.Held("a", bad.Digest), tt.held)
		})
	}
}

// TestExplainedLossHoldsUntilWordIsHere guards against a second crashing text that ends more leaves than promised: it
// may have been in flight at the loss at another gather, whose word is still on its way. A leaf that is back is free
// after that, and one that stays away gives up its place, where a loss that nothing explains would hold it on.
func TestExplainedLossHoldsUntilWordIsHere(t *testing.T) {
	for name, tt := range map[string]struct {
		after upstream.State
		want  Eligibility
	}{
		"stays away": {upstream.State{Leaf: "a", Incarnation: 1, Leaving: true}, LeafUnavailable},
		"comes back": {upstream.State{Leaf: "a", Incarnation: 2, Connected: true}, LeafEligible},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(nil)
			b.crash("a")
			b.Refresh()
			b.heard(99, "a", 1)
			b.heard(99, "b", 1)
			b.pass(doubtFor)
			b.leaves["a"] = tt.after
			is.Equal(b.Eligibility("a", bad.Digest), LeafWithheld)
			is.Equal(b.WithheldFor("a", bad.Digest), wordFor-doubtFor)
			is.Equal(b.Held("a", bad.Digest), false) // for an order
			b.pass(wordFor - doubtFor)
			is.Equal(b.Eligibility("a", bad.Digest), tt.want)
			is.Equal(b.Eligibility("a", 99), LeafWithheld)
		})
	}
}

// TestEachLossHoldsUntilItsOwnWord: the word that is waited for is that of the newest loss, also where the leaf lost a
// connection before and lived on.
func TestEachLossHoldsUntilItsOwnWord(t *testing.T) {
	is := is.New(t)
	b := newBench(nil)
	b.RecordConnectionLoss("a", 1)
	b.pass(2 * DefaultSettings().Hold.D())
	b.crash("a")
	b.RecordConnectionLoss("a", 1)
	b.heard(99, "a", 1)
	b.heard(99, "b", 1)
	b.pass(doubtFor)
	is.Equal(b.Eligibility("a", bad.Digest), LeafWithheld)
	is.Equal(b.WithheldFor("a", bad.Digest), wordFor-doubtFor)
}

// TestLeafThatWasNeverSeenUpKeepsItsPlace: a gather that has just started doesn't know whether a leaf
// that it can't reach has crashed a moment ago. The next in rank must not be asked in its stead.
func TestLeafThatWasNeverSeenUpKeepsItsPlace(t *testing.T) {
	is := is.New(t)
	b := newBench(nil)
	b.leaves["d"] = upstream.State{Incarnation: 1, Leaving: true}
	is.Equal(b.Eligibility("d", bad.Digest), LeafWithheld)
	b.pass(DefaultSettings().Hold.D())
	is.Equal(b.Eligibility("d", bad.Digest), LeafUnavailable)
}

// TestLeafBackFromOutOfReachIsHeldForNewsOfTheOtherSide: behind a cut a leaf may have crashed at any
// time up to its return, and evidence of that comes only once the VMs of both sides have met.
func TestLeafBackFromOutOfReachIsHeldForNewsOfTheOtherSide(t *testing.T) {
	hold := DefaultSettings().Hold.D()
	tests := map[string]struct {
		back upstream.State
		held time.Duration
	}{
		"another incarnation": {back: upstream.State{Incarnation: 2, Connected: true, Survived: true}, held: reunionHold},
		"not shown yet":       {back: upstream.State{Incarnation: 1, Connected: true}, held: reunionHold},
		"the same":            {back: upstream.State{Incarnation: 1, Connected: true, Survived: true}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(nil)
			b.leaves["a"] = upstream.State{Incarnation: 1}
			b.Refresh()
			b.pass(2 * hold)
			b.Refresh()
			is.Equal(b.Eligibility("a", bad.Digest), LeafUnavailable)
			b.leaves["a"] = tt.back
			for d := time.Duration(0); d < tt.held; d += hold / 2 {
				is.Equal(b.Eligibility("a", bad.Digest), LeafWithheld)
				b.pass(hold / 2)
			}
			b.pass(hold / 2)
			is.Equal(b.Eligibility("a", bad.Digest), LeafEligible)
		})
	}
}
