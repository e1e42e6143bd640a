package order

import (
	"sync"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/outcome"
)

const stepArchive = "order.archive"

// retired is what an incarnation that left in order handed over. It is dropped as a whole, so that
// a missing record keeps its meaning.
type retired struct {
	records map[uint64]*pb.TicketRecord
	// total is how many records there are in all, known from when the minter has sealed its tickets;
	// -1 until then.
	total       int
	forgottenTo uint64
	// forgetAt is the time since boot at which it is dropped.
	forgetAt time.Duration
}

// sealedAll tells whether all records are here and a ticket without one never ran.
func (r *retired) sealedAll() bool { return r.total >= 0 && len(r.records) >= r.total }

// archive holds the records of retired incarnations for those who ask later.
type archive struct {
	limit int
	keep  time.Duration
	clock *elapsed

	mu sync.Mutex
	// byMinter and count, the number of records in it, are guarded by mu.
	byMinter map[identity]*retired
	count    int
}

func newArchive(cfg Config, clock *elapsed) *archive {
	return &archive{limit: cfg.ArchiveLimit, keep: cfg.PeerKeep, clock: clock, byMinter: make(map[identity]*retired)}
}

// accept takes one part of a handover. Parts may come again; a record that is there stays, but for
// an intent, which its outcome follows.
func (a *archive) accept(req *pb.HandoverRequest) *outcome.Error {
	now := a.clock.Since()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.forget(now)
	if a.count+len(req.GetRecords()) > a.limit {
		return outcome.NotRun(pb.Reason_REASON_OVERLOAD, stepArchive, "too many records held")
	}
	minter := identity{req.GetVm(), req.GetIncarnation()}
	r := a.byMinter[minter]
	if r == nil {
		r = &retired{records: make(map[uint64]*pb.TicketRecord), total: -1, forgetAt: now + min(req.GetKeep().AsDuration(), a.keep)}
		a.byMinter[minter] = r
	}
	for _, rec := range req.GetRecords() {
		a.put(r, rec)
	}
	r.forgottenTo = max(r.forgottenTo, req.GetForgottenTo())
	if req.GetSealedAll() {
		r.total = int(req.GetRecordsTotal())
	}
	return nil
}

// put holds a record. Needs mu.
func (a *archive) put(r *retired, rec *pb.TicketRecord) {
	seq := rec.GetTicket().GetSequence()
	old := r.records[seq]
	switch {
	case old == nil:
		a.count++
	case old.GetState() == pb.TicketState_TICKET_STATE_DONE:
		return
	}
	r.records[seq] = rec
}

// lookup says what is known of a ticket.
func (a *archive) lookup(id *pb.TicketId, caller string) *pb.ResolveResponse {
	now := a.clock.Since()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.forget(now)
	r := a.byMinter[identity{id.GetVm(), id.GetIncarnation()}]
	if r == nil {
		return notKnown()
	}
	rec := r.records[id.GetSequence()]
	switch {
	case rec != nil && rec.GetCaller() == caller:
		return &pb.ResolveResponse{State: rec.GetState(), Record: rec}
	case rec == nil && r.sealedAll() && id.GetSequence() > r.forgottenTo:
		return &pb.ResolveResponse{State: pb.TicketState_TICKET_STATE_SEALED}
	}
	return notKnown()
}

// forget drops old handovers. Needs mu.
func (a *archive) forget(now time.Duration) {
	for minter, r := range a.byMinter {
		if r.forgetAt <= now {
			a.count -= len(r.records)
			delete(a.byMinter, minter)
		}
	}
}

// parts returns all that is held as handovers to pass on.
func (a *archive) parts() []*estate {
	now := a.clock.Since()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.forget(now)
	var all []*estate
	for minter, r := range a.byMinter {
		e := &estate{minter: minter, sealedAll: r.sealedAll(), forgottenTo: r.forgottenTo, keep: r.forgetAt - now}
		for _, rec := range r.records {
			e.records = append(e.records, rec)
		}
		all = append(all, e)
	}
	return all
}

// held returns the retired incarnations and records held.
func (a *archive) held() (incarnations, records int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.byMinter), a.count
}
