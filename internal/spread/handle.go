package spread

import (
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// handlePacket decodes one packet, merges it and answers it. Packets of another fleet are dropped,
// as are all packets until the manager has caught up.
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

// mergePacket merges the content of a packet and returns the IDs of the VMs whose records the
// answer must include.
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

// reply answers if the sender asked for it or holds outdated records, and relays probes and their
// results.
func (m *Manager) reply(d *pb.Digest, include []string, now time.Time) {
	from, known := m.cfg.Members.Roster().Peer(d.GetFrom())
	if d.GetProbe() == m.cfg.Self {
		// The sender was asked to probe this VM. A higher heartbeat shows that it is alive.
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

// probeDirectly contacts a VM that another VM gets no answer from.
func (m *Manager) probeDirectly(target string, now time.Time) {
	if p, ok := m.cfg.Members.Roster().Peer(target); ok {
		m.send(p, message{replyWanted: true, probe: target}, now)
	}
}

// reconcile starts a fetch or an exchange if the sender holds a higher bundle or list, or if its
// hashes differ.
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

// wantsBundle reports whether the sender's bundle is higher and has not been refused recently.
func (m *Manager) wantsBundle(d *pb.Digest, now time.Time) bool {
	if !m.cfg.Content.BundleHigher(d.GetBundleVersion(), d.GetBundleDigest()) {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	at, refused := m.refused[refusedKeyOf(d.GetBundleVersion(), d.GetBundleDigest())]
	return !refused || now.Sub(at) >= refetchDelay
}

// replacePending puts v into a channel of capacity one and discards the value waiting there.
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
	// minExchangeDelay is how long hashes must differ before a full exchange: updates in flight
	// resolve most differences. maxExchangeDelay bounds the delay, which doubles while the hashes
	// keep differing, as they do while many VMs start and stop.
	minExchangeDelay = 2 * time.Second
	maxExchangeDelay = 16 * time.Second
)

// zoneDifferences decides for each availability zone when differing hashes call for an exchange.
// The VMs of two zones may each agree among themselves and mostly hear each other, while the two
// zones differ permanently. Its owner guards it.
type zoneDifferences map[string]*hashDifference

// observe records one comparison with a peer of the zone and reports whether an exchange is due.
func (d zoneDifferences) observe(zone string, same bool, now time.Time) bool {
	z := d[zone]
	if z == nil {
		z = new(hashDifference)
		d[zone] = z
	}
	return z.observe(same, now)
}

// since returns when the longest-lasting difference began, or the zero time if there is none.
func (d zoneDifferences) since() time.Time {
	var first time.Time
	for _, z := range d {
		if !z.since.IsZero() && (first.IsZero() || z.since.Before(first)) {
			first = z.since
		}
	}
	return first
}

// hashDifference is the state of the comparisons with the peers of one zone.
type hashDifference struct {
	since time.Time
	wait  time.Duration
}

// observe records one comparison and reports whether an exchange is due.
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
