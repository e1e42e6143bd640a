// Package membership tracks the VMs of the fleet by joining the platform's lagging list with
// evidence exchanged between VMs. There is no leader, no quorum and no shared write: each VM holds
// its own table, and tables that merged the same records are equal. The package does no I/O and
// takes the current time as an argument.
package membership

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

const (
	// SuspicionTimeout is how long a suspected VM has to raise its heartbeat before it counts as
	// gone.
	SuspicionTimeout = 3 * time.Second
	// GoneRetention is how long a VM that is gone and not on the list is remembered.
	GoneRetention = 10 * time.Minute
)

// Table is one VM's knowledge of all VMs. It is safe for concurrent use.
type Table struct {
	// selfID does not change.
	selfID string

	mu sync.Mutex
	// entries holds the entries by VM ID, including this VM's own; guarded by mu.
	entries map[string]*entry
	// listed holds the platform's list by VM ID; guarded by mu.
	listed map[string]*pb.Vm
	// roster is the cached roster, nil after a change that affects it; guarded by mu.
	roster *Roster
	// conflicts counts records of this VM's ID from another incarnation; guarded by mu.
	conflicts uint64
}

// entry holds what is known of one VM. It is guarded by the table's mutex.
type entry struct {
	// record is replaced, never modified.
	record *pb.Vm
	// since is the local time from which the timeouts of the record's state count.
	since time.Time
}

// New returns a table that knows only its own VM. self provides the ID, zone, address, ports and
// incarnation.
func New(self *pb.Vm, now time.Time) *Table {
	own := proto.Clone(self).(*pb.Vm)
	own.State, own.Heartbeat, own.Version = live, 1, 1
	return &Table{
		selfID:  self.GetId(),
		entries: map[string]*entry{self.GetId(): {record: own, since: now}},
		listed:  make(map[string]*pb.Vm),
	}
}

// SetList replaces the VMs of the platform's list.
func (t *Table) SetList(vms []*pb.Vm) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.roster = nil
	t.listed = make(map[string]*pb.Vm, len(vms))
	for _, vm := range vms {
		t.listed[vm.GetId()] = vm
	}
}

// RaiseHeartbeat raises the VM's own heartbeat.
func (t *Table) RaiseHeartbeat(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateSelf(now, func(*pb.Vm) {})
}

// SetOwnState sets the VM's own processes and whether it is leaving. It reports whether that is a
// change to publish.
func (t *Table) SetOwnState(processes []*pb.Process, leaves bool, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := live
	if leaves {
		state = leaving
	}
	own := t.entries[t.selfID].record
	changed := own.GetState() != state || !sameProcesses(own.GetProcesses(), processes)
	t.updateSelf(now, func(r *pb.Vm) {
		r.Processes, r.State = processes, state
		if changed {
			r.Version++
		}
	})
	return changed
}

// updateSelf replaces the VM's own record with a changed one of a higher heartbeat. mu must be
// held.
func (t *Table) updateSelf(now time.Time, change func(*pb.Vm)) {
	e := t.entries[t.selfID]
	next := proto.Clone(e.record).(*pb.Vm)
	next.Heartbeat++
	change(next)
	if differsBeyondHeartbeat(e.record, next) {
		t.roster = nil
	}
	e.record, e.since = next, now
}

// Self returns the VM's own record.
func (t *Table) Self() *pb.Vm {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entries[t.selfID].record
}

// Record returns the record of a VM from the exchange between VMs, or nil if there is none.
func (t *Table) Record(id string) *pb.Vm {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[id]; e != nil {
		return e.record
	}
	return nil
}

// Conflicts returns how often another incarnation claimed this VM's ID.
func (t *Table) Conflicts() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conflicts
}

// ObserveHeartbeat records a packet received from the VM itself, with its incarnation, heartbeat
// and version. known is false if the full record is needed, because another version of it is held.
func (t *Table) ObserveHeartbeat(from *pb.Vm, now time.Time) (known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[from.GetId()]
	if e == nil || e.record.GetIncarnation() != from.GetIncarnation() || e.record.GetVersion() != from.GetVersion() {
		return false
	}
	if judged(e.record) {
		// The judgement hides whether the VM is leaving, so a record from the VM itself is needed.
		return false
	}
	if from.GetHeartbeat() > e.record.GetHeartbeat() {
		next := proto.Clone(e.record).(*pb.Vm)
		next.Heartbeat = from.GetHeartbeat()
		e.record, e.since = next, now
	}
	return true
}

// Suspect records that no VM got an answer from a VM whose record had the heartbeat. It reports
// whether that is a change to publish.
func (t *Table) Suspect(id string, heartbeat uint64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, listed := t.entries[id], t.listed[id]
	switch {
	case id == t.selfID:
		return false
	case e == nil && listed != nil:
		t.entries[id] = &entry{record: withIdentity(&pb.Vm{State: suspect}, listed), since: now}
		t.roster = nil
		return true
	case e == nil || judged(e.record) || e.record.GetHeartbeat() > heartbeat:
		return false
	}
	e.record = withIdentity(judgement(e.record, suspect), e.record)
	e.since = now
	return true
}

// Tick marks suspected VMs as gone if they did not refute the suspicion in time, and forgets VMs
// that have been gone for GoneRetention. It returns the VMs newly gone.
func (t *Table) Tick(now time.Time) (goneNow []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.entries {
		age := now.Sub(e.since)
		switch state := e.record.GetState(); {
		case state == suspect && age >= SuspicionTimeout:
			e.record, e.since = withIdentity(judgement(e.record, gone), e.record), now
			goneNow = append(goneNow, id)
			t.roster = nil
		case state == gone && age >= GoneRetention && t.listed[id] == nil:
			delete(t.entries, id)
			t.roster = nil
		}
	}
	return goneNow
}

// RestartSuspicionTimers restarts the timeouts of all suspicions after a pause, because silence
// while this process did not run says nothing about other VMs.
func (t *Table) RestartSuspicionTimers(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		if e.record.GetState() == suspect {
			e.since = now
		}
	}
}
