package spread

import "time"

// Dump is the state of the spread manager as shown to operators.
type Dump struct {
	CaughtUp bool `json:"caught_up"`
	// Updates is the number of updates still to be sent.
	Updates int `json:"news"`
	// OpenProbes is the number of contacts without an answer so far.
	OpenProbes int `json:"open_probes"`
	// Peers is the number of peers that are not judged gone.
	Peers int `json:"peers"`
	// DifferingSeconds is how long the hashes have differed from those of peers, 0 if they do not
	// differ.
	DifferingSeconds float64 `json:"differing_seconds"`
	// Conflicts counts records in which another incarnation claimed this VM's ID.
	Conflicts uint64 `json:"conflicts"`
}

// Dump implements operator.Dumper.
func (m *Manager) Dump() any {
	d := Dump{Peers: m.cfg.Members.Roster().PresentCount(), Conflicts: m.cfg.Members.Conflicts()}
	m.mu.Lock()
	defer m.mu.Unlock()
	d.CaughtUp, d.Updates, d.OpenProbes = m.caughtUp, len(m.updates.items), len(m.probes.open)
	if since := m.differences.since(); !since.IsZero() {
		d.DifferingSeconds = time.Since(since).Seconds()
	}
	return d
}
