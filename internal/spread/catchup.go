package spread

import (
	"context"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/membership"
)

// catchUpPeers is how many peers are asked at once to catch up.
const catchUpPeers = 4

// catchUpPeerTimeout is how long a peer that is asked has for its first answer.
const catchUpPeerTimeout = 700 * time.Millisecond

// catchUpGracePeriod is how long further answers are waited for after the first.
const catchUpGracePeriod = 250 * time.Millisecond

// CaughtUp tells whether peers or the platform were heard since the start and the newest pause.
func (m *Manager) CaughtUp() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.caughtUp
}

// Pauses returns how many pauses of the process there were, for SetCaughtUp.
func (m *Manager) Pauses() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pauses
}

// SetCaughtUp ends the catching up that began after the given number of pauses. It does nothing
// where another pause came since.
func (m *Manager) SetCaughtUp(pauses uint64) {
	m.mu.Lock()
	m.caughtUp = m.caughtUp || pauses == m.pauses
	m.mu.Unlock()
	m.cfg.Changed.Fire()
}

// HandlePause follows a pause of the process: what it knew and what waits in its buffers may be old.
func (m *Manager) HandlePause(now time.Time) {
	m.mu.Lock()
	m.caughtUp = false
	m.pauses++
	m.probes.reset()
	clear(m.differences)
	m.mu.Unlock()
	m.cfg.Members.RestartSuspicionTimers(now)
	m.metrics.pauses.Inc()
	m.cfg.Changed.Fire()
}

// QueryPeers asks a few random peers, or the seeds where none is known, for all they hold. asked is
// how many were asked, answered how many answered with all of it. It doesn't wait long for more
// once one answered.
func (m *Manager) QueryPeers(ctx context.Context) (asked, answered int) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	addresses := m.catchUpAddresses()
	results := make(chan bool, len(addresses))
	for _, a := range addresses {
		go func() { results <- m.catchUpFrom(ctx, a) }()
	}
	for range addresses {
		if <-results {
			answered++
			time.AfterFunc(catchUpGracePeriod, cancel)
		}
	}
	return len(addresses), answered
}

// catchUpFrom tells whether the peer gave all it holds. One that is out of reach shows soon, so that others
// can be asked in time.
func (m *Manager) catchUpFrom(ctx context.Context, address string) bool {
	peerCtx, cancel := context.WithTimeout(ctx, catchUpPeerTimeout)
	defer cancel()
	task := exchangeTask{peer: membership.Peer{ID: address, Address: address}, vms: true, evidence: true}
	return m.exchange(peerCtx, task) == nil && m.fetch(ctx, address) == nil
}

func (m *Manager) catchUpAddresses() []string {
	roster := m.cfg.Members.Roster()
	peers := pickPeers(roster, catchUpPeers, "")
	if len(peers) == 0 {
		peers = roster.Gone[:min(len(roster.Gone), catchUpPeers)]
	}
	if len(peers) == 0 {
		return m.cfg.Seeds
	}
	var out []string
	for _, p := range peers {
		out = append(out, p.Address)
	}
	return out
}

// RecordPlatformContact notes that this VM reached the platform.
func (m *Manager) RecordPlatformContact(now time.Time) { m.recordPlatformContact(now) }

func (m *Manager) recordPlatformContact(at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at.After(m.platformContact) {
		m.platformContact = at
	}
}

// PlatformAge returns the time since any VM that was heard of reached the platform; known is false
// for never.
func (m *Manager) PlatformAge(now time.Time) (age time.Duration, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Sub(m.platformContact), !m.platformContact.IsZero()
}

// HighestVersion returns the highest version of a bundle that a peer said it holds.
func (m *Manager) HighestVersion() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.highestVersion
}

// SetOwnState spreads the states of the VM's own processes, and whether the VM leaves.
func (m *Manager) SetOwnState(processes []*pb.Process, leaves bool, now time.Time) {
	if !m.cfg.Members.SetOwnState(processes, leaves, now) {
		return
	}
	m.mu.Lock()
	m.updates.addVMs(membership.Result{Updated: []string{m.cfg.Self}})
	m.mu.Unlock()
	m.cfg.Changed.Fire()
	m.Push()
}

// MergeEvidence takes what a process of this VM saw, and spreads what is new.
func (m *Manager) MergeEvidence(departures []*pb.Departure, crashes []*pb.Crash, now time.Time) {
	m.mergeExchanged(nil, departures, crashes, now)
}

// PushNow pushes news without regard to the bounded rate, at the end of the process.
func (m *Manager) PushNow(now time.Time) {
	for _, p := range pickPeers(m.cfg.Members.Roster(), pushFanout, "") {
		m.send(p, message{}, now)
	}
}
