package peers

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// ownZoneFraction is the part of the rounds that stays in the own zone: bytes between zones are dear.
	ownZoneFraction = 0.75
	// largeFleetSize is the size up to which all VMs talk to those of other zones. In a larger one the envoys of
	// each zone do, and the others seldom: with all of them the exchanges and news of 64 VMs take as many bytes
	// between zones as the calls to leaves do.
	largeFleetSize = 20
	// gatewaysPerZone is how many VMs of a zone talk to those of others; a second one stands in for the first.
	gatewaysPerZone = 2
	// gatewayOwnZoneFraction and othersOwnZone are the parts of the rounds that stay in the own zone then. What the
	// others still do brings word across where the envoys are lost.
	gatewayOwnZoneFraction, nonGatewayOwnZoneFraction = 0.5, 0.97
	// remoteSilenceFactor is how many times as long a VM of another zone may show no sign of life then: word of it comes
	// by two envoys, which takes 3 s and at times more.
	remoteSilenceFactor = 2
	// silentRetryFraction is the part of the rounds that tries a peer without signs of life.
	silentRetryFraction = 0.1
	// relayedPushFleetSize is the size of a fleet up to which news goes to all at once; larger ones pass it on.
	relayedPushFleetSize = 10
	// ownZonePushFanout is to how many peers of the own zone news goes in a larger fleet, each of which passes it on;
	// its envoys get it besides.
	ownZonePushFanout = 3
)

// fleetView is what the choice is made from.
type fleetView struct {
	local, remote []VM
	silent        []string
	// envoys of all zones, those of the own zone apart; self may be one of these.
	localGateways, remoteGateways []VM
	// isGateway is set where this VM is one.
	isGateway bool
}

func (v *fleetView) live() int { return len(v.local) + len(v.remote) }

// currentView returns the members as they stand.
func (m *Manager) currentView() *fleetView {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := new(fleetView)
	zones := map[string][]VM{m.cfg.Zone: {vmOf(&m.self)}}
	for address, e := range m.members {
		if !e.live {
			v.silent = append(v.silent, address)
			continue
		}
		p := vmOf(e.record)
		if p.Zone == m.cfg.Zone {
			v.local = append(v.local, p)
		} else {
			v.remote = append(v.remote, p)
		}
		if !e.record.GetLeaving() {
			zones[p.Zone] = append(zones[p.Zone], p)
		}
	}
	for zone, peers := range zones {
		gateways := gatewaysOf(peers)
		if zone != m.cfg.Zone {
			v.remoteGateways = append(v.remoteGateways, gateways...)
			continue
		}
		v.isGateway = slices.ContainsFunc(gateways, m.isSelf)
		v.localGateways = slices.DeleteFunc(gateways, m.isSelf)
	}
	return v
}

func (m *Manager) isSelf(p VM) bool { return p.Address == m.cfg.Self }

// gatewaysOf returns the VMs of a zone that talk to those of others: the strongest, which also see most of the
// leaves, and among equals by a rank on which all agree.
func gatewaysOf(zone []VM) []VM {
	slices.SortFunc(zone, func(a, b VM) int {
		return cmp.Or(cmp.Compare(b.Millicores, a.Millicores), cmp.Compare(xxhash.Sum64String(a.Address), xxhash.Sum64String(b.Address)))
	})
	return zone[:min(gatewaysPerZone, len(zone))]
}

// pickPeer returns a random peer for an exchange.
func (m *Manager) pickPeer() (string, bool) {
	v := m.currentView()
	if len(v.silent) > 0 && (v.live() == 0 || rand.Float64() < silentRetryFraction) {
		return v.silent[rand.N(len(v.silent))], true
	}
	ownFraction, candidates := ownZoneFraction, v.remote
	switch {
	case v.live() < largeFleetSize:
	case v.isGateway:
		ownFraction, candidates = gatewayOwnZoneFraction, v.remoteGateways
	default:
		ownFraction = nonGatewayOwnZoneFraction
	}
	if len(candidates) == 0 || len(v.local) > 0 && rand.Float64() < ownFraction {
		candidates = v.local
	}
	if len(candidates) == 0 {
		return "", false
	}
	return candidates[rand.N(len(candidates))].Address, true
}

// pushTargets returns the peers that are told of news at once.
func (m *Manager) pushTargets() []string {
	v := m.currentView()
	if v.live() < relayedPushFleetSize {
		return addresses(append(v.local, v.remote...))
	}
	rand.Shuffle(len(v.local), func(i, j int) { v.local[i], v.local[j] = v.local[j], v.local[i] })
	targets := append(v.local[:min(ownZonePushFanout, len(v.local))], v.localGateways...)
	switch {
	case v.isGateway:
		targets = append(targets, onePerZone(v.remoteGateways)...)
	case v.live() < largeFleetSize && len(v.remote) > 0:
		targets = append(targets, v.remote[rand.N(len(v.remote))])
	}
	out := addresses(targets)
	slices.Sort(out)
	return slices.Compact(out)
}

// onePerZone returns one peer of each zone by chance.
func onePerZone(peers []VM) []VM {
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	var out []VM
	for _, p := range peers {
		if !slices.ContainsFunc(out, func(o VM) bool { return o.Zone == p.Zone }) {
			out = append(out, p)
		}
	}
	return out
}

func addresses(peers []VM) []string {
	out := make([]string, 0, len(peers))
	for _, p := range peers {
		out = append(out, p.Address)
	}
	return out
}
