package peers

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/wait"
)

const (
	// seedInterval is how often a seed is contacted while few peers are known, and in addition to known peers in
	// case the fleet was partitioned. largeFleetSeedInterval applies in a large fleet, where silent peers are
	// retried often enough.
	seedInterval           = 2 * time.Second
	largeFleetSeedInterval = 20 * time.Second
	// startupSeedInterval is how often a process without any state contacts the seeds, or a single VM once any VM
	// is known, during the first startupSeedPeriod. After that period it has read the store itself. VMs that lost
	// power together start within some tenths of a second. With a longer period a large change would reach many VMs
	// twice.
	startupSeedInterval = 50 * time.Millisecond
	startupSeedPeriod   = 300 * time.Millisecond
	// otherZoneStateInterval is the minimum time between two VMs of another zone that get the full state. It lets
	// the first one relay some of the state or announce that it has it, and is long enough for five exchanges
	// within the zone.
	otherZoneStateInterval = 25 * time.Millisecond
	// ownZoneStateInterval is the same for the own zone. A copy of the state takes a larger VM more than a
	// millisecond, and a VM that is put off asks again 50 ms later.
	ownZoneStateInterval = 3 * time.Millisecond
)

// runSeeds contacts all seeds at the start, and later one at a time.
func (m *Manager) runSeeds(ctx context.Context) {
	begun := time.Now()
	var lastContact time.Time
	for first := true; ; first = false {
		starting := m.cfg.Mirror.CompleteTo() == 0 && time.Since(begun) < startupSeedPeriod
		// The fleet may have turned out to be large during the pause.
		if first || starting || m.LiveCount() < largeFleetSize || time.Since(lastContact) >= largeFleetSeedInterval {
			lastContact = time.Now()
			for _, a := range m.seedTargets(first, starting) {
				go m.contactSeed(ctx, a)
			}
		}
		pause := seedInterval
		switch live := m.LiveCount(); {
		case starting:
			pause = startupSeedInterval
		case live == 0:
			pause = exchangeInterval
		case live >= largeFleetSize:
			pause = largeFleetSeedInterval
		}
		if !wait.For(ctx, pause) {
			return
		}
	}
}

// seedTargets returns the VMs to contact: all seeds while no VM is known, afterwards one of them. While this VM
// starts, it is instead a VM that is likely to have the platform's state and time to send it.
func (m *Manager) seedTargets(first, starting bool) []string {
	seeds := slices.DeleteFunc(slices.Clone(m.cfg.Seeds()), func(a string) bool { return a == m.cfg.Self })
	if first || m.LiveCount() == 0 {
		return seeds
	}
	if gateway, ok := m.localGateway(); starting && ok {
		return []string{gateway}
	}
	if len(seeds) == 0 {
		return nil
	}
	return []string{seeds[rand.N(len(seeds))]}
}

// localGateway returns the VM that sends this one the platform's state in a large fleet. It is a gateway of the own
// zone, and gateways are among the first of a zone to have the state. The gateways themselves, and the VMs of a
// small fleet, ask the seeds.
func (m *Manager) localGateway() (string, bool) {
	v := m.currentView()
	if v.live() < largeFleetSize || v.isGateway || len(v.localGateways) == 0 {
		return "", false
	}
	return v.localGateways[rand.N(len(v.localGateways))].Address, true
}

// contactSeed exchanges with a VM. If that VM defers the platform's state to VMs of the own zone, it then exchanges
// with one of these.
func (m *Manager) contactSeed(ctx context.Context, address string) {
	m.exchange(ctx, address, false)
	if m.cfg.Mirror.CompleteTo() > 0 || !m.isAhead(address) {
		return
	}
	if gateway, ok := m.localGateway(); ok && gateway != address {
		m.exchange(ctx, gateway, false)
	}
}

// deferFullState reports whether other VMs should send the full state. A VM of another zone in which some VM has
// the state gets it there, because traffic between zones is expensive. A VM that asks right after another one of
// its zone gets the state from that one, or a little later from this VM: a seed that sends the state to a third of
// a starting fleet would be blocked for as long as callers wait.
func (m *Manager) deferFullState(to *pb.FleetMember, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.members) < largeFleetSize {
		return false
	}
	minInterval, ownZone := otherZoneStateInterval, to.GetZone() == m.cfg.Zone
	if ownZone {
		minInterval = ownZoneStateInterval
	}
	if now.Sub(m.fullStateSentAt[to.GetZone()]) < minInterval || !ownZone && m.zoneHasState(to) {
		return true
	}
	m.fullStateSentAt[to.GetZone()] = now
	return false
}

// zoneHasState reports whether another VM of the member's zone is known to have the state. The caller must hold mu.
func (m *Manager) zoneHasState(to *pb.FleetMember) bool {
	for address, e := range m.members {
		r := e.record
		if address != to.GetAddress() && r.GetZone() == to.GetZone() && e.live && !r.GetLeaving() && e.progress.known.Newest().Revision > 0 {
			return true
		}
	}
	return false
}
