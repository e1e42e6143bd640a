package node

import (
	"github.com/burdockplank/burdockplank/internal/delegate"
	"github.com/burdockplank/burdockplank/internal/leafpool"
)

// shares says which part this VM has in what the fleet may use of each service.
type shares struct {
	plan delegate.Plan
	// vms of the fleet.
	vms int
	// single and shards are the services of single requests and of searches.
	single, shards map[string]bool
}

// extra is the part of a service's slack of extra calls.
func (s shares) extra(service string) float64 {
	if s.shards[service] {
		return s.plan.Part()
	}
	return 1 / float64(s.vms)
}

// connections is the share in the connections to a service's leaves. Those of a service that no route names
// yet may become shards.
func (s shares) connections(service string) leafpool.Share {
	if s.single[service] {
		return leafpool.Share{VMs: s.vms}
	}
	return leafpool.Share{VMs: s.plan.Gatherers, Rare: len(s.plan.To) > 0}
}
