package membership

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/settings"
)

// View returns the VMs, including this one, with their states according to the rules, sorted by ID.
// VMs that are gone and not on the list are left out.
func (t *Table) View() []*pb.Vm {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*pb.Vm
	for id, e := range t.entries {
		listed := t.listed[id]
		if listed == nil && e.record.GetState() == gone {
			continue
		}
		out = append(out, resolvedRecord(e.record, listed, resolveState(listClaim(listed), evidenceClaim(e.record))))
	}
	for id, listed := range t.listed {
		if t.entries[id] == nil {
			out = append(out, resolvedRecord(listed, listed, resolveState(listClaim(listed), EvidenceNone)))
		}
	}
	slices.SortFunc(out, func(a, b *pb.Vm) int { return cmp.Compare(a.GetId(), b.GetId()) })
	return out
}

// Live returns the IDs of the other VMs of a zone that are live according to the rules.
func (t *Table) Live(zone string) (ids []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.entries {
		state := resolveState(listClaim(t.listed[id]), evidenceClaim(e.record))
		if id != t.selfID && e.record.GetZone() == zone && state == live {
			ids = append(ids, id)
		}
	}
	return ids
}

// resolvedRecord returns a copy of the record with the resolved state. Ports that the VM does not
// report are taken from the list, or else are the default ones.
func resolvedRecord(r, listed *pb.Vm, state pb.VmState) *pb.Vm {
	out := proto.Clone(r).(*pb.Vm)
	out.State = state
	out.EntryPort = cmp.Or(r.GetEntryPort(), listed.GetEntryPort(), settings.DefaultEntryPort)
	out.GatherPort = cmp.Or(r.GetGatherPort(), listed.GetGatherPort(), settings.DefaultGatherPort)
	out.SyncPort = cmp.Or(r.GetSyncPort(), listed.GetSyncPort(), settings.DefaultSyncPort)
	out.OperatorPort = cmp.Or(r.GetOperatorPort(), listed.GetOperatorPort(), settings.DefaultSyncOperatorPort)
	return out
}

// Summary returns the identity, heartbeat, version and state of each record, which suffice to
// compare records. VMs that are gone are left out.
func (t *Table) Summary() []*pb.Vm {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*pb.Vm, 0, len(t.entries))
	for _, e := range t.entries {
		if r := e.record; r.GetState() != gone && r.GetHeartbeat() > 0 {
			out = append(out, &pb.Vm{
				Id: r.GetId(), Incarnation: r.GetIncarnation(), Heartbeat: r.GetHeartbeat(),
				Version: r.GetVersion(), State: r.GetState(),
			})
		}
	}
	return out
}

// Wanted returns the VMs of another VM's summary whose record is newer there in more than the
// heartbeat.
func (t *Table) Wanted(summary []*pb.Vm) (ids []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range summary {
		e := t.entries[r.GetId()]
		if e == nil || compareSummary(r, e.record) > 0 && differsBeyondHeartbeat(e.record, r) {
			ids = append(ids, r.GetId())
		}
	}
	return ids
}

// Records returns the records of the VMs in their wire form.
func (t *Table) Records(ids []string) []*pb.Vm {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*pb.Vm
	for _, id := range ids {
		if e := t.entries[id]; e != nil {
			out = append(out, WireForm(e.record))
		}
	}
	return out
}

// Newer returns, in wire form, the records that are newer here in more than the heartbeat than in
// the summary of another VM, and those missing there.
func (t *Table) Newer(summary []*pb.Vm) []*pb.Vm {
	byID := make(map[string]*pb.Vm, len(summary))
	for _, r := range summary {
		byID[r.GetId()] = r
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*pb.Vm
	for id, e := range t.entries {
		theirs := byID[id]
		lacks := theirs == nil && e.record.GetState() != gone
		newer := theirs != nil && compareSummary(e.record, theirs) > 0 && differsBeyondHeartbeat(theirs, e.record)
		if e.record.GetHeartbeat() > 0 && (lacks || newer) {
			out = append(out, WireForm(e.record))
		}
	}
	return out
}
