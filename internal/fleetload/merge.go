package fleetload

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/delegate"
	"github.com/burdockplank/burdockplank/internal/replica"
)

// observeInterval is the minimum time between two looks at what this VM observed itself. A hub gets 300 messages a
// second from a zone of 60, and a look takes some tens of microseconds at a VM that calls 700 leaves.
const observeInterval = 20 * time.Millisecond

// merge takes over the reports of a message, which are older by extraAge than they say. It returns whether there is one
// of a busy leaf or gatherer. A message without a valid sender is ignored. Requires mu.
func (m *Manager) merge(msg *pb.FleetLoad, from string, now time.Time, extraAge time.Duration) (busy bool) {
	if from == m.cfg.Self || !validName(from) {
		return false
	}
	for _, l := range msg.GetLeaves()[:min(maxLeaves, len(msg.GetLeaves()))] {
		id, load, age, ok := decodeLeaf(l)
		if age += extraAge; !ok || age > maxAge {
			continue
		}
		at := now.Add(-age)
		busy = busy || leafBusy(load)
		if m.leaves.merge(id, report[replica.Load]{load, at, from}) {
			m.cfg.Leaves.ReportAt(id, load, at, now)
		}
	}
	loads := m.mergeGatherers(msg, from, now, extraAge)
	for _, load := range loads {
		busy = busy || gathererBusy(load)
	}
	if len(loads) > 0 {
		m.cfg.Gatherers.RecordGatherers(loads)
	}
	return busy
}

// mergeGatherers takes over the loads of gatherers of a message, also that of the sender, and returns those that are
// news. Requires mu.
func (m *Manager) mergeGatherers(
	msg *pb.FleetLoad, from string, now time.Time, extraAge time.Duration,
) []delegate.GathererLoad {
	list := msg.GetGatherers()[:min(maxGatherers, len(msg.GetGatherers()))]
	list = append([]*pb.FleetGathererLoad{{Address: from, Load: msg.GetOwn()}}, list...)
	var news []delegate.GathererLoad
	for _, g := range list {
		age := time.Duration(g.GetAgeMs())*time.Millisecond + extraAge
		load, ok := decodeGatherer(g.GetAddress(), g.GetLoad(), now.Add(-age))
		if !ok || age > maxAge || load.Address == m.cfg.Self {
			continue
		}
		if m.gatherers.merge(load.Address, report[delegate.GathererLoad]{load, load.At, from}) {
			news = append(news, load)
		}
	}
	return news
}

// message returns the message to a VM, the newest reports first. Requires mu.
func (m *Manager) message(now time.Time, to string, maxBytes int) *pb.FleetLoad {
	b := &builder{msg: &pb.FleetLoad{From: m.cfg.Self, Own: m.cfg.Own()}, now: now, maxBytes: maxBytes}
	b.size = proto.Size(b.msg)
	leaves, gatherers := m.leavesFor(to), m.gatherersFor(to)
	for added := true; added && len(leaves)+len(gatherers) > 0; {
		nextLeaf := len(gatherers) == 0
		if len(leaves) > 0 && len(gatherers) > 0 {
			nextLeaf = !m.leaves.byKey[leaves[0]].at.Before(m.gatherers.byKey[gatherers[0]].at)
		}
		if nextLeaf {
			added = b.addLeaf(leaves[0], m.leaves.byKey[leaves[0]])
			leaves = leaves[1:]
			continue
		}
		added = b.addGatherer(gatherers[0], m.gatherers.byKey[gatherers[0]])
		gatherers = gatherers[1:]
	}
	return b.msg
}

// leavesFor returns the leaves to report to a VM: not those that it reported itself, nor those of services that are
// less than half full, which would take the place of others. Requires mu.
func (m *Manager) leavesFor(to string) []catalog.LeafID {
	busy := m.busyServices()
	return slices.DeleteFunc(m.leaves.newestFirst(), func(id catalog.LeafID) bool {
		service := m.cfg.Service(id)
		return m.leaves.byKey[id].from == to || service != "" && !busy[service]
	})
}

// gatherersFor returns the gatherers to report to a VM: not those that it reported itself, and none while all are less
// than half full. Requires mu.
func (m *Manager) gatherersFor(to string) []string {
	if !m.anyGathererBusy() {
		return nil
	}
	return slices.DeleteFunc(m.gatherers.newestFirst(), func(address string) bool {
		return m.gatherers.byKey[address].from == to || address == to
	})
}

// update drops old reports, and takes over what this VM itself observed unless it has just done so. Requires mu.
func (m *Manager) update(now time.Time) {
	m.leaves.expire(now)
	m.gatherers.expire(now)
	for name, at := range m.usedAt {
		if now.Sub(at) > demandPeriod {
			delete(m.usedAt, name)
		}
	}
	if m.observedAt.IsZero() || now.Sub(m.observedAt) >= observeInterval {
		m.observedAt = now
		m.observe(now)
	}
}

// observe takes over what this VM itself observed. Requires mu.
func (m *Manager) observe(now time.Time) {
	isSingle := func(id catalog.LeafID) bool { return m.cfg.Service(id) != "" }
	for _, r := range m.cfg.Leaves.Loads(now, maxAge, isSingle) {
		if r.Own {
			m.leaves.merge(r.Leaf, report[replica.Load]{load: r.Load, at: r.At})
			m.use(m.cfg.Service(r.Leaf), r.At)
		}
	}
	for _, load := range m.cfg.Gatherers.GathererLoads(now) {
		known, ok := m.gatherers.byKey[load.Address]
		if now.Sub(load.At) > maxAge || ok && !load.At.After(known.at) {
			continue // too old, or received from another VM
		}
		m.gatherers.merge(load.Address, report[delegate.GathererLoad]{load: load, at: load.At})
		m.use(load.Address, load.At)
	}
}

// use records that this VM used the service, or the gatherer at an address. Requires mu.
func (m *Manager) use(name string, at time.Time) {
	if at.After(m.usedAt[name]) {
		m.usedAt[name] = at
	}
}
