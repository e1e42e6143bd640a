package fleetload

import (
	"time"

	"github.com/burdockplank/burdockplank/internal/peers"
)

// gatewaysMaxAge is how long the gateways are kept before they are read again. Membership takes seconds to change.
const gatewaysMaxAge = 500 * time.Millisecond

// currentGateways returns the gateways of each zone. Requires mu.
func (m *Manager) currentGateways(now time.Time) map[string][]peers.VM {
	if m.gateways != nil && now.Sub(m.gatewaysAt) < gatewaysMaxAge {
		return m.gateways
	}
	m.gateways, m.gatewaysAt = m.cfg.Gateways(), now
	for address := range m.clients {
		if !m.isKnownHub(address) {
			delete(m.clients, address)
			delete(m.skippedUntil, address)
		}
	}
	return m.gateways
}

// isKnownHub reports whether the address is that of a gateway of any zone. Requires mu.
func (m *Manager) isKnownHub(address string) bool {
	for _, gateways := range m.gateways {
		if isGateway(gateways, address) {
			return true
		}
	}
	return false
}

// contact returns the contact with a zone. Requires mu.
func (m *Manager) contact(zone string) *contact {
	if m.contacts[zone] == nil {
		m.contacts[zone] = &contact{}
	}
	return m.contacts[zone]
}

// client returns the client of a hub. Requires mu.
func (m *Manager) client(address string) Client {
	if m.clients[address] == nil {
		m.clients[address] = m.cfg.Dial(address)
	}
	return m.clients[address]
}
