package membership

import (
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// Result describes what a merge changed.
type Result struct {
	// Updated lists the VMs with a change that the hash of the roster covers.
	Updated []string
	// Judged lists the VMs newly judged suspect or gone, and those whose judgement was withdrawn.
	// The hash does not cover these changes.
	Judged []string
	// Outdated lists the VMs for which the sender holds a lower record that misjudges them.
	Outdated []string
	// Refuted is true if this VM raised its own heartbeat to refute a record of itself.
	Refuted bool
}

// Any reports whether Updated or Judged lists any VM.
func (r Result) Any() bool { return len(r.Updated)+len(r.Judged) > 0 }

// add adds a VM with a change other than its heartbeat.
func (r *Result) add(id string, judged bool) {
	if judged {
		r.Judged = append(r.Judged, id)
	} else {
		r.Updated = append(r.Updated, id)
	}
}

// Merge merges records received from another VM.
func (t *Table) Merge(records []*pb.Vm, now time.Time) Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	var res Result
	for _, r := range records {
		switch {
		case r.GetId() == t.selfID:
			t.mergeSelf(r, now, &res)
		case r.GetId() != "" && (r.GetHeartbeat() > 0 || judged(r)):
			t.mergeOther(r, now, &res)
		}
	}
	return res
}

// mergeSelf handles a record of this VM that is not its current one. If the received record would
// prevail, the VM raises its heartbeat above it. mu must be held.
func (t *Table) mergeSelf(r *pb.Vm, now time.Time, res *Result) {
	own := t.entries[t.selfID].record
	if Compare(r, own) <= 0 {
		if r.GetVersion() != own.GetVersion() || r.GetIncarnation() != own.GetIncarnation() || judged(r) {
			res.Outdated = append(res.Outdated, t.selfID)
		}
		return
	}
	if r.GetIncarnation() != own.GetIncarnation() {
		t.conflicts++
	}
	t.updateSelf(now, func(next *pb.Vm) { next.Heartbeat = r.GetHeartbeat() + 1 })
	res.add(t.selfID, true)
	res.Refuted = true
}

// mergeOther merges a record of another VM if it is higher than the one held. mu must be held.
func (t *Table) mergeOther(r *pb.Vm, now time.Time, res *Result) {
	e := t.entries[r.GetId()]
	if e == nil {
		t.insert(r, now, res)
		return
	}
	c := Compare(r, e.record)
	if c < 0 && judged(r) && !judged(e.record) {
		res.Outdated = append(res.Outdated, r.GetId())
	}
	if c <= 0 {
		return
	}
	t.replace(e, r, now, res)
}

// insert adds the first record of a VM. It ignores a judgement of a VM that is not even on the
// list. mu must be held.
func (t *Table) insert(r *pb.Vm, now time.Time, res *Result) {
	if judged(r) {
		listed := t.listed[r.GetId()]
		if listed == nil {
			return
		}
		r = withIdentity(r, listed)
	}
	t.entries[r.GetId()] = &entry{record: r, since: now}
	t.roster = nil
	res.add(r.GetId(), judged(r))
}

// replace replaces a record with a higher one. mu must be held.
func (t *Table) replace(e *entry, r *pb.Vm, now time.Time, res *Result) {
	before := e.record
	if judged(r) {
		r = withIdentity(r, before)
	}
	e.record = r
	if before.GetState() != r.GetState() || before.GetIncarnation() != r.GetIncarnation() || judged(r) {
		e.since = now
	}
	if differsBeyondHeartbeat(before, r) {
		t.roster = nil
		res.add(r.GetId(), judged(before) || judged(r))
	}
}
