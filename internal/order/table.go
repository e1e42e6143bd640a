package order

import (
	"sync"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// identity identifies a gather incarnation.
type identity struct {
	vm          string
	incarnation uint64
}

// state is the progress of a ticket's order. It only moves forward.
type state int

const (
	// stateMinted: no order has arrived with the ticket yet.
	stateMinted state = iota
	// stateRunning: one goroutine works on the order.
	stateRunning
	// stateDone: the record is final.
	stateDone
)

// entry is a ticket of this incarnation. sequence, expires and caller do not change. The other
// fields are guarded by table.mu; digest and done are set once, by the first send.
type entry struct {
	sequence uint64
	// expires is the time since boot before which the order must start.
	expires time.Duration
	state   state
	caller  string
	// digest identifies the one order of the ticket. It is 0 until that order arrives.
	digest uint64
	// done is closed when the record is final; nil before the first send.
	done   chan struct{}
	record *pb.TicketRecord
}

// table holds the tickets of this incarnation, oldest first, until RecordRetention after their
// expiry. An order may run only if a minted entry exists, so no clock error can make an order run
// twice.
type table struct {
	cfg   Config
	clock *bootClock
	self  identity

	mu sync.Mutex
	// All below is guarded by mu. queue holds the entries in the order of minting.
	entries     map[uint64]*entry
	queue       []*entry
	byCaller    map[string]int
	resultBytes int
	// forgottenTo is the highest sequence number whose entry was dropped.
	forgottenTo uint64
	// sealed is true once no further order may start.
	sealed  bool
	running int
	minted  int
	// changed is closed and replaced when running or minted decreases.
	changed chan struct{}
}

func newTable(cfg Config, clock *bootClock, self identity) *table {
	return &table{
		cfg: cfg, clock: clock, self: self, entries: make(map[uint64]*entry),
		byCaller: make(map[string]int), changed: make(chan struct{}),
	}
}

// limitReached evicts old entries, then returns the reason why no more tickets of the caller can be
// held, or unspecified if there is room.
func (t *table) limitReached(caller string) pb.Reason {
	now := t.clock.Since()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evictExpired(now)
	switch {
	case len(t.entries) >= t.cfg.MaxTickets || t.resultBytes >= t.cfg.MaxResultBytes:
		return pb.Reason_REASON_OVERLOAD
	case t.byCaller[caller] >= t.cfg.MaxCallerTickets:
		return pb.Reason_REASON_CALLER_LIMIT
	}
	return pb.Reason_REASON_UNSPECIFIED
}

// add creates the entry of a new ticket. It returns false if the table has been sealed.
func (t *table) add(sequence uint64, caller string, expires time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sealed {
		return false
	}
	e := &entry{sequence: sequence, expires: expires, caller: caller}
	t.entries[sequence] = e
	t.queue = append(t.queue, e)
	t.byCaller[caller]++
	t.minted++
	return true
}

// evictExpired drops entries in the order of minting, up to the first one that is running or
// expired less than RecordRetention ago. The caller must hold mu.
func (t *table) evictExpired(now time.Duration) {
	n := 0
	for _, e := range t.queue {
		if e.state == stateRunning || now < e.expires+t.cfg.RecordRetention {
			break
		}
		if e.state == stateMinted {
			t.minted--
		}
		t.drop(e)
		t.queue[n] = nil
		n++
	}
	t.queue = t.queue[n:]
	if n > 0 {
		t.notifyChanged()
	}
}

// drop removes an entry from the map and the counts. The caller must hold mu.
func (t *table) drop(e *entry) {
	t.resultBytes -= len(e.record.GetResponse().GetResult())
	t.forgottenTo = max(t.forgottenTo, e.sequence)
	delete(t.entries, e.sequence)
	if t.byCaller[e.caller]--; t.byCaller[e.caller] == 0 {
		delete(t.byCaller, e.caller)
	}
}

// verdict says how a send of a ticket proceeds.
type verdict int

const (
	// verdictEvicted: the ticket's record has been evicted.
	verdictEvicted verdict = iota
	// verdictReused: the ticket belongs to another order.
	verdictReused
	// verdictStart: this send starts the order.
	verdictStart
	// verdictJoin: the order is running or done.
	verdictJoin
	// verdictExpired and verdictSealed: this send may not start the order, and must record that.
	verdictExpired
	verdictSealed
)

// begin claims the ticket for an order. At most one send of a ticket gets verdictStart.
func (t *table) begin(sequence, digest uint64) (*entry, verdict) {
	now := t.clock.Since()
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[sequence]
	switch {
	case e == nil:
		return nil, verdictEvicted
	case e.digest != 0 && e.digest != digest:
		return nil, verdictReused
	case e.state != stateMinted:
		return e, verdictJoin
	}
	e.state, e.digest, e.done = stateRunning, digest, make(chan struct{})
	t.minted--
	t.running++
	switch {
	case now >= e.expires:
		return e, verdictExpired
	case t.sealed:
		return e, verdictSealed
	}
	return e, verdictStart
}

// finish makes the record of a running entry final.
func (t *table) finish(e *entry, record *pb.TicketRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.record, e.state = record, stateDone
	t.resultBytes += len(record.GetResponse().GetResult())
	t.running--
	close(e.done)
	t.notifyChanged()
}

// expired reports whether it is too late for an entry to start.
func (t *table) expired(e *entry) bool { return t.clock.Since() >= e.expires }

// recordOf returns the record of a done entry.
func (t *table) recordOf(e *entry) *pb.TicketRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	return e.record
}

// notifyChanged wakes the goroutines that wait for changed. The caller must hold mu.
func (t *table) notifyChanged() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// ticketID returns the fleet-wide id of a ticket of this incarnation.
func (t *table) ticketID(sequence uint64) *pb.TicketId {
	return &pb.TicketId{Vm: t.self.vm, Incarnation: t.self.incarnation, Sequence: sequence}
}

// counts holds the number of tickets by state and the size of their results.
type counts struct {
	Held        int    `json:"held"`
	Minted      int    `json:"minted"`
	Running     int    `json:"running"`
	ResultBytes int    `json:"result_bytes"`
	ForgottenTo uint64 `json:"forgotten_to"`
	Sealed      bool   `json:"sealed"`
}

func (t *table) counts() counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.countsLocked()
}

// countsLocked returns the counts. The caller must hold mu.
func (t *table) countsLocked() counts {
	return counts{
		Held: len(t.entries), Minted: t.minted, Running: t.running,
		ResultBytes: t.resultBytes, ForgottenTo: t.forgottenTo, Sealed: t.sealed,
	}
}
