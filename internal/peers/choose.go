package peers

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// ownZone is the part of the rounds that stays in the own zone: bytes between zones are dear.
	ownZone = 0.75
	// smallFleet is the size up to which all VMs talk to those of other zones. In a larger one the envoys of
	// each zone do, and the others seldom: with all of them the exchanges and news of 64 VMs take as many bytes
	// between zones as the calls to leaves do.
	smallFleet = 20
	// envoysPerZone is how many VMs of a zone talk to those of others; a second one stands in for the first.
	envoysPerZone = 2
	// envoysOwnZone and othersOwnZone are the parts of the rounds that stay in the own zone then. What the
	// others still do brings word across where the envoys are lost.
	envoysOwnZone, othersOwnZone = 0.5, 0.97
	// farSilent is how many times as long a VM of another zone may show no sign of life then: word of it comes
	// by two envoys, which takes 3 s and at times more.
	farSilent = 2
	// silentPart is the part of the rounds that tries a peer without signs of life.
	silentPart = 0.1
	// pushAll is the size of a fleet up to which news goes to all at once; larger ones pass it on.
	pushAll = 10
	// pushNear is to how many peers of the own zone news goes in a larger fleet, each of which passes it on;
	// its envoys get it besides.
	pushNear = 3
)

// view is what the choice is made from.
type view struct {
	near, far []VM
	silent    []string
	// envoys of all zones, those of the own zone apart; self may be one of these.
	nearEnvoys, farEnvoys []VM
	// envoy is set where this VM is one.
	envoy bool
}

func (v *view) live() int { return len(v.near) + len(v.far) }

// look returns the members as they stand.
func (m *Manager) look() *view {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := new(view)
	zones := map[string][]VM{m.cfg.Zone: {vmOf(&m.self)}}
	for address, e := range m.members {
		if !e.live {
			v.silent = append(v.silent, address)
			continue
		}
		p := vmOf(e.record)
		if p.Zone == m.cfg.Zone {
			v.near = append(v.near, p)
		} else {
			v.far = append(v.far, p)
		}
		if !e.record.GetLeaving() {
			zones[p.Zone] = append(zones[p.Zone], p)
		}
	}
	for zone, peers := range zones {
		chosen := envoys(peers)
		if zone != m.cfg.Zone {
			v.farEnvoys = append(v.farEnvoys, chosen...)
			continue
		}
		v.envoy = slices.ContainsFunc(chosen, m.isSelf)
		v.nearEnvoys = slices.DeleteFunc(chosen, m.isSelf)
	}
	return v
}

func (m *Manager) isSelf(p VM) bool { return p.Address == m.cfg.Self }

// envoys returns the VMs of a zone that talk to those of others: the strongest, which also see most of the
// leaves, and among equals by a rank on which all agree.
func envoys(zone []VM) []VM {
	slices.SortFunc(zone, func(a, b VM) int {
		return cmp.Or(cmp.Compare(b.Millicores, a.Millicores), cmp.Compare(xxhash.Sum64String(a.Address), xxhash.Sum64String(b.Address)))
	})
	return zone[:min(envoysPerZone, len(zone))]
}

// pick returns a random peer for an exchange.
func (m *Manager) pick() (string, bool) {
	v := m.look()
	if len(v.silent) > 0 && (v.live() == 0 || rand.Float64() < silentPart) {
		return v.silent[rand.N(len(v.silent))], true
	}
	near, far := ownZone, v.far
	switch {
	case v.live() < smallFleet:
	case v.envoy:
		near, far = envoysOwnZone, v.farEnvoys
	default:
		near = othersOwnZone
	}
	if len(far) == 0 || len(v.near) > 0 && rand.Float64() < near {
		far = v.near
	}
	if len(far) == 0 {
		return "", false
	}
	return far[rand.N(len(far))].Address, true
}

// audience returns the peers that are told of news at once.
func (m *Manager) audience() []string {
	v := m.look()
	if v.live() < pushAll {
		return addresses(append(v.near, v.far...))
	}
	rand.Shuffle(len(v.near), func(i, j int) { v.near[i], v.near[j] = v.near[j], v.near[i] })
	told := append(v.near[:min(pushNear, len(v.near))], v.nearEnvoys...)
	switch {
	case v.envoy:
		told = append(told, onePerZone(v.farEnvoys)...)
	case v.live() < smallFleet && len(v.far) > 0:
		told = append(told, v.far[rand.N(len(v.far))])
	}
	out := addresses(told)
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
