package quarantine

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burdockplank/burdockplank/internal/upstream"
)

func TestWithheldLeaves(t *testing.T) {
	const other = 99
	hold := DefaultSettings().Hold.D()
	up := upstream.State{Incarnation: 1, Connected: true}
	tests := map[string]struct {
		do       func(b *testbed)
		withheld bool
	}{
		"up":              {do: func(*testbed) {}},
		"lost":            {do: func(b *testbed) { b.crash("a") }, withheld: true},
		"back as another": {do: func(b *testbed) { b.leaves["a"] = upstream.State{Incarnation: 2, Connected: true} }, withheld: true},
		"reconnecting":    {do: func(b *testbed) { b.leaves["a"] = upstream.State{Incarnation: 1} }, withheld: true},
		"reconnected":     {do: func(b *testbed) { b.leaves["a"] = upstream.State{Incarnation: 1}; b.Refresh(); b.leaves["a"] = up }},
		"left in order": {do: func(b *testbed) {
			b.leaves["a"] = upstream.State{Incarnation: 1, Connected: true, Leaving: true}
			b.Refresh()
			b.crash("a")
		}},
		"lost long ago": {do: func(b *testbed) { b.crash("a"); b.Refresh(); b.advance(hold) }},
		"another request explains": {do: func(b *testbed) {
			b.crash("a")
			b.Refresh()
			b.receiveCrash(other, "a", 1)
			b.receiveCrash(other, "b", 1)
			b.advance(doubtPeriod)
		}},
		"its own doesn't": {do: func(b *testbed) {
			b.crash("a")
			b.Refresh()
			b.receiveCrash(testKey.Digest, "a", 1)
			b.receiveCrash(testKey.Digest, "b", 1)
			b.advance(doubtPeriod)
		}, withheld: true},
		"one crash doesn't": {do: func(b *testbed) { b.crash("a"); b.Refresh(); b.receiveCrash(other, "a", 1) }, withheld: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(nil)
			tt.do(b)
			is.Equal(b.Withheld("a", testKey.Digest), tt.withheld)
		})
	}
}

// TestExplainedLossWithholdsLeafUntilEvidenceSpreads guards against a second crashing text that ends more leaves than promised: it
// may have been in flight at the loss at another gather, whose word is still on its way. A leaf that is back is free
// after that, and one that stays away gives up its place, where a loss that nothing explains would hold it on.
func TestExplainedLossWithholdsLeafUntilEvidenceSpreads(t *testing.T) {
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
			b.receiveCrash(99, "a", 1)
			b.receiveCrash(99, "b", 1)
			b.advance(doubtPeriod)
			b.leaves["a"] = tt.after
			is.Equal(b.Eligibility("a", testKey.Digest), LeafWithheld)
			is.Equal(b.WithheldFor("a", testKey.Digest), evidencePropagationTime-doubtPeriod)
			is.Equal(b.Withheld("a", testKey.Digest), false) // for an order
			b.advance(evidencePropagationTime - doubtPeriod)
			is.Equal(b.Eligibility("a", testKey.Digest), tt.want)
			is.Equal(b.Eligibility("a", 99), LeafWithheld)
		})
	}
}

// TestEachLossHoldsUntilItsOwnWord: the word that is waited for is that of the newest loss, also where the leaf lost a
// connection before and lived on.
func TestEachLossWithholdsLeafUntilItsOwnEvidenceSpreads(t *testing.T) {
	is := is.New(t)
	b := newBench(nil)
	b.RecordConnectionLoss("a", 1)
	b.advance(2 * DefaultSettings().Hold.D())
	b.crash("a")
	b.RecordConnectionLoss("a", 1)
	b.receiveCrash(99, "a", 1)
	b.receiveCrash(99, "b", 1)
	b.advance(doubtPeriod)
	is.Equal(b.Eligibility("a", testKey.Digest), LeafWithheld)
	is.Equal(b.WithheldFor("a", testKey.Digest), evidencePropagationTime-doubtPeriod)
}

// TestLeafThatWasNeverSeenUpKeepsItsPlace: a gather that has just started doesn't know whether a leaf
// that it can't reach has crashed a moment ago. The next in rank must not be asked in its stead.
func TestNeverConnectedLeafIsWithheld(t *testing.T) {
	is := is.New(t)
	b := newBench(nil)
	b.leaves["d"] = upstream.State{Incarnation: 1, Leaving: true}
	is.Equal(b.Eligibility("d", testKey.Digest), LeafWithheld)
	b.advance(DefaultSettings().Hold.D())
	is.Equal(b.Eligibility("d", testKey.Digest), LeafUnavailable)
}

// TestLeafBackFromOutOfReachIsHeldForNewsOfTheOtherSide: behind a cut a leaf may have crashed at any
// time up to its return, and evidence of that comes only once the VMs of both sides have met.
func TestLeafBackAfterPartitionIsWithheld(t *testing.T) {
	hold := DefaultSettings().Hold.D()
	tests := map[string]struct {
		returned    upstream.State
		withheldFor time.Duration
	}{
		"another incarnation": {returned: upstream.State{Incarnation: 2, Connected: true, Survived: true}, withheldFor: partitionWithholdPeriod},
		"not shown yet":       {returned: upstream.State{Incarnation: 1, Connected: true}, withheldFor: partitionWithholdPeriod},
		"the same":            {returned: upstream.State{Incarnation: 1, Connected: true, Survived: true}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(nil)
			b.leaves["a"] = upstream.State{Incarnation: 1}
			b.Refresh()
			b.advance(2 * hold)
			b.Refresh()
			is.Equal(b.Eligibility("a", testKey.Digest), LeafUnavailable)
			b.leaves["a"] = tt.returned
			for d := time.Duration(0); d < tt.withheldFor; d += hold / 2 {
				is.Equal(b.Eligibility("a", testKey.Digest), LeafWithheld)
				b.advance(hold / 2)
			}
			b.advance(hold / 2)
			is.Equal(b.Eligibility("a", testKey.Digest), LeafEligible)
		})
	}
}
