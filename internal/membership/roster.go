package membership

import (
	"cmp"
	"encoding/binary"
	"net"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// Peer is a VM whose sync can be contacted.
type Peer struct {
	ID, Zone string
	// Address is HOST:PORT of its sync.
	Address string
	// Gone is true if the VM is judged gone and contacted only to check whether it is back.
	Gone bool
}

// Roster is a snapshot of the other VMs that can be contacted: those on the list and those that
// sent records. It is immutable.
type Roster struct {
	// OwnZone and OtherZones hold the VMs of this VM's zone and of other zones that are not judged
	// gone.
	OwnZone, OtherZones []Peer
	Gone                []Peer
	// Zones holds the availability zones of OwnZone and OtherZones, each once.
	Zones []string
	// Hash is equal for tables that hold the same VMs in the same versions. Heartbeats, suspicions
	// and VMs that are gone are left out, because they differ between VMs even without changes in
	// the fleet.
	Hash uint64

	byID map[string]Peer
}

// PresentCount returns the number of VMs that are not judged gone.
func (r *Roster) PresentCount() int { return len(r.OwnZone) + len(r.OtherZones) }

// Peer returns the VM with the ID and whether it is known.
func (r *Roster) Peer(id string) (Peer, bool) {
	p, ok := r.byID[id]
	return p, ok
}

// Roster returns the VMs to contact. It is rebuilt only after a change.
func (t *Table) Roster() *Roster {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.roster == nil {
		t.roster = t.buildRoster()
	}
	return t.roster
}

// buildRoster builds the roster. mu must be held.
func (t *Table) buildRoster() *Roster {
	r := &Roster{byID: make(map[string]Peer, len(t.entries)+len(t.listed))}
	for id, e := range t.entries {
		r.Hash += versionHash(e.record)
		if id != t.selfID {
			r.byID[id] = peerOf(e.record)
		}
	}
	for id, listed := range t.listed {
		if t.entries[id] == nil {
			r.byID[id] = peerOf(listed)
		}
	}
	zone := t.entries[t.selfID].record.GetZone()
	for _, p := range r.byID {
		switch {
		case p.Gone:
			r.Gone = append(r.Gone, p)
		case p.Zone == zone:
			r.OwnZone = append(r.OwnZone, p)
		default:
			r.OtherZones = append(r.OtherZones, p)
		}
	}
	for _, peers := range [][]Peer{r.OwnZone, r.OtherZones, r.Gone} {
		slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	}
	if len(r.OwnZone) > 0 {
		r.Zones = append(r.Zones, zone)
	}
	for _, p := range r.OtherZones {
		if !slices.Contains(r.Zones, p.Zone) {
			r.Zones = append(r.Zones, p.Zone)
		}
	}
	return r
}

// versionHash returns what a record contributes to the hash of the roster.
func versionHash(r *pb.Vm) uint64 {
	if r.GetState() == gone || r.GetHeartbeat() == 0 {
		return 0
	}
	buf := binary.LittleEndian.AppendUint64([]byte(r.GetId()), r.GetIncarnation())
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(buf, r.GetVersion()))
}

func peerOf(r *pb.Vm) Peer {
	return Peer{
		ID: r.GetId(), Zone: r.GetZone(), Gone: r.GetState() == gone,
		Address: net.JoinHostPort(r.GetAddress(), strconv.Itoa(int(r.GetSyncPort()))),
	}
}
