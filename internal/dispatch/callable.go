package dispatch

import (
	"time"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/directory"
)

// mayCall reports whether the leaf may get the request: its region is one of the route's, and if it is cold, it still
// tolerates a request of this VM.
func (r *run) mayCall(l catalog.Leaf, view *directory.View, now time.Time) bool {
	if !r.allowsZone(l.Zone) {
		return false
	}
	rate, bounded := coldRate(l, view, now)
	return !bounded || r.e.coldLeaves.Available(l, rate)
}

// mayCallAny reports whether any of the leaves may get the request.
func (r *run) mayCallAny(now time.Time, lists ...[]catalog.Leaf) bool {
	for _, leaves := range lists {
		for _, l := range leaves {
			if r.mayCall(l, r.view, now) {
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

// coldRate returns the rate of requests that the leaf tolerates now; bounded is false if it is not cold or its service
// has no such rate.
func coldRate(l catalog.Leaf, view *directory.View, now time.Time) (rate float64, bounded bool) {
	if !l.Cold(now) || view.Config == nil {
		return 0, false
	}
	rate = view.Config.Services[l.Service].WarmupRate
	return rate, rate != 0
}

// takeCold counts the request where the leaf is cold, and reports whether it may be sent.
func (r *run) takeCold(l catalog.Leaf, now time.Time) bool {
	rate, bounded := coldRate(l, r.e.directory.Current(), now)
	return !bounded || r.e.coldLeaves.Take(l, rate)
}

// unavailableReason returns why the group has no leaf to call, and after which delay the request may be retried.
func (r *run) unavailableReason(service string, now time.Time) (Reason, time.Duration) {
	view := r.e.directory.Current()
	coldFor := time.Duration(0)
	for _, l := range view.Leaves[service] {
		if r.allowsZone(l.Zone) && l.Cold(now) {
			coldFor = max(coldFor, l.ColdUntil.Sub(now))
		}
	}
	switch {
	case coldFor > 0:
		return ReasonColdLeaves, min(coldFor, coldWindow)
	case len(view.EvacuatedLeaves[service]) > 0:
		return ReasonEvacuated, retryDelay(evacuatedFor(view, view.EvacuatedLeaves[service], now))
	}
	return ReasonNoLeaf, retryNoLeaf
}

// coldWindow is how long after a request that a cold leaf got it tolerates another one.
const coldWindow = time.Second

// evacuatedFor returns how long the zones of the leaves have been evacuated: the shortest of these times.
func evacuatedFor(view *directory.View, leaves []catalog.Leaf, now time.Time) time.Duration {
	shortest := maxRetryDelay
	for _, l := range leaves {
		shortest = min(shortest, now.Sub(view.Evacuations[l.Zone].Since))
	}
	return shortest
}
