package order

import (
	"sync"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/outcome"
)

// maxWatermarks is the maximum number of minting incarnations for which a witness keeps a
// watermark. A watermark takes about 32 bytes and is kept for the lifetime of the process.
const maxWatermarks = 65_536

const stepWitness = "order.witness"

// ticketKey identifies a ticket in maps.
type ticketKey struct {
	minter   identity
	sequence uint64
}

func keyOf(id *pb.TicketId) ticketKey {
	return ticketKey{identity{id.GetVm(), id.GetIncarnation()}, id.GetSequence()}
}

// note is what a witness knows of a ticket. Its state changes from intent to done, or is sealed
// from the start and stays so.
type note struct {
	key    ticketKey
	state  pb.TicketState
	caller string
	digest uint64
	record *pb.TicketRecord
	// evictAt is the time since boot at which the note is dropped.
	evictAt time.Duration
}

// witness notes intents for other gathers and seals tickets. It never compares its clock with that
// of another VM: evicting a note raises the watermark of the minting incarnation to the note's
// sequence number, and for tickets up to the watermark the witness neither accepts an intent nor
// reports "never run".
type witness struct {
	incarnation uint64
	maxNotes    int
	retention   time.Duration
	clock       *bootClock

	mu sync.Mutex
	// All below is guarded by mu. queue holds the notes by age. watermark is the highest evicted
	// sequence number by minting incarnation.
	notes     map[ticketKey]*note
	queue     []*note
	watermark map[identity]uint64
}

func newWitness(cfg Config, incarnation uint64, clock *bootClock) *witness {
	return &witness{
		incarnation: incarnation, maxNotes: cfg.MaxNotes, retention: cfg.PeerRetention, clock: clock,
		notes: make(map[ticketKey]*note), watermark: make(map[identity]uint64),
	}
}

// noteIntent notes the intent, which allows the order to be sent from now on. Once it has done so,
// the ticket is never sealed. A repeated request gets the state of the existing note. It refuses a
// request for another incarnation of this witness, for an order other than the noted one, and for a
// new note if there is no room.
func (w *witness) noteIntent(req *pb.NoteIntentRequest) (*pb.NoteIntentResponse, *outcome.Error) {
	if req.GetWitnessIncarnation() != w.incarnation {
		return nil, outcome.NotRun(pb.Reason_REASON_INCARNATION_GONE, stepWitness, "the witness has restarted")
	}
	key := keyOf(req.GetTicket())
	now := w.clock.Since()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.evictExpired(now)
	if n := w.notes[key]; n != nil {
		return w.answerRepeatedIntent(n, req.GetOrderDigest())
	}
	if key.sequence <= w.watermark[key.minter] {
		return &pb.NoteIntentResponse{Sealed: true}, nil
	}
	if !w.hasRoom(key.minter) {
		return nil, outcome.NotRun(pb.Reason_REASON_OVERLOAD, stepWitness, "too many notes held")
	}
	w.add(&note{
		key: key, state: pb.TicketState_TICKET_STATE_INTENT,
		caller: req.GetCaller(), digest: req.GetOrderDigest(), evictAt: now + w.retention,
	})
	return &pb.NoteIntentResponse{}, nil
}

// answerRepeatedIntent answers a repeated intent, which lost answers and pauses of the gather
// cause. The caller must hold mu.
func (w *witness) answerRepeatedIntent(n *note, digest uint64) (*pb.NoteIntentResponse, *outcome.Error) {
	switch {
	case n.state == pb.TicketState_TICKET_STATE_SEALED:
		return &pb.NoteIntentResponse{Sealed: true}, nil
	case n.digest != digest:
		return nil, outcome.NotRun(pb.Reason_REASON_TICKET_REUSED, stepWitness, "another order is noted")
	default:
		return &pb.NoteIntentResponse{Record: n.record}, nil
	}
}

// resolve returns what is known of a ticket, and seals the ticket if no intent is noted.
func (w *witness) resolve(req *pb.ResolveRequest) *pb.ResolveResponse {
	key := keyOf(req.GetTicket())
	now := w.clock.Since()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.evictExpired(now)
	n := w.notes[key]
	if n == nil {
		return w.seal(key, req.GetCaller(), now)
	}
	if n.caller != req.GetCaller() {
		return notKnown()
	}
	if n.state == pb.TicketState_TICKET_STATE_INTENT && req.GetMinterGone() {
		n.closeAsUnknown(req.GetTicket())
	}
	return &pb.ResolveResponse{State: n.state, Record: n.record}
}

// seal guarantees that the ticket never runs. The caller must hold mu.
func (w *witness) seal(key ticketKey, caller string, now time.Duration) *pb.ResolveResponse {
	if key.sequence <= w.watermark[key.minter] || !w.hasRoom(key.minter) {
		return notKnown()
	}
	w.add(&note{key: key, state: pb.TicketState_TICKET_STATE_SEALED, caller: caller, evictAt: now + w.retention})
	return &pb.ResolveResponse{State: pb.TicketState_TICKET_STATE_SEALED}
}

// closeAsUnknown makes the outcome unknown for good, because no process that knows it is left. The
// caller must hold the witness's mu.
func (n *note) closeAsUnknown(id *pb.TicketId) {
	n.state = pb.TicketState_TICKET_STATE_DONE
	outcomeErr := outcome.Unknown(pb.Reason_REASON_INCARNATION_GONE, stepWitness, "the gather ended with the order under way, it may have run")
	n.record = &pb.TicketRecord{
		Ticket: id, State: n.state, Caller: n.caller, OrderDigest: n.digest, Outcome: outcomeErr.WithPeer(id.GetVm()).Proto(""),
	}
}

// recordOutcome stores the final record of a noted order. It does not replace a final record.
func (w *witness) recordOutcome(r *pb.TicketRecord) {
	if r.GetState() != pb.TicketState_TICKET_STATE_DONE {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.notes[keyOf(r.GetTicket())]
	if n == nil || n.state != pb.TicketState_TICKET_STATE_INTENT || n.digest != r.GetOrderDigest() {
		return
	}
	n.state, n.record = pb.TicketState_TICKET_STATE_DONE, r
}

// hasRoom reports whether a note of the minter, and later its watermark, can be held. The caller
// must hold mu.
func (w *witness) hasRoom(minter identity) bool {
	_, known := w.watermark[minter]
	return len(w.notes) < w.maxNotes && (known || len(w.watermark) < maxWatermarks)
}

// add stores a note. The caller must hold mu.
func (w *witness) add(n *note) {
	w.notes[n.key] = n
	w.queue = append(w.queue, n)
	if _, known := w.watermark[n.key.minter]; !known {
		w.watermark[n.key.minter] = 0
	}
}

// evictExpired drops expired notes and raises the watermarks. The caller must hold mu.
func (w *witness) evictExpired(now time.Duration) {
	n := 0
	for n < len(w.queue) && w.queue[n].evictAt <= now {
		old := w.queue[n]
		w.watermark[old.key.minter] = max(w.watermark[old.key.minter], old.key.sequence)
		delete(w.notes, old.key)
		w.queue[n] = nil
		n++
	}
	w.queue = w.queue[n:]
}

// notesByState returns the number of notes by state.
func (w *witness) notesByState() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	by := make(map[string]int)
	for _, n := range w.notes {
		by[stateName(n.state)]++
	}
	return by
}

func notKnown() *pb.ResolveResponse {
	return &pb.ResolveResponse{State: pb.TicketState_TICKET_STATE_NOT_KNOWN}
}
