package syncd

import (
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// viewTTL is how long a view may be sent to further streams. Its ages count from when it was made.
const viewTTL = 200 * time.Millisecond

// viewCache builds the view once for all streams. It is safe for concurrent use.
type viewCache struct {
	m *Manager

	mu sync.Mutex
	// view is that of the epoch, built at made; all guarded by mu.
	view  *pb.View
	epoch uint64
	made  time.Time
}

func newViewCache(m *Manager) *viewCache { return &viewCache{m: m} }

// get returns the full view without a bundle, and its epoch. The caller must not modify the view.
func (c *viewCache) get(now time.Time) (*pb.View, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// The epoch is read first, so that a change during the build counts as not yet seen.
	epoch := c.m.changed.Epoch()
	if c.view == nil || epoch != c.epoch || now.Sub(c.made) > viewTTL {
		c.view, c.epoch, c.made = c.make(now), epoch, now
	}
	return c.view, c.epoch
}

func (c *viewCache) make(now time.Time) *pb.View {
	v := c.newView(now)
	v.Vms = c.m.members.View()
	v.Departures = c.m.evidence.Departures(now)
	v.Crashes = c.m.evidence.Crashes(now)
	if l := c.m.content.List(); l != nil {
		v.Upstreams = l.Upstreams
		v.Departures = append(v.Departures, listDepartures(l.Upstreams)...)
	}
	return v
}

// listDepartures returns a departure for each upstream that is leaving according to the list. They
// apply while the list says so and are not spread, because each VM has the list.
func listDepartures(upstreams []*pb.Upstream) (out []*pb.Departure) {
	for _, u := range upstreams {
		if u.GetLeaving() {
			out = append(out, &pb.Departure{
				Leaf: u.GetId(), Source: pb.DepartureSource_DEPARTURE_SOURCE_LIST, Age: durationpb.New(0),
			})
		}
	}
	return out
}

// unchanged returns a view without the lists.
func (c *viewCache) unchanged(now time.Time) *pb.View {
	v := c.newView(now)
	v.Unchanged = true
	return v
}

// newView returns a view with the fields that every view has.
func (c *viewCache) newView(now time.Time) *pb.View {
	v := &pb.View{Vm: c.m.cfg.Settings.VM.ID, Zone: c.m.cfg.Settings.VM.Zone, HighestVersion: c.m.highestVersion()}
	if b := c.m.content.Bundle(); b != nil {
		v.BundleVersion = b.Version
	}
	if age, known := c.m.spread.PlatformAge(now); known {
		v.PlatformAge = durationpb.New(age)
	}
	return v
}

// highestVersion returns the highest bundle version known anywhere in the fleet.
func (m *Manager) highestVersion() uint64 { return max(m.content.Highest(), m.spread.HighestVersion()) }

// copyView returns a copy of a view without a bundle. The copy shares the lists of v.
func copyView(v *pb.View) *pb.View {
	return &pb.View{
		BundleVersion: v.GetBundleVersion(), Vms: v.GetVms(),
		Departures: v.GetDepartures(), Crashes: v.GetCrashes(), PlatformAge: v.GetPlatformAge(),
		Vm: v.GetVm(), Zone: v.GetZone(), Upstreams: v.GetUpstreams(),
		HighestVersion: v.GetHighestVersion(), Unchanged: v.GetUnchanged(),
	}
}
