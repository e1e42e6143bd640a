package warmup

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"pgregory.net/rapid"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/peers"
	_ "github.com/burdockplank/burdockplank/internal/rapidseed"
	"github.com/burdockplank/burdockplank/internal/roster"
)

const (
	modelStep     = 20 * time.Millisecond
	modelDuration = 24 * time.Second
	// viewInterval is how often a VM looks at the fleet.
	viewInterval = 500 * time.Millisecond
	// maxModelLag is how late a VM learns of a change of the fleet at most, maxModelDial how long after it was taken a
	// request is sent.
	maxModelLag, maxModelDial = 3 * time.Second, 300 * time.Millisecond
)

var platformLimit = Limit{Overage: 1.5, Slack: 5}

// modelVM is a VM that sends to the cold leaf whatever its allowance lets it.
type modelVM struct {
	name, zone string
	lag, dial  time.Duration
	allowance  *Allowance
	roster     *roster.Roster
	// up and alone hold since when the VM has been in its states, the oldest first: whether a process runs, and whether
	// it is cut off from all other VMs, though not from the leaf.
	up, alone   timeline
	frozenUntil time.Time
	// taken holds when the requests are due to be sent that were taken and not yet sent.
	taken []time.Time
}

// timeline holds the changes of a state that begins as off.
type timeline []time.Time

func (l timeline) on(at time.Time) bool {
	n, _ := slices.BinarySearchFunc(l, at, time.Time.Compare)
	return n%2 == 1
}

// set changes the state to on or off.
func (l *timeline) set(on bool, now time.Time) {
	if (len(*l)%2 == 1) != on {
		*l = append(*l, now)
	}
}

// model is a fleet in virtual time with one cold leaf, in zone 0.
type model struct {
	now     time.Time
	zones   []string
	vms     []*modelVM
	cutZone timeline
	// cut is the zone that is cut off from the others while cutZone is on.
	cut  string
	leaf catalog.Leaf
	rate float64
	// arrivals are the times at which the leaf got a request.
	arrivals []time.Time
	// undivided makes each VM take the whole bound for itself.
	undivided bool
}

func (m *model) clock() time.Time { return m.now }

func (m *model) add(name, zone string, lag, dial time.Duration) *modelVM {
	v := &modelVM{name: name, zone: zone, lag: lag, dial: dial}
	m.vms = append(m.vms, v)
	m.start(v)
	return v
}

// start starts a process of the VM, which knows nothing of an earlier one.
func (m *model) start(v *modelVM) {
	v.allowance = New(v.name, v.zone, m.zones, platformLimit, m.clock, prometheus.NewRegistry())
	v.roster, v.taken = roster.New(), nil
	v.up.set(true, m.now)
}

// sees reports whether v saw the other VM at the time.
func (m *model) sees(v, other *modelVM, at time.Time) bool {
	apart := m.cutZone.on(at) && (v.zone == m.cut) != (other.zone == m.cut)
	return v != other && other.up.on(at) && !apart && !v.alone.on(at) && !other.alone.on(at)
}

// look gives the VM its view of the fleet, which is late by its lag.
func (m *model) look(v *modelVM) {
	var live []peers.VM
	for _, other := range m.vms {
		if m.sees(v, other, m.now.Add(-v.lag)) {
			live = append(live, peers.VM{Address: other.name, Zone: other.zone})
		}
	}
	callers, known := []string{v.name}, len(live)
	for _, vm := range v.roster.Update(live, m.now) {
		if vm.Zone == v.zone {
			callers = append(callers, vm.Address)
		}
	}
	if m.undivided {
		callers, known = callers[:1], 1
		v.allowance.zone, v.allowance.division.zones = m.leaf.Zone, []string{m.leaf.Zone}
	}
	if known > 0 {
		v.allowance.SetCallers(map[Kind][]string{Single: callers}, func(string) Kind { return Single })
	}
}

// reaches reports whether the VM's requests reach the leaf now.
func (m *model) reaches(v *modelVM) bool {
	return !m.cutZone.on(m.now) || (v.zone == m.cut) == (m.leaf.Zone == m.cut)
}

// step lets a step of time pass.
func (m *model) step() {
	m.now = m.now.Add(modelStep)
	for _, v := range m.vms {
		if !v.up.on(m.now) || m.now.Before(v.frozenUntil) {
			continue
		}
		if m.now.UnixNano()%int64(viewInterval) < int64(modelStep) {
			m.look(v)
		}
		m.send(v)
	}
}

// send sends what is due and takes all that the allowance lets the VM send.
func (m *model) send(v *modelVM) {
	v.taken = slices.DeleteFunc(v.taken, func(due time.Time) bool {
		if m.now.Before(due) {
			return false
		}
		if m.reaches(v) {
			m.arrivals = append(m.arrivals, m.now)
		}
		return true
	})
	for v.allowance.Take(m.leaf, m.rate) {
		v.taken = append(v.taken, m.now.Add(v.dial))
	}
}

// busiestSecond returns the most requests that the leaf got in any second.
func (m *model) busiestSecond() int {
	busiest, first := 0, 0
	for i, at := range m.arrivals {
		for at.Sub(m.arrivals[first]) >= time.Second {
			first++
		}
		busiest = max(busiest, i-first+1)
	}
	return busiest
}

// bound returns how many requests the platform allows in a second.
func (m *model) bound() int {
	return int(math.Floor(m.rate*platformLimit.Overage + platformLimit.Slack))
}

// disturb draws one disturbance of the fleet.
func (m *model) disturb(t *rapid.T) {
	v := m.vms[rapid.IntRange(0, len(m.vms)-1).Draw(t, "vm")]
	switch rapid.IntRange(0, 6).Draw(t, "disturbance") {
	case 0:
		v.up.set(false, m.now)
	case 1:
		if !v.up.on(m.now) {
			m.start(v)
		}
	case 2:
		v.frozenUntil = m.now.Add(time.Duration(rapid.IntRange(100, 4000).Draw(t, "frozen")) * time.Millisecond)
	case 3:
		v.alone.set(rapid.Bool().Draw(t, "alone"), m.now)
	case 4:
		if m.cutZone.on(m.now) {
			m.cutZone.set(false, m.now)
			break
		}
		m.cut = m.zones[rapid.IntRange(0, len(m.zones)-1).Draw(t, "cut")]
		m.cutZone.set(true, m.now)
	case 5:
		m.join(t)
	case 6:
		for _, other := range m.vms { // a zone loses power and is back
			if other.zone == v.zone {
				other.up.set(false, m.now.Add(-time.Nanosecond))
				m.start(other)
			}
		}
	}
}

// join adds a VM to a zone.
func (m *model) join(t *rapid.T) {
	zone := m.zones[rapid.IntRange(0, len(m.zones)-1).Draw(t, "zone")]
	m.add(fmt.Sprintf("vm-%d", len(m.vms)), zone,
		time.Duration(rapid.IntRange(0, int(maxModelLag/time.Millisecond)).Draw(t, "lag"))*time.Millisecond,
		time.Duration(rapid.IntRange(0, int(maxModelDial/time.Millisecond)).Draw(t, "dial"))*time.Millisecond)
}

// drawModel plays a drawn fleet with drawn disturbances.
func drawModel(t *rapid.T, undivided bool) *model {
	m := &model{now: time.Unix(1_000_000, 0), undivided: undivided, rate: rapid.SampledFrom([]float64{1, 4, 10, 40}).Draw(t, "rate")}
	for i := range rapid.IntRange(1, 5).Draw(t, "zones") {
		m.zones = append(m.zones, fmt.Sprintf("zone-%d", i))
	}
	m.leaf = catalog.Leaf{ID: catalog.LeafID{Name: fmt.Sprintf("leaf-%d", rapid.IntRange(0, 50).Draw(t, "leaf"))}, Zone: m.zones[0]}
	for range rapid.IntRange(1, 12).Draw(t, "vms") {
		m.join(t)
	}
	for end := m.now.Add(modelDuration); m.now.Before(end); m.step() {
		if m.now.Sub(time.Unix(1_000_000, 0))%(500*time.Millisecond) == 0 && rapid.IntRange(0, 3).Draw(t, "disturb") == 0 {
			m.disturb(t)
		}
	}
	return m
}

// TestColdLeafStaysWithinTheBound guards against more requests to a cold leaf than the platform allows the whole fleet
// in a second, while VMs come, go and are frozen, while some are cut off and restarted there, and while all see the
// fleet late.
func TestColdLeafStaysWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawModel(t, false)
		if n := m.busiestSecond(); n > m.bound() {
			t.Fatalf("%d requests in a second, %d allowed", n, m.bound())
		}
	})
}

// Without the division among the VMs the same model breaks the bound.
func TestModelNoticesAnUndividedBound(t *testing.T) {
	broken := false
	rapid.Check(t, func(t *rapid.T) {
		m := drawModel(t, true)
		broken = broken || m.busiestSecond() > m.bound()
	})
	is.New(t).True(broken)
}
