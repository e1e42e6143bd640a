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
		"up":                  {do: func(*testbed) {}},
		"lost":                {do: func(b *testbed) { b.crash("a") }, withheld: true},
		"another incarnation": {do: func(b *testbed) { b.leaves["a"] = upstream.State{Incarnation: 2, Connected: true} }, withheld: true},
		"reconnecting":        {do: func(b *testbed) { b.leaves["a"] = upstream.State{Incarnation: 1} }, withheld: true},
		"reconnected":         {do: func(b *testbed) { b.leaves["a"] = upstream.State{Incarnation: 1}; b.Refresh(); b.leaves["a"] = up }},
		"announced its departure": {do: func(b *testbed) {
			b.leaves["a"] = upstream.State{Incarnation: 1, Connected: true, Leaving: true}
			b.Refresh()
			b.crash("a")
		}},
		"lost long ago": {do: func(b *testbed) { b.crash("a"); b.Refresh(); b.advance(hold) }},
		"explained by another request": {do: func(b *testbed) {
			b.crash("a")
			b.Refresh()
			b.receiveCrash(other, "a", 1)
			b.receiveCrash(other, "b", 1)
			b.advance(doubtPeriod)
		}},
		"not explained by the request itself": {do: func(b *testbed) {
			b.crash("a")
			b.Refresh()
			b.receiveCrash(testKey.Digest, "a", 1)
			b.receiveCrash(testKey.Digest, "b", 1)
			b.advance(doubtPeriod)
		}, withheld: true},
		"not explained by one crash of another request": {do: func(b *testbed) { b.crash("a"); b.Refresh(); b.receiveCrash(other, "a", 1) }, withheld: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newTestbed(nil)
			tt.do(b)
			is.Equal(b.Withheld("a", testKey.Digest), tt.withheld)
		})
	}
}

// TestExplainedLossWithholdsLeafUntilEvidenceSpreads guards against a second crashing text that ends
// more leaves than promised: the text may have been in flight at the loss at another gather whose
// evidence has not arrived yet. After that time a leaf that has returned is eligible and one that stays
// away gives up its place. An unexplained loss withholds the leaf for longer.
func TestExplainedLossWithholdsLeafUntilEvidenceSpreads(t *testing.T) {
	for name, tt := range map[string]struct {
		after upstream.State
		want  Eligibility
	}{
		"stays away": {upstream.State{Leaf: "a", Incarnation: 1, Leaving: true}, LeafUnavailable},
		"returns":    {upstream.State{Leaf: "a", Incarnation: 2, Connected: true}, LeafEligible},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newTestbed(nil)
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

// TestEachLossWithholdsLeafUntilItsOwnEvidenceSpreads checks that the wait counts from the newest loss,
// also if the leaf lost a connection before and survived.
func TestEachLossWithholdsLeafUntilItsOwnEvidenceSpreads(t *testing.T) {
	is := is.New(t)
	b := newTestbed(nil)
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

// TestUnseenReturnWithholdsAnExplainedLeaf guards against a second crashing text that ends a leaf twice: nothing was known
// of the leaf for some time, in which it returned and the text crashed it. What explains the loss that was seen does not
// explain that one, and evidence of it may be on its way.
func TestUnseenReturnWithholdsAnExplainedLeaf(t *testing.T) {
	const other = 99
	for name, tt := range map[string]struct {
		unseenFor time.Duration
		want      Eligibility
	}{
		"refused until its return": {unseenFor: shortestRestart, want: LeafEligible},
		"not tried for a second":   {unseenFor: time.Second, want: LeafWithheld},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newTestbed(nil)
			b.crash("a")
			b.Refresh()
			b.receiveCrash(other, "a", 1)
			b.receiveCrash(other, "b", 1)
			b.advance(evidencePropagationTime)
			b.Refresh()
			b.leaves["a"] = upstream.State{Incarnation: 3, Connected: true, UnseenFor: tt.unseenFor}
			is.Equal(b.Eligibility("a", testKey.Digest), tt.want)
			b.advance(evidencePropagationTime)
			is.Equal(b.Eligibility("a", testKey.Digest), LeafEligible)
		})
	}
}

// TestNeverConnectedLeafIsWithheld: a gather that has just started does not know whether a leaf that it
// cannot reach has just crashed. The next in rank must not be called instead.
func TestNeverConnectedLeafIsWithheld(t *testing.T) {
	is := is.New(t)
	b := newTestbed(nil)
	b.leaves["d"] = upstream.State{Incarnation: 1, Leaving: true}
	is.Equal(b.Eligibility("d", testKey.Digest), LeafWithheld)
	b.advance(DefaultSettings().Hold.D())
	is.Equal(b.Eligibility("d", testKey.Digest), LeafUnavailable)
}

// TestLeafBackAfterPartitionIsWithheld: a leaf behind a partition may have crashed at any time up to its
// return, and evidence of that arrives only once the VMs of both sides have exchanged theirs.
func TestLeafBackAfterPartitionIsWithheld(t *testing.T) {
	hold := DefaultSettings().Hold.D()
	tests := map[string]struct {
		returned    upstream.State
		withheldFor time.Duration
	}{
		"another incarnation":       {returned: upstream.State{Incarnation: 2, Connected: true, Survived: true}, withheldFor: partitionWithholdPeriod},
		"incarnation not shown yet": {returned: upstream.State{Incarnation: 1, Connected: true}, withheldFor: partitionWithholdPeriod},
		"same incarnation":          {returned: upstream.State{Incarnation: 1, Connected: true, Survived: true}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newTestbed(nil)
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
