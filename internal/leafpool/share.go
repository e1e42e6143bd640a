package leafpool

import (
	"time"

	"github.com/burdockplank/burdockplank/internal/catalog"
)

const (
	// plannedLimitFraction is the part of a leaf's connection limit that the fleet plans with; the rest is for
	// connections of VMs that were replaced and that the leaf has not dropped yet.
	plannedLimitFraction = 0.8
	// maxConnsPerLeaf bounds the connections of one VM to a leaf: a leaf runs few requests at once, and
	// what it can't run would only wait there.
	maxConnsPerLeaf = 4
	// startupPeriod is how long after its start a VM has youngMost connections to a leaf at most, opened ahead in its own
	// zone only. After a loss of power a leaf counts the dead connections of all VMs for some seconds more, and what
	// is left of its limit has to do for all of them: taken by the first to start, the others find no leaf.
	startupPeriod   = 6 * time.Second
	startupMaxConns = 1
	// startupOpenInterval is the pace at which a leaf gets the connections that VMs open once they aren't young any more. Each
	// holds a slot for 1 to 6 ms; of 300 that come at once a leaf with a full queue resets a quarter.
	startupOpenInterval = 6 * time.Millisecond
	// onDemandMaxConns is how many connections a VM may have to a leaf that it calls in exceptional cases only.
	onDemandMaxConns = 1
)

// Share is this VM's part in the connections to the leaves of a service.
type Share struct {
	// VMs that call them as a rule, this one among them or beside them.
	VMs int
	// OnDemand is set where this VM calls them in exceptional cases only: it opens a connection when it needs one,
	// and closes it soon after.
	OnDemand bool
	// FleetUnknown is set while it isn't known yet who calls them: no connection is opened ahead.
	FleetUnknown bool
}

// startupTime is how long this VM is young for the leaves of a service that so many VMs call. VMs that started together
// open their connections one after the other then.
func (p *Pool) startupTime(vms int) time.Duration {
	return startupPeriod + time.Duration(p.startupStagger*float64(vms)*float64(startupOpenInterval))
}

// maxConns is how many connections this VM may have to the leaf. Requires mu.
func (p *Pool) maxConns(l catalog.Leaf) int {
	share := p.share(l.Service)
	limit := p.limits[l.Service]
	switch {
	case share.OnDemand:
		return onDemandMaxConns
	case limit <= 0:
		return maxConnsPerLeaf
	case time.Since(p.started) < p.startupTime(share.VMs):
		return startupMaxConns
	}
	return min(max(1, int(float64(limit)*plannedLimitFraction)/max(share.VMs, 1)), maxConnsPerLeaf)
}
