package soak

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/burdockplank/burdockplank/internal/standin/hosted"
	"github.com/burdockplank/burdockplank/internal/wait"
	"github.com/burdockplank/burdockplank/internal/warmup"
)

const (
	// evacuationBound is how long after its request nothing more may reach the leaves of an evacuated zone.
	evacuationBound = configBound
	// leafWarmup is how long a leaf is cold after its start and after an evacuation of its zone. warmupRate is how many
	// requests a second it tolerates meanwhile, a third of what it gets otherwise.
	leafWarmup = 1500 * time.Millisecond
	warmupRate = 4
	// leafHeartbeat is how long after it became cold a running leaf writes its entry.
	leafHeartbeat = 600 * time.Millisecond
)

// warmupLimit is the platform's bound of the requests to a cold leaf.
var warmupLimit = warmup.Limit{Overage: 1.5, Slack: 5}

// Evacuation is the time in which an availability zone was evacuated.
type Evacuation struct {
	Zone     string
	From, To time.Time
}

// Cold is the time in which a leaf was cold.
type Cold struct {
	Leaf     string
	Born     int64
	From, To time.Time
}

// evacuate evacuates the zone until its bound has passed and the time more. Its leaves are cold at the end, and say so
// at their next heartbeat. It does nothing if another event has evacuated the zone.
func (tb *testbed) evacuate(ctx context.Context, zone string, d time.Duration) {
	if !tb.beginEvacuation(zone) {
		return
	}
	from := time.Now()
	tb.store.Evacuate(zone)
	wait.For(ctx, evacuationBound+slack+d)
	to := time.Now()
	leaves := tb.placementsIn(zone)
	for _, p := range leaves {
		if leaf := p.current(); leaf != nil {
			tb.setCold(leaf)
		}
	}
	tb.store.EndEvacuation(zone)
	tb.endEvacuation(Evacuation{zone, from, to})
	wait.For(ctx, leafHeartbeat)
	for _, p := range leaves {
		tb.writeEntry(p, "ready")
	}
}

// beginEvacuation reports whether the zone was not evacuated, and notes that it is.
func (tb *testbed) beginEvacuation(zone string) bool {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if tb.evacuating[zone] {
		return false
	}
	tb.evacuating[zone] = true
	return true
}

func (tb *testbed) endEvacuation(e Evacuation) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	delete(tb.evacuating, e.Zone)
	tb.evacuations = append(tb.evacuations, e)
}

// placementsIn returns the placements of a zone.
func (tb *testbed) placementsIn(zone string) []*placement {
	return slices.DeleteFunc(slices.Clone(tb.placements), func(p *placement) bool { return p.zone != zone })
}

// setCold makes the leaf cold from now on.
func (tb *testbed) setCold(leaf *hosted.Leaf) {
	leaf.SetCold(leafWarmup)
	tb.mu.Lock()
	defer tb.mu.Unlock()
	now := time.Now()
	tb.colds = append(tb.colds, Cold{leaf.ID, leaf.Born, now, now.Add(leafWarmup)})
}

// checkEvacuations reports requests that reached a leaf of an evacuated zone later than evacuationBound after the
// evacuation was requested, from a VM that was undisturbed from settleTime before that until the request arrived.
func checkEvacuations(h *History, x *index) []string {
	var out []string
	for i := range h.Runs {
		r := &h.Runs[i]
		c := x.calls[r.ID]
		if r.Misdirected || c == nil {
			continue
		}
		for _, e := range h.Evacuations {
			if r.Zone == e.Zone && r.At.After(e.From.Add(evacuationBound+slack)) && r.At.Before(e.To) && h.undisturbed(c.VM, e.From, r.At) {
				out = append(out, fmt.Sprintf("request %s of VM %d reached leaf %s %v after zone %s was evacuated", r.ID, c.VM, r.Leaf, r.At.Sub(e.From).Round(time.Millisecond), e.Zone))
			}
		}
	}
	return out
}

// checkCold reports cold leaves that got more requests in a second than the platform allows, from all VMs together.
func checkCold(h *History, _ *index) []string {
	const allowed = int(warmupRate*1.5 + 5)
	var out []string
	for _, c := range h.Colds {
		var arrivals []time.Time
		for i := range h.Runs {
			if r := &h.Runs[i]; r.Leaf == c.Leaf && r.Born == c.Born && !r.Misdirected && r.At.After(c.From) && r.At.Before(c.To) {
				arrivals = append(arrivals, r.At)
			}
		}
		if n := busiestSecond(arrivals); n > allowed {
			out = append(out, fmt.Sprintf("cold leaf %s got %d requests in a second; %d are allowed", c.Leaf, n, allowed))
		}
	}
	return out
}

// busiestSecond returns the most of the times that lie within one second.
func busiestSecond(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	busiest, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= time.Second {
			first++
		}
		busiest = max(busiest, i-first+1)
	}
	return busiest
}
