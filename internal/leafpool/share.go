package leafpool

import (
	"time"

	"github.com/burdockplank/burdockplank/internal/catalog"
)

const (
	// plannedLimitFraction is the fraction of a leaf's connection limit that the fleet plans with. The rest is for
	// connections of replaced VMs that the leaf has not dropped yet.
	plannedLimitFraction = 0.8
	// maxConnsPerLeaf bounds the connections of one VM to a leaf. A leaf runs few requests at once, and those that
	// it can't run would only wait there.
	maxConnsPerLeaf = 4
	// startupPeriod is how long after its start a VM has at most startupMaxConns connections to a leaf, opened in
	// advance in its own zone only. After a power loss a leaf counts the dead connections of all VMs for some more
	// seconds, and all VMs have to share the rest of its limit. If the first VMs to start took it, the others would
	// find no leaf.
	startupPeriod   = 6 * time.Second
	startupMaxConns = 1
	// startupOpenInterval is the interval between the connections that a leaf gets as VMs end their startup period.
	// Each one occupies a slot for 1 to 6 ms; of 300 that arrive at once, a leaf with a full queue resets a
	// quarter.
	startupOpenInterval = 6 * time.Millisecond
	// onDemandMaxConns is how many connections a VM may have to a leaf that it calls only in exceptional cases.
	onDemandMaxConns = 1
)

// Share is this VM's share of the connections to the leaves of a service.
type Share struct {
	// VMs is the number of VMs that regularly call the leaves, whether or not this VM is one of them.
	VMs int
	// OnDemand is set if this VM calls the leaves only in exceptional cases. It then opens a connection when it
	// needs one, and closes it soon after.
	OnDemand bool
	// FleetUnknown is set while it is not known yet which VMs call the leaves. No connection is opened in advance
	// then.
	FleetUnknown bool
}

// startupTime returns the length of this VM's startup period for the leaves of a service that the given number of
// VMs call. VMs that started together end it one after the other, and so open their connections one after the
// other.
func (p *Pool) startupTime(vms int) time.Duration {
	return startupPeriod + time.Duration(p.startupStagger*float64(vms)*float64(startupOpenInterval))
}

// maxConns returns how many connections this VM may have to the leaf. The caller must hold mu.
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
