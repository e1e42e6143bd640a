package spread

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/membership"
)

const (
	// MaxPacketBytes is the maximum size of a packet sent. It fits any network path without
	// fragmentation.
	MaxPacketBytes = 1150
	// digestPrefixLen is the number of bytes of a bundle's digest in a packet.
	digestPrefixLen = 8
	// hopAllowance is added to an age received from another VM to account for the network delay.
	// Without it, an age relayed from VM to VM in circles would grow too slowly.
	hopAllowance = 2 * time.Millisecond
	// itemOverhead is the number of bytes that the framing adds to an item.
	itemOverhead = 4
)

// message is the content of a packet besides this VM's state and pending updates.
type message struct {
	replyWanted bool
	// probe is the ID of the VM that the receiver should contact.
	probe string
	// include lists the IDs of the VMs whose records go first.
	include []string
}

// send sends one packet to a peer. A packet that cannot be sent is treated as lost.
func (m *Manager) send(to membership.Peer, msg message, now time.Time) {
	packet, err := proto.Marshal(m.buildDigest(msg, to.Zone, now))
	if err == nil {
		err = m.cfg.Transport.Send(to.Address, packet)
	}
	outcome := "sent"
	if err != nil {
		outcome = "send_failed"
	}
	m.metrics.packets.WithLabelValues(outcome).Inc()
}

// buildDigest builds a packet for a VM in the zone with as many updates as fit.
func (m *Manager) buildDigest(msg message, zone string, now time.Time) *pb.Digest {
	self := m.cfg.Members.Self()
	d := &pb.Digest{
		Fleet: m.cfg.Fleet, From: self.GetId(), Incarnation: self.GetIncarnation(),
		Heartbeat: self.GetHeartbeat(), Version: self.GetVersion(),
		ReplyWanted: msg.replyWanted, Probe: msg.probe,
		MembersHash: m.cfg.Members.Roster().Hash, EvidenceHash: m.cfg.Evidence.Hash(now),
	}
	if b := m.cfg.Content.Offered(); b != nil {
		d.BundleVersion, d.BundleDigest = b.Version, b.Digest[:digestPrefixLen]
	}
	if l := m.cfg.Content.List(); l != nil {
		d.ListRevision = l.Revision
	}
	if age, known := m.PlatformAge(now); known {
		d.PlatformAge = durationpb.New(age.Truncate(time.Millisecond))
	}
	for _, id := range msg.include {
		if r := m.cfg.Members.Record(id); r != nil {
			d.News = append(d.News, membership.WireForm(r))
		} else {
			d.News = append(d.News, &pb.Vm{Id: id})
		}
	}
	m.addUpdates(d, zone, now)
	return d
}

// addUpdates fills a packet with updates, the least sent first.
func (m *Manager) addUpdates(d *pb.Digest, zone string, now time.Time) {
	q := quotaFor(m.cfg.Members.Roster())
	remaining := MaxPacketBytes - proto.Size(d)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.updates.forEach(func(it *updateItem) (keep, more bool) {
		if !it.neededIn(zone, q) {
			return true, true // kept for another zone
		}
		size, add := m.prepareItem(d, it.key, now)
		if add == nil {
			return false, true
		}
		if size > remaining || !m.updateBudget.AllowN(now, size) {
			return true, false
		}
		add()
		remaining -= size
		it.addSends(1, zone)
		return !it.delivered(q), true
	})
}

// prepareItem returns the size of an update in bytes and a function that adds it to d. add is nil
// if the item no longer exists.
func (m *Manager) prepareItem(d *pb.Digest, key updateKey, now time.Time) (size int, add func()) {
	switch {
	case key.vm != "":
		r := m.cfg.Members.Record(key.vm)
		if r == nil {
			return 0, nil
		}
		r = membership.WireForm(r)
		return itemSize(r), func() { d.News = append(d.News, r) }
	case key.crash.Leaf != "":
		c := m.cfg.Evidence.Crash(key.crash, now)
		if c == nil {
			return 0, nil
		}
		return itemSize(c), func() { d.Crashes = append(d.Crashes, c) }
	}
	dep := m.cfg.Evidence.Departure(key.departure, now)
	if dep == nil {
		return 0, nil
	}
	return itemSize(dep), func() { d.Departures = append(d.Departures, dep) }
}

func itemSize(item proto.Message) int { return protowire.SizeBytes(proto.Size(item)) + itemOverhead }
