package spread

import (
	"time"

	"github.com/burdockplank/burdockplank/internal/membership"
)

const (
	// probeTimeout is the time a contacted peer has to answer before other VMs are asked to contact
	// it. indirectTimeout is the time for the indirect probes in total.
	probeTimeout    = 600 * time.Millisecond
	indirectTimeout = 1200 * time.Millisecond
	// probeHelpers is the number of VMs asked to probe a peer.
	probeHelpers = 3
)

// probe is a contact that has not been answered.
type probe struct {
	// heartbeat is the peer's heartbeat at the time of the contact.
	heartbeat uint64
	since     time.Time
	// indirect is true once other VMs have been asked to contact the peer.
	indirect bool
}

// probes holds the open probes. Its owner guards it.
type probes struct {
	open map[string]*probe
	// relays holds, by target ID, the VMs waiting to hear from the target and when each asked.
	relays map[string]map[string]time.Time
}

func newProbes() probes {
	return probes{open: make(map[string]*probe), relays: make(map[string]map[string]time.Time)}
}

// start opens a probe. An open one continues unchanged.
func (p *probes) start(id string, heartbeat uint64, now time.Time) {
	if p.open[id] == nil {
		p.open[id] = &probe{heartbeat: heartbeat, since: now}
	}
}

// answered ends the probe of a VM that was heard from directly.
func (p *probes) answered(id string) { delete(p.open, id) }

// due returns the VMs to probe through other VMs, and those that did not answer, with the heartbeat
// they had.
func (p *probes) due(now time.Time) (indirect []string, silent map[string]uint64) {
	silent = make(map[string]uint64)
	for id, pr := range p.open {
		waited := now.Sub(pr.since)
		switch {
		case !pr.indirect && waited >= probeTimeout:
			pr.indirect, pr.since = true, now
			indirect = append(indirect, id)
		case pr.indirect && waited >= indirectTimeout:
			delete(p.open, id)
			silent[id] = pr.heartbeat
		}
	}
	return indirect, silent
}

// relay records that requester waits to hear from target.
func (p *probes) relay(target, requester string, now time.Time) {
	if p.relays[target] == nil {
		p.relays[target] = make(map[string]time.Time)
	}
	p.relays[target][requester] = now
}

// takeRequesters returns and removes the VMs waiting for a target that has just been heard from.
func (p *probes) takeRequesters(target string, now time.Time) (requesters []string) {
	for requester, at := range p.relays[target] {
		if now.Sub(at) < indirectTimeout {
			requesters = append(requesters, requester)
		}
	}
	delete(p.relays, target)
	return requesters
}

// reset drops all probes: silence during a pause of this process says nothing about other VMs.
func (p *probes) reset() { *p = newProbes() }

// checkProbes asks other VMs to probe peers that do not answer, and suspects those that no VM hears
// from.
func (m *Manager) checkProbes(now time.Time) {
	m.mu.Lock()
	indirect, silent := m.probes.due(now)
	m.mu.Unlock()
	for _, id := range indirect {
		m.probeIndirectly(id, now)
	}
	for id, heartbeat := range silent {
		m.suspect(id, heartbeat, now)
	}
}

func (m *Manager) probeIndirectly(id string, now time.Time) {
	m.probeDirectly(id, now)
	for _, helper := range pickPeers(m.cfg.Members.Roster(), probeHelpers, id) {
		m.send(helper, message{probe: id}, now)
	}
}

// suspect publishes a suspicion of a VM that does not answer, unless its heartbeat has risen by any
// path meanwhile.
func (m *Manager) suspect(id string, heartbeat uint64, now time.Time) {
	if !m.cfg.Members.Suspect(id, heartbeat, now) {
		return
	}
	m.metrics.suspicions.Inc()
	m.mu.Lock()
	m.updates.addVMs(membership.Result{Judged: []string{id}})
	m.mu.Unlock()
	m.cfg.Changed.Fire()
	m.Push()
}
