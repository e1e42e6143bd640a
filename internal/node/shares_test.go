package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burdockplank/burdockplank/internal/delegate"
	"github.com/burdockplank/burdockplank/internal/leafpool"
)

// The number of VMs counts as settled once it has not changed for settleInterval, and at maxSettleTime after
// the start in any case.
func TestFleetSizeSettles(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	f := fleetSize{startedAt: now}
	is.True(f.observe(1, now))
	is.True(f.observe(40, now.Add(600*time.Millisecond)))
	is.True(f.observe(40, now.Add(1500*time.Millisecond)))
	is.True(!f.observe(40, now.Add(1600*time.Millisecond)))
	is.True(f.observe(41, now.Add(2*time.Second)))
	is.True(!f.observe(42, now.Add(maxSettleTime)))
}

// The connections to a shard that a route of single requests also leads to belong to the gatherers. Divided by
// 295 VMs, each VM would still get one, which is more than the leaves accept in total and too few for the
// gatherers.
func TestShardAlsoServingSingleRequests(t *testing.T) {
	is := is.New(t)
	s := shares{vmCount: 295, singleServices: map[string]bool{"x": true, "s0": true}, shardServices: map[string]bool{"s0": true, "s1": true}}
	s.plan = delegate.Plan{IsGatherer: true, GathererCount: 15, DelegatorCount: 280}
	is.Equal(s.connectionShare("s0"), leafpool.Share{VMs: 15})
	is.Equal(s.connectionShare("s1"), leafpool.Share{VMs: 15})
	is.Equal(s.connectionShare("x"), leafpool.Share{VMs: 295})
	s.plan = delegate.Plan{ZoneGatherers: []string{"strong"}, GathererCount: 15, DelegatorCount: 280}
	is.Equal(s.connectionShare("s0"), leafpool.Share{VMs: 15, OnDemand: true})
	is.Equal(s.connectionShare("x"), leafpool.Share{VMs: 295})
}

// A VM that has just started and has not heard of the others must not use the whole allowance of extra calls, which
// they use already.
func TestNoShareOfExtraCallsWhileTheFleetIsUnknown(t *testing.T) {
	is := is.New(t)
	is.Equal(shares{vmCount: 1, unsettled: true}.extraCallShare("x"), 0.0)
	is.Equal(shares{vmCount: 4}.extraCallShare("x"), 0.25)
}
