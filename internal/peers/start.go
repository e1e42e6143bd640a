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
	// seedInterval is how often a seed is asked while few peers are known, or beside them in case the
	// fleet was cut in two; seedSeldom in a large fleet, where silent peers are tried often enough.
	seedInterval           = 2 * time.Second
	largeFleetSeedInterval = 20 * time.Second
	// startupSeedInterval is how often the seeds are asked by a process that has no word at all, one of them where any VM
	// answers, during the first startSpan, after which it has read the store itself: VMs that lost power together
	// start within some tenths of a second. Asked for longer, a large change reaches many VMs twice.
	startupSeedInterval = 50 * time.Millisecond
	startupSeedPeriod   = 300 * time.Millisecond
	// otherZoneStateInterval is how long a VM of another zone that got the whole state has to pass some of it on, or to say that it
	// has it, before a second one of that zone is told: five exchanges within the zone.
	otherZoneStateInterval = 25 * time.Millisecond
	// ownZoneStateInterval is the same in the own zone: a copy takes a strong VM more than a millisecond, and who is put off
	// asks anew 50 ms later.
	ownZoneStateInterval = 3 * time.Millisecond
)

// runSeeds asks the seeds at the start, and later one at a time.
func (m *Manager) runSeeds(ctx context.Context) {
	begun := time.Now()
	var lastContact time.Time
	for first := true; ; first = false {
		starting := m.cfg.Mirror.CompleteTo() == 0 && time.Since(begun) < startupSeedPeriod
		// A large fleet may have shown itself during the pause.
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

// seedTargets returns all seeds as long as no VM is known, then one of them, or while this VM starts one that is likely to
// have the platform's state and not too busy to tell.
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

// localGateway returns the VM that tells this one the platform's state in a large fleet: an envoy of the own zone, which is
// among the first of it to know. The envoys themselves, and the VMs of a small fleet, ask the seeds.
func (m *Manager) localGateway() (string, bool) {
	v := m.currentView()
	if v.live() < largeFleetSize || v.isGateway || len(v.localGateways) == 0 {
		return "", false
	}
	return v.localGateways[rand.N(len(v.localGateways))].Address, true
}

// contactSeed exchanges with a VM, and where that leaves the platform's state to VMs of the own zone, with one of these.
func (m *Manager) contactSeed(ctx context.Context, address string) {
	m.exchange(ctx, address, false)
	if m.cfg.Mirror.CompleteTo() > 0 || !m.isAhead(address) {
		return
	}
	if gateway, ok := m.localGateway(); ok && gateway != address {
		m.exchange(ctx, gateway, false)
	}
}

// deferFullState tells whether the whole state is to be told by others. A VM of another zone in which somebody has it gets
// it there, for between zones its bytes are dear; and who asks right after another of its zone gets it from that one, or
// here a little later, for a seed that tells a third of a fleet that starts stands still for as long as callers wait.
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

// zoneHasState tells whether another VM of the member's zone is known to have the state. Requires mu.
func (m *Manager) zoneHasState(to *pb.FleetMember) bool {
	for address, e := range m.members {
		r := e.record
		if address != to.GetAddress() && r.GetZone() == to.GetZone() && e.live && !r.GetLeaving() && e.progress.completeTo > 0 {
			return true
		}
	}
	return false
}
