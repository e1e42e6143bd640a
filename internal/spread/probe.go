package spread

import (
	"time"

	"github.com/burdockplank/burdockplank/internal/membership"
)

const (
	// probeTimeout is how long a contacted peer has to answer before others are asked to contact
	// it; indirectTimeout is how long they have in all.
	probeTimeout    = 600 * time.Millisecond
	indirectTimeout = 1200 * time.Millisecond
	// probeHelpers is how many are asked.
	probeHelpers = 3
)

// probe is a contact that has not been answered.
type probe struct {
	// heartbeat of the peer when it was contacted.
	heartbeat uint64
	since     time.Time
	// indirect is true once others were asked.
	indirect bool
}

// probes are the open ones. Their owner guards them.
type probes struct {
	open map[string]*probe
	// relays are the VMs that wait to hear of a VM, by its id.
	relays map[string]map[string]time.Time
}

func newProbes() probes {
	return probes{open: make(map[string]*probe), relays: make(map[string]map[string]time.Time)}
}

// start notes a contact; an open one goes on.
func (p *probes) start(id string, heartbeat uint64, now time.Time) {
	if p.open[id] == nil {
		p.open[id] = &probe{heartbeat: heartbeat, since: now}
	}
}

// answered ends the probe of a VM that was heard directly.
func (p *probes) answered(id string) { delete(p.open, id) }

// due returns the VMs to probe through others, and those that stayed silent with the heartbeat they
// had.
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

// relay notes that asker wants to hear of target.
func (p *probes) relay(target, requester string, now time.Time) {
	if p.relays[target] == nil {
		p.relays[target] = make(map[string]time.Time)
	}
	p.relays[target][requester] = now
}

// takeRequesters returns who waits to hear of a VM that was heard just now.
func (p *probes) takeRequesters(target string, now time.Time) (requesters []string) {
	for requester, at := range p.relays[target] {
		if now.Sub(at) < indirectTimeout {
			requesters = append(requesters, requester)
		}
	}
	delete(p.relays, target)
	return requesters
}

// reset forgets all, for silence during a pause says nothing.
func (p *probes) reset() { *p = newProbes() }

// checkProbes asks others about VMs that don't answer, and suspects those that nobody hears.
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

// suspect spreads that a VM stays silent, unless its heartbeat rose meanwhile by any path.
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
