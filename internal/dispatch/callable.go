package dispatch

import (
	"time"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/directory"
)

// unavailableReason returns why the service has no leaf to call, and after which delay the request may be retried.
func (r *run) unavailableReason(service string, now time.Time) (Reason, time.Duration) {
	view := r.e.directory.Current()
	if evacuated := view.EvacuatedLeaves[service]; len(evacuated) > 0 {
		return ReasonEvacuated, retryDelay(evacuatedFor(view, evacuated, now))
	}
	return ReasonNoLeaf, retryNoLeaf
}

// evacuatedFor returns how long the zones of the leaves have been evacuated: the shortest of these times.
func evacuatedFor(view *directory.View, leaves []catalog.Leaf, now time.Time) time.Duration {
	shortest := maxRetryDelay
	for _, l := range leaves {
		shortest = min(shortest, now.Sub(view.Evacuations[l.Zone].Since))
	}
	return shortest
}

// mayCallAny reports whether any of the leaves may get the request.
func (r *run) mayCallAny(lists ...[]catalog.Leaf) bool {
	for _, leaves := range lists {
		for _, l := range leaves {
			if r.allowsZone(l.Zone) {
				return true
			}
		}
	}
	return false
}

// allowsZone reports whether leaves in the availability zone may get the request.
func (r *run) allowsZone(zone string) bool {
	return len(r.route.AllowedRegions) == 0 || r.route.AllowsRegion(r.e.regions[zone])
}
