package membership

import (
	"cmp"
	"encoding/binary"
	"net"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/settings"
)

// View returns the VMs with the states that hold by the rules, sorted by id, the own one among
// them. VMs that are gone and not on the list are left out.
func (t *Table) View() []*pb.Vm {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*pb.Vm
	for id, e := range t.entries {
		listed := t.listed[id]
		if listed == nil && e.record.GetState() == gone {
			continue
		}
		out = append(out, joined(e.record, listed, join(listClaim(listed), evidenceClaim(e.record))))
	}
	for id, listed := range t.listed {
		if t.entries[id] == nil {
			out = append(out, joined(listed, listed, join(listClaim(listed), EvidenceNone)))
		}
	}
	slices.SortFunc(out, func(a, b *pb.Vm) int { return cmp.Compare(a.GetId(), b.GetId()) })
	return out
}

// joined returns a copy of the record with the state that holds, and with the ports that a VM
// doesn't say itself: the list's, or else the usual ones.
func joined(r, listed *pb.Vm, state pb.VmState) *pb.Vm {
	out := proto.Clone(r).(*pb.Vm)
	out.State = state
	out.EntryPort = cmp.Or(r.GetEntryPort(), listed.GetEntryPort(), settings.DefaultEntryPort)
	out.GatherPort = cmp.Or(r.GetGatherPort(), listed.GetGatherPort(), settings.DefaultGatherPort)
	out.SyncPort = cmp.Or(r.GetSyncPort(), listed.GetSyncPort(), settings.DefaultSyncPort)
	out.OperatorPort = cmp.Or(r.GetOperatorPort(), listed.GetOperatorPort(), settings.DefaultSyncOperatorPort)
	return out
}

// Records returns what this VM knows between VMs, as it is sent: the newest record of each VM but
// of those that are gone.
func (t *Table) Records() []*pb.Vm {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*pb.Vm, 0, len(t.entries))
	for _, e := range t.entries {
		if e.record.GetState() != gone && e.record.GetHeartbeat() > 0 {
			out = append(out, ForTravel(e.record))
		}
	}
	slices.SortFunc(out, func(a, b *pb.Vm) int { return cmp.Compare(a.GetId(), b.GetId()) })
	return out
}

// Newer returns, as they are sent, the records that are higher than those of another VM, and those
// that it lacks.
func (t *Table) Newer(theirs []*pb.Vm) []*pb.Vm {
	byID := make(map[string]*pb.Vm, len(theirs))
	for _, r := range theirs {
		byID[r.GetId()] = r
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*pb.Vm
	for id, e := range t.entries {
		their := byID[id]
		lacks := their == nil && e.record.GetState() != gone
		if e.record.GetHeartbeat() > 0 && (lacks || their != nil && Compare(e.record, their) > 0) {
			out = append(out, ForTravel(e.record))
		}
	}
	return out
}

// Hash is equal for tables that hold the same VMs in the same versions. Heartbeats, suspicions and
// VMs that are gone are left out: they differ between VMs in the calm as well.
func (t *Table) Hash() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum uint64
	var buf []byte
	for id, e := range t.entries {
		if e.record.GetState() == gone || e.record.GetHeartbeat() == 0 {
			continue
		}
		buf = append(buf[:0], id...)
		buf = binary.LittleEndian.AppendUint64(buf, e.record.GetIncarnation())
		buf = binary.LittleEndian.AppendUint64(buf, e.record.GetVersion())
		sum += xxhash.Sum64(buf)
	}
	return sum
}

// Peer is a VM whose sync can be contacted.
type Peer struct {
	ID, Zone string
	// Address is HOST:PORT of its sync.
	Address string
	// Heartbeat known when the peer was looked up.
	Heartbeat uint64
	// Gone is true where it is judged gone and contacted only to see whether it is back.
	Gone bool
}

// Peers returns the other VMs that can be contacted: those of the list and those that spoke.
func (t *Table) Peers() []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Peer, 0, len(t.entries)+len(t.listed))
	for id, e := range t.entries {
		if id != t.selfID {
			out = append(out, peerOf(e.record))
		}
	}
	for id, listed := range t.listed {
		if t.entries[id] == nil {
			out = append(out, peerOf(listed))
		}
	}
	slices.SortFunc(out, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Peer returns a VM by its id and whether it is known.
func (t *Table) Peer(id string) (Peer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[id]; e != nil {
		return peerOf(e.record), true
	}
	if listed := t.listed[id]; listed != nil {
		return peerOf(listed), true
	}
	return Peer{}, false
}

func peerOf(r *pb.Vm) Peer {
	return Peer{
		ID: r.GetId(), Zone: r.GetZone(), Heartbeat: r.GetHeartbeat(), Gone: r.GetState() == gone,
		Address: net.JoinHostPort(r.GetAddress(), strconv.Itoa(int(r.GetSyncPort()))),
	}
}
