package spread

import (
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// handlePacket takes one packet.
func (m *Manager) handlePacket(packet []byte, now time.Time) {
	var d pb.Digest
	if err := proto.Unmarshal(packet, &d); err != nil {
		m.metrics.packets.WithLabelValues("unreadable").Inc()
		return
	}
	if d.GetFleet() != m.cfg.Fleet || d.GetFrom() == m.cfg.Self || d.GetFrom() == "" {
		m.metrics.packets.WithLabelValues("not_ours").Inc()
		return
	}
	m.cfg.CheckPause(now)
	if !m.CaughtUp() {
		m.metrics.packets.WithLabelValues("ignored").Inc()
		return
	}
	m.metrics.packets.WithLabelValues("received").Inc()
	include := m.mergePacket(&d, now)
	m.reply(&d, include, now)
	m.reconcile(&d, now)
}

// mergePacket merges what a packet carries and returns the VMs to name in the answer.
func (m *Manager) mergePacket(d *pb.Digest, now time.Time) (include []string) {
	if age := d.GetPlatformAge(); age != nil {
		m.recordPlatformContact(now.Add(-age.AsDuration() - hopAllowance))
	}
	merged := m.cfg.Members.Merge(d.GetNews(), now)
	known := m.cfg.Members.ObserveHeartbeat(&pb.Vm{
		Id: d.GetFrom(), Incarnation: d.GetIncarnation(), Heartbeat: d.GetHeartbeat(), Version: d.GetVersion(),
	}, now)
	evidence := m.cfg.Evidence.Merge(d.GetDepartures(), d.GetCrashes(), now)
	if merged.Refuted {
		m.metrics.refutations.Inc()
	}
	m.mu.Lock()
	m.probes.answered(d.GetFrom())
	m.updates.addVMs(merged)
	m.updates.addEvidence(evidence)
	m.mu.Unlock()
	if merged.Any() || !evidence.Empty() {
		m.cfg.Changed.Fire()
		m.Push()
	}
	include = merged.Outdated
	if !known {
		include = append(include, d.GetFrom())
	}
	return include
}

// reply replies where the sender asked or held something outdated, and passes probes on.
func (m *Manager) reply(d *pb.Digest, include []string, now time.Time) {
	from, known := m.cfg.Members.Roster().Peer(d.GetFrom())
	if d.GetProbe() == m.cfg.Self {
		// The sender was asked to see whether this VM is there: show it by a higher heartbeat.
		m.cfg.Members.RaiseHeartbeat(now)
	}
	if !known {
		return
	}
	if d.GetReplyWanted() || len(include) > 0 {
		m.send(from, message{include: include}, now)
	}
	m.mu.Lock()
	waiting := m.probes.takeRequesters(d.GetFrom(), now)
	if d.GetProbe() != "" && d.GetProbe() != m.cfg.Self {
		m.probes.relay(d.GetProbe(), d.GetFrom(), now)
	}
	m.mu.Unlock()
	if d.GetProbe() != "" && d.GetProbe() != m.cfg.Self {
		m.probeDirectly(d.GetProbe(), now)
	}
	for _, id := range waiting {
		if p, ok := m.cfg.Members.Roster().Peer(id); ok {
			m.send(p, message{include: []string{d.GetFrom()}}, now)
		}
	}
}

// probeDirectly contacts a VM that another one gets no answer from.
func (m *Manager) probeDirectly(target string, now time.Time) {
	if p, ok := m.cfg.Members.Roster().Peer(target); ok {
		m.send(p, message{replyWanted: true, probe: target}, now)
	}
}

// reconcile starts what is needed where the sender holds more, or other things.
func (m *Manager) reconcile(d *pb.Digest, now time.Time) {
	roster := m.cfg.Members.Roster()
	from, known := roster.Peer(d.GetFrom())
	if !known {
		return
	}
	if m.wantsBundle(d, now) || m.cfg.Content.ListHigher(d.GetListRevision()) {
		replacePending(m.fetches, from)
	}
	sameVMs := d.GetMembersHash() == roster.Hash
	sameEvidence := d.GetEvidenceHash() == m.cfg.Evidence.Hash(now)
	m.mu.Lock()
	m.highestVersion = max(m.highestVersion, d.GetBundleVersion())
	m.updates.markKnown(sameVMs, sameEvidence, from.Zone, quotaFor(roster))
	due := m.differences.observe(from.Zone, sameVMs && sameEvidence, now)
	m.mu.Unlock()
	if due {
		replacePending(m.exchanges, exchangeTask{peer: from, vms: !sameVMs, evidence: !sameEvidence})
	}
}

// wantsBundle tells whether the sender's bundle is higher and was not refused lately.
func (m *Manager) wantsBundle(d *pb.Digest, now time.Time) bool {
	if !m.cfg.Content.BundleHigher(d.GetBundleVersion(), d.GetBundleDigest()) {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	at, refused := m.refused[refusedKeyOf(d.GetBundleVersion(), d.GetBundleDigest())]
	return !refused || now.Sub(at) >= refetchDelay
}

// replacePending puts v into a channel that holds one, in place of what waits there.
func replacePending[T any](ch chan T, v T) {
	for {
		select {
		case ch <- v:
			return
		default:
		}
		select {
		case <-ch:
		default:
		}
	}
}

const (
	// minExchangeDelay is how long hashes must differ before a whole exchange: news in flight settles
	// most differences by itself. differMax bounds the wait, which doubles while they go on
	// differing, as they do while many VMs come and go.
	minExchangeDelay = 2 * time.Second
	maxExchangeDelay = 16 * time.Second
)

// zoneDifferences decides by availability zone when hashes that differ call for an exchange: the VMs of two
// zones may each agree among themselves, and mostly hear each other, while the zones differ for good.
// Its owner guards it.
type zoneDifferences map[string]*hashDifference

// observe takes one comparison with a peer of the zone and tells whether an exchange is due.
func (d zoneDifferences) observe(zone string, same bool, now time.Time) bool {
	z := d[zone]
	if z == nil {
		z = new(hashDifference)
		d[zone] = z
	}
	return z.observe(same, now)
}

// since returns when the longest difference began, the zero time where there is none.
func (d zoneDifferences) since() time.Time {
	var first time.Time
	for _, z := range d {
		if !z.since.IsZero() && (first.IsZero() || z.since.Before(first)) {
			first = z.since
		}
	}
	return first
}

// hashDifference is the state for the peers of one zone.
type hashDifference struct {
	since time.Time
	wait  time.Duration
}

// observe takes one comparison and tells whether an exchange is due.
func (d *hashDifference) observe(same bool, now time.Time) bool {
	if same {
		*d = hashDifference{}
		return false
	}
	if d.since.IsZero() {
		d.since, d.wait = now, minExchangeDelay
	}
	if now.Sub(d.since) < d.wait {
		return false
	}
	d.since, d.wait = now, min(2*d.wait, maxExchangeDelay)
	return true
}
