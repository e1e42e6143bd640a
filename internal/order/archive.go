package order

import (
	"sync"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/outcome"
)

const stepArchive = "order.archive"

// retiredIncarnation holds the records that an incarnation handed over when it drained. It is
// evicted as a whole, so that a missing record of a complete handover always means a ticket without
// an order.
type retiredIncarnation struct {
	records map[uint64]*pb.TicketRecord
	// total is the number of records of the incarnation. It is known once the minter has sealed
	// its tickets, and -1 until then.
	total       int
	forgottenTo uint64
	// evictAt is the time since boot at which the records are dropped.
	evictAt time.Duration
}

// complete reports whether all records have arrived, in which case a ticket without a record never
// ran.
func (r *retiredIncarnation) complete() bool { return r.total >= 0 && len(r.records) >= r.total }

// archive holds the records of retired incarnations and answers later resolve requests from them.
type archive struct {
	maxRecords int
	retention  time.Duration
	clock      *bootClock

	mu sync.Mutex
	// byMinter, and count, the number of records in it, are guarded by mu.
	byMinter map[identity]*retiredIncarnation
	count    int
}

func newArchive(cfg Config, clock *bootClock) *archive {
	return &archive{maxRecords: cfg.MaxArchivedRecords, retention: cfg.PeerRetention, clock: clock, byMinter: make(map[identity]*retiredIncarnation)}
}

// accept stores one request of a handover. Requests may be repeated: a record that is present is
// kept, except that an intent is replaced by its outcome. It refuses the request with reason
// overload when the archive would exceed maxRecords.
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

// put stores a record. The caller must hold mu.
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

// lookup returns what the archive knows of a ticket of the caller. The state is not_known for
// another caller's ticket.
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

// evictExpired drops handovers past their retention. The caller must hold mu.
func (a *archive) evictExpired(now time.Duration) {
	for minter, r := range a.byMinter {
		if r.evictAt <= now {
			a.count -= len(r.records)
			delete(a.byMinter, minter)
		}
	}
}

// handoverData returns all that is held, by incarnation, to be passed on when this gather drains.
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

// size returns the number of retired incarnations and of their records.
func (a *archive) size() (incarnations, records int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.byMinter), a.count
}
