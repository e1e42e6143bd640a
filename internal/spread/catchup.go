package spread

import (
	"context"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/membership"
)

// catchUpPeers is the number of peers queried in parallel to catch up.
const catchUpPeers = 4

// catchUpPeerTimeout bounds the time a queried peer has for its first answer.
const catchUpPeerTimeout = 700 * time.Millisecond

// catchUpGracePeriod is the time to wait for further answers after the first one.
const catchUpGracePeriod = 250 * time.Millisecond

// CaughtUp reports whether peers or the platform have been queried since the start and the most
// recent pause.
func (m *Manager) CaughtUp() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.caughtUp
}

// Pauses returns the number of process pauses so far. Pass it to SetCaughtUp.
func (m *Manager) Pauses() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pauses
}

// SetCaughtUp ends the catch-up that began when the number of pauses was the given one. It does
// nothing if another pause has occurred since.
func (m *Manager) SetCaughtUp(pauses uint64) {
	m.mu.Lock()
	m.caughtUp = m.caughtUp || pauses == m.pauses
	m.mu.Unlock()
	m.cfg.Changed.Fire()
}

// HandlePause resets the state after a pause of the process: what the process knew and the packets
// in its buffers may be outdated.
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

// QueryPeers queries a few random peers, or the seeds if no peer is known, for their whole state.
// asked is the number of peers queried, answered the number that returned their whole state. After
// the first answer it waits for the others for at most catchUpGracePeriod.
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

// catchUpFrom fetches the whole state of a peer and reports whether that succeeded. Its timeout is
// short, so that an unreachable peer leaves time to query others.
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

// RecordPlatformContact records that this VM reached the platform.
func (m *Manager) RecordPlatformContact(now time.Time) { m.recordPlatformContact(now) }

func (m *Manager) recordPlatformContact(at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at.After(m.platformContact) {
		m.platformContact = at
	}
}

// PlatformAge returns the time since any known VM last reached the platform. known is false if none
// ever did.
func (m *Manager) PlatformAge(now time.Time) (age time.Duration, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Sub(m.platformContact), !m.platformContact.IsZero()
}

// HighestVersion returns the highest bundle version that any peer has announced.
func (m *Manager) HighestVersion() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.highestVersion
}

// SetOwnState publishes the states of this VM's processes and whether the VM is leaving.
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

// MergeEvidence merges what a process of this VM observed and publishes what is new.
func (m *Manager) MergeEvidence(departures []*pb.Departure, crashes []*pb.Crash, now time.Time) {
	m.mergeExchanged(nil, departures, crashes, now)
}

// PushNow sends pending updates at once and bypasses the push rate limit. It is called when the
// process ends.
func (m *Manager) PushNow(now time.Time) {
	for _, p := range pickPeers(m.cfg.Members.Roster(), pushFanout, "") {
		m.send(p, message{}, now)
	}
}
