package peers

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// ownZoneFraction is the fraction of rounds that stay in the own zone, because traffic between zones is
	// expensive.
	ownZoneFraction = 0.75
	// largeFleetSize is the number of VMs from which a fleet counts as large. In a smaller one all VMs exchange
	// with VMs of other zones. In a large one the gateways of each zone do, and the others seldom: if all did, the
	// exchanges and updates of 64 VMs would take as many bytes between zones as the calls to leaves.
	largeFleetSize = 20
	// gatewaysPerZone is how many VMs of a zone exchange with other zones. The second one is a standby for the
	// first.
	gatewaysPerZone = 2
	// gatewayOwnZoneFraction and nonGatewayOwnZoneFraction are the fractions of rounds that stay in the own zone in
	// a large fleet. The remaining rounds of the other VMs carry updates across zones if the gateways are lost.
	gatewayOwnZoneFraction, nonGatewayOwnZoneFraction = 0.5, 0.97
	// remoteSilenceFactor multiplies the time after which a VM of another zone counts as silent in a large fleet:
	// its heartbeat comes by way of two gateways, which takes 3 s and at times more.
	remoteSilenceFactor = 2
	// silentRetryFraction is the fraction of rounds that try a silent peer.
	silentRetryFraction = 0.1
	// relayedPushFleetSize is the number of live peers from which peers relay updates. In a smaller fleet an update
	// goes to all peers at once.
	relayedPushFleetSize = 10
	// ownZonePushFanout is the number of peers of the own zone to which an update goes in a larger fleet. Each of
	// them relays it. The gateways of the zone get it in addition.
	ownZonePushFanout = 3
)

// fleetView is the membership from which peers are chosen.
type fleetView struct {
	local, remote []VM
	silent        []string
	// Gateways of the own zone and of all other zones, without this VM.
	localGateways, remoteGateways []VM
	// isGateway is set if this VM is a gateway.
	isGateway bool
}

func (v *fleetView) live() int { return len(v.local) + len(v.remote) }

// currentView returns the view of the current members.
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

// gatewaysOf returns the gateways of a zone: the largest VMs, which also call most of the leaves. VMs of equal size
// are ordered by a hash of the address, so that all VMs agree.
func gatewaysOf(zone []VM) []VM {
	slices.SortFunc(zone, func(a, b VM) int {
		return cmp.Or(cmp.Compare(b.Millicores, a.Millicores), cmp.Compare(xxhash.Sum64String(a.Address), xxhash.Sum64String(b.Address)))
	})
	return zone[:min(gatewaysPerZone, len(zone))]
}

// Gateways returns the gateways of each zone, the first one being preferred. VMs that are about to end, also this one,
// are none.
func (m *Manager) Gateways() map[string][]VM {
	zones := make(map[string][]VM)
	for _, vm := range m.VMs() {
		zones[vm.Zone] = append(zones[vm.Zone], vm)
	}
	if self, leaving := m.selfVM(); !leaving {
		zones[self.Zone] = append(zones[self.Zone], self)
	}
	for zone, vms := range zones {
		zones[zone] = gatewaysOf(vms)
	}
	return zones
}

// selfVM returns this VM, and whether it is about to end.
func (m *Manager) selfVM() (VM, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return vmOf(&m.self), m.self.GetLeaving()
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

// pushTargets returns the peers that get an update at once.
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

// onePerZone returns a random peer of each zone.
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
