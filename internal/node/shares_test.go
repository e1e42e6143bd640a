package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burdockplank/burdockplank/internal/delegate"
	"github.com/burdockplank/burdockplank/internal/leafpool"
)

// The fleet counts as known once no VM shows up for a while, and some seconds after the start in any case.
func TestFleetSizeSettles(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	f := fleetSize{started: now}
	is.True(f.unsettled(1, now))
	is.True(f.unsettled(40, now.Add(600*time.Millisecond)))
	is.True(f.unsettled(40, now.Add(1500*time.Millisecond)))
	is.True(!f.unsettled(40, now.Add(1600*time.Millisecond)))
	is.True(f.unsettled(41, now.Add(2*time.Second)))
	is.True(!f.unsettled(42, now.Add(settledMost)))
}

// A shard that a route of single requests leads to as well belongs to those who gather: with its leaves' connections
// divided by 295 VMs each may have one, which is more than the leaves take, and too few for those who gather.
func TestShardThatServesSingleRequestsToo(t *testing.T) {
	is := is.New(t)
	s := shares{vms: 295, single: map[string]bool{"x": true, "s0": true}, shards: map[string]bool{"s0": true, "s1": true}}
	s.plan = delegate.Plan{Gathers: true, Gatherers: 15, Others: 280}
	is.Equal(s.connections("s0"), leafpool.Share{VMs: 15})
	is.Equal(s.connections("s1"), leafpool.Share{VMs: 15})
	is.Equal(s.connections("x"), leafpool.Share{VMs: 295})
	s.plan = delegate.Plan{To: []string{"strong"}, Gatherers: 15, Others: 280}
	is.Equal(s.connections("s0"), leafpool.Share{VMs: 15, OnDemand: true})
	is.Equal(s.connections("x"), leafpool.Share{VMs: 295})
}
