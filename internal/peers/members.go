package peers

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// member is the state of another VM.
type member struct {
	record *pb.FleetMember
	// heartbeatAt is when its heartbeat last rose, knownSince when this VM first heard of its incarnation.
	heartbeatAt, knownSince time.Time
	// contactAt is when the store last answered it, by this VM's clock; zero for never.
	contactAt time.Time
	// progress is what the peer last reported about itself in this incarnation.
	progress progress
	// crashesMerged is the number up to which this VM has merged its changes of crashes, crashesAcked that up to which it has
	// merged those of this VM.
	crashesMerged, crashesAcked uint64
	client                      Client
	live                        bool
}

// roundInterval returns the time between two exchanges that this VM begins.
func (m *Manager) roundInterval() time.Duration {
	if m.LiveCount() > largeFleetSize {
		return largeFleetExchangeInterval
	}
	return exchangeInterval
}

// advanceHeartbeat raises this VM's heartbeat, marks members as silent whose heartbeat has not risen for
// silentAfter, and drops expired members and crashes.
func (m *Manager) advanceHeartbeat(now time.Time, silentAfter time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.Heartbeat++
	live := 0
	var silent []string
	for address, e := range m.members {
		limit := silentAfter
		if e.record.GetZone() != m.cfg.Zone && len(m.members) >= largeFleetSize {
			limit *= remoteSilenceFactor
		}
		// Only a newer record, merged by mergeRecord, makes a silent VM live again.
		if e.live && now.Sub(e.heartbeatAt) >= limit {
			e.live = false
			silent = append(silent, address)
		}
		if e.live {
			live++
		}
		if now.Sub(e.heartbeatAt) > forgetAfter {
			delete(m.members, address)
		}
	}
	if len(silent) > 0 {
		m.cfg.Log.Info("peers silent", zap.Strings("peers", silent), zap.Duration("silent_for", silentAfter), zap.Int("live", live))
	}
	m.metrics.live.Set(float64(live))
	m.dropCrashes(now)
}

// Leave announces to the peers, in all messages from now on, that this VM is about to end.
func (m *Manager) Leave() {
	m.mu.Lock()
	m.self.Leaving = true
	m.self.Heartbeat++ // so that the record counts as newer
	m.mu.Unlock()
	m.localEvents.Fire()
}

// RecordStoreContact records that the store has answered this VM.
func (m *Manager) RecordStoreContact(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.contactAt = now
	m.self.Heartbeat++ // so that the record counts as newer
}

// LiveCount returns the number of other VMs that are live and not about to end.
func (m *Manager) LiveCount() int { return len(m.VMs()) }

// VM describes a VM of the fleet as the others know it.
type VM struct {
	Address, Zone string
	// Millicores of its CPU; 0 if unknown.
	Millicores int
}

func vmOf(r *pb.FleetMember) VM { return VM{r.GetAddress(), r.GetZone(), int(r.GetMillicores())} }

// VMs returns the other VMs that are live and not about to end.
func (m *Manager) VMs() []VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []VM
	for _, e := range m.members {
		if e.live && !e.record.GetLeaving() {
			out = append(out, vmOf(e.record))
		}
	}
	return out
}

// ZoneStatus returns the live members of the own zone, including this VM, and the age of their newest contact with
// the store. The age is Never if there was none.
func (m *Manager) ZoneStatus(now time.Time) (members []string, contact time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	newest := m.contactAt
	members = append(members, m.cfg.Self)
	for address, e := range m.members {
		if !e.live || e.record.GetLeaving() || e.record.GetZone() != m.cfg.Zone {
			continue
		}
		members = append(members, address)
		if e.contactAt.After(newest) {
			newest = e.contactAt
		}
	}
	if newest.IsZero() {
		return members, Never
	}
	return members, now.Sub(newest)
}

// Zones returns the availability zones that have a live VM, including the own one.
func (m *Manager) Zones() []string {
	zones := []string{m.cfg.Zone}
	for _, vm := range m.VMs() {
		if !slices.Contains(zones, vm.Zone) {
			zones = append(zones, vm.Zone)
		}
	}
	return zones
}

// Never is an age longer than any process runs.
const Never = 1 << 62

// needsPush reports whether the peer may lack something that this VM has.
func (m *Manager) needsPush(address string) bool {
	own := m.cfg.Mirror.Progress()
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.members[address]
	return e == nil || e.progress.known.Lacks(own) || m.lacksCrashes(e, address, time.Now()) || m.self.GetLeaving()
}

// selfRecord returns this VM's own record. The caller must hold mu.
func (m *Manager) selfRecord(now time.Time) *pb.FleetMember {
	return &pb.FleetMember{
		Address: m.self.Address, Zone: m.self.Zone, Incarnation: m.self.Incarnation,
		Heartbeat: m.self.Heartbeat, Leaving: m.self.Leaving, ContactAgeMs: ageMillis(m.contactAt, now), Millicores: m.self.Millicores,
	}
}

// ageMillis returns the age in milliseconds, or -1 if at is zero.
func ageMillis(at, now time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds()
}

// sampleMembers returns the members for an exchange: all in a small fleet, otherwise those of the zone that matters
// most to the recipient and a random choice of the others. The caller must hold mu.
func (m *Manager) sampleMembers(now time.Time, to recipient) []*pb.FleetMember {
	live := make([]*member, 0, len(m.members))
	for _, e := range m.members {
		if e.live {
			live = append(live, e)
		}
	}
	own := m.silentRecordOf(to)
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	zone := m.cfg.Zone
	if to.starting {
		zone = to.zone
	}
	if m.knowsItsZone(to, now) && len(live) >= largeFleetSize {
		live = membersForOtherZone(live, m.cfg.Zone, to.zone)
	}
	if len(live) > maxMembersPerExchange {
		prioritizeZone(live, zone)
		live = live[:maxMembersPerExchange]
	}
	out := make([]*pb.FleetMember, 0, len(live)+len(own))
	for _, e := range append(live, own...) {
		r := e.record
		out = append(out, &pb.FleetMember{
			Address: r.GetAddress(), Zone: r.GetZone(), Incarnation: r.GetIncarnation(),
			Heartbeat: r.GetHeartbeat(), Leaving: r.GetLeaving(), ContactAgeMs: ageMillis(e.contactAt, now), Millicores: r.GetMillicores(),
		})
	}
	return out
}

// silentRecordOf returns the recipient's own record if it counts as silent here: the recipient may be a later start of it
// with a lower incarnation. The caller must hold mu.
func (m *Manager) silentRecordOf(to recipient) []*member {
	if e := m.members[to.address]; e != nil && !e.live {
		return []*member{e}
	}
	return nil
}

// knowsItsZone reports whether the recipient is in another zone and has run for long enough to know the VMs of its own.
// The caller must hold mu.
func (m *Manager) knowsItsZone(to recipient, now time.Time) bool {
	e := m.members[to.address]
	return e != nil && to.zone != m.cfg.Zone && !to.starting && now.Sub(e.knownSince) >= newMemberPeriod
}

// membersForOtherZone returns the members for an exchange of a large fleet with another zone: those of the own zone,
// which that one learns of nowhere else, and a few of third zones, for the case that it is cut off from them.
func membersForOtherZone(live []*member, own, other string) []*member {
	var out, third []*member
	for _, e := range live {
		switch e.record.GetZone() {
		case own:
			out = append(out, e)
		case other:
		default:
			third = append(third, e)
		}
	}
	return append(out, third[:min(thirdZoneMemberSlots, len(third))]...)
}

// prioritizeZone moves to the front the member of the zone with the newest contact, since its record keeps others
// from reading the store, and then some other members of the zone.
func prioritizeZone(live []*member, zone string) {
	inZone := func(e *member) bool { return e.record.GetZone() == zone }
	var newest *member
	for _, e := range live {
		if inZone(e) && (newest == nil || e.contactAt.After(newest.contactAt)) {
			newest = e
		}
	}
	rest := toFront(live, 1, func(e *member) bool { return e == newest })
	toFront(rest, ownZoneMemberSlots, inZone)
}

// toFront moves up to limit matching members to the front and returns the others.
func toFront(list []*member, limit int, match func(e *member) bool) []*member {
	n := 0
	for i, e := range list {
		if n < limit && match(e) {
			list[n], list[i] = list[i], list[n]
			n++
		}
	}
	return list[n:]
}

// exceed raises this VM's incarnation above that of a record of an earlier start of it, which was drawn from a clock that
// has gone back since. The caller must hold mu.
func (m *Manager) exceed(earlier *pb.FleetMember) {
	if earlier.GetIncarnation() > m.self.GetIncarnation() {
		m.self.Incarnation = earlier.GetIncarnation() + 1
	}
}

// mergeRecord merges a record of a member. The higher incarnation wins, then the higher heartbeat. It reports
// whether the VM was silent or unknown and is live now. The caller must hold mu.
func (m *Manager) mergeRecord(r *pb.FleetMember, now time.Time) bool {
	if r.GetAddress() == m.cfg.Self {
		m.exceed(r)
		return false
	}
	if r.GetAddress() == "" {
		return false
	}
	e := m.members[r.GetAddress()]
	if e != nil && cmp.Or(cmp.Compare(r.GetIncarnation(), e.record.GetIncarnation()), cmp.Compare(r.GetHeartbeat(), e.record.GetHeartbeat())) <= 0 {
		return false
	}
	if e == nil {
		e = &member{knownSince: now}
		m.members[r.GetAddress()] = e
	} else if e.record.GetIncarnation() != r.GetIncarnation() {
		e.progress, e.contactAt, e.knownSince = progress{}, time.Time{}, now
		e.crashesMerged, e.crashesAcked = 0, 0
	}
	revived := !e.live
	e.record, e.heartbeatAt, e.live = r, now, true
	if r.GetContactAgeMs() >= 0 {
		if at := now.Add(-time.Duration(r.GetContactAgeMs()) * time.Millisecond); at.After(e.contactAt) {
			e.contactAt = at
		}
	}
	return revived
}
