package membership

import (
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// Result says what a merge changed.
type Result struct {
	// Updated are the VMs of which something is new that the hash of the roster shows.
	Updated []string
	// Judged are the VMs newly judged suspect or gone, and those of which that was withdrawn: the
	// hash doesn't show it.
	Judged []string
	// Outdated are the VMs of which the sender held a lower record that misjudges them.
	Outdated []string
	// Refuted is true where this VM raised its own heartbeat against a record of itself.
	Refuted bool
}

// Any tells whether there is anything new.
func (r Result) Any() bool { return len(r.Updated)+len(r.Judged) > 0 }

// add adds a VM of which something other than the heartbeat is new.
func (r *Result) add(id string, judged bool) {
	if judged {
		r.Judged = append(r.Judged, id)
	} else {
		r.Updated = append(r.Updated, id)
	}
}

// Merge takes records from another VM.
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

// mergeSelf answers a record of this VM that is not its newest word: the VM raises its heartbeat
// above one that would hold against its own. mu is held.
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

// mergeOther takes a record of another VM if it is higher than the one held; mu is held.
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

// insert takes the first record of a VM. A judgement of a VM that is not even on the list says
// nothing; mu is held.
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

// replace puts a higher record in place; mu is held.
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
