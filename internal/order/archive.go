package order

import (
	"sync"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/outcome"
)

const stepArchive = "order.archive"

// retiredIncarnation is what an incarnation that left in order handed over. It is dropped as a whole, so that
// a missing record keeps its meaning.
type retiredIncarnation struct {
	records map[uint64]*pb.TicketRecord
	// total is how many records there are in all, known from when the minter has sealed its tickets;
	// -1 until then.
	total       int
	forgottenTo uint64
	// evictAt is the time since boot at which it is dropped.
	evictAt time.Duration
}

// complete tells whether all records are here and a ticket without one never ran.
func (r *retiredIncarnation) complete() bool { return r.total >= 0 && len(r.records) >= r.total }

// archive holds the records of retired incarnations for those who ask later.
type archive struct {
	maxRecords int
	retention  time.Duration
	clock      *bootClock

	mu sync.Mutex
	// byMinter and count, the number of records in it, are guarded by mu.
	byMinter map[identity]*retiredIncarnation
	count    int
}

func newArchive(cfg Config, clock *bootClock) *archive {
	return &archive{maxRecords: cfg.MaxArchivedRecords, retention: cfg.PeerRetention, clock: clock, byMinter: make(map[identity]*retiredIncarnation)}
}

// accept takes one part of a handover. Parts may come again; a record that is there stays, but for
// an intent, which its outcome follows.
func (a *archive) accept(req *pb.HandoverRequest) *outcome.Error {
	now := a.clock.Since()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.evictExpired(now)
	if a.count+len(req.GetRecords()) > a.maxRecords {
		return outcome.NotRun(pb.Reason_REASON_OVERLOAD, stepArchive, "too many records held")
	}
	minter := identity{req.GetVm(), req.GetIncarnation()}
	r := a.byMinter[minter]
	if r == nil {
		r = &retiredIncarnation{records: make(map[uint64]*pb.TicketRecord), total: -1, evictAt: now + min(req.GetKeep().AsDuration(), a.retention)}
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
func (a *archive) put(r *retiredIncarnation, rec *pb.TicketRecord) {
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
	a.evictExpired(now)
	r := a.byMinter[identity{id.GetVm(), id.GetIncarnation()}]
	if r == nil {
		return notKnown()
	}
	rec := r.records[id.GetSequence()]
	switch {
	case rec != nil && rec.GetCaller() == caller:
		return &pb.ResolveResponse{State: rec.GetState(), Record: rec}
	case rec == nil && r.complete() && id.GetSequence() > r.forgottenTo:
		return &pb.ResolveResponse{State: pb.TicketState_TICKET_STATE_SEALED}
	}
	return notKnown()
}

// evictExpired drops old handovers. Needs mu.
func (a *archive) evictExpired(now time.Duration) {
	for minter, r := range a.byMinter {
		if r.evictAt <= now {
			a.count -= len(r.records)
			delete(a.byMinter, minter)
		}
	}
}

// handoverData returns all that is held as handovers to pass on.
func (a *archive) handoverData() []*handoverData {
	now := a.clock.Since()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.evictExpired(now)
	var all []*handoverData
	for minter, r := range a.byMinter {
		data := &handoverData{minter: minter, sealedAll: r.complete(), forgottenTo: r.forgottenTo, retention: r.evictAt - now}
		for _, rec := range r.records {
			data.records = append(data.records, rec)
		}
		all = append(all, data)
	}
	return all
}

// size returns the retired incarnations and records held.
func (a *archive) size() (incarnations, records int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.byMinter), a.count
}
