// Package order runs non-idempotent orders at most once without shared state. A ticket is pinned to
// the gather incarnation that minted it, and only that incarnation runs the ticket's order. Once
// the first byte is written, the order is not sent again. A second gather, the witness, notes the
// intent before the order is sent. Each ticket ends in one final record, which every later send
// receives.
package order

import (
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/burdockplank/burdockplank/internal/balance"
	"github.com/burdockplank/burdockplank/internal/feed"
	"github.com/burdockplank/burdockplank/internal/ticket"
	"github.com/burdockplank/burdockplank/internal/upstream"
)

// MaxTTL is the longest lifetime of a ticket that any gather may set. Witnesses and peers keep
// their notes and records longer than this, counted from receipt.
const MaxTTL = 2 * time.Minute

// Config holds the time and memory limits of orders. DefaultConfig returns the defaults.
type Config struct {
	// TTL is the time within which the first send of a ticket must arrive, at most MaxTTL.
	TTL time.Duration
	// RecordRetention is how long the record of a ticket is kept after the ticket's expiry.
	RecordRetention time.Duration
	// MaxTickets is the maximum number of tickets held. A minted ticket occupies its entry until
	// its record is dropped, so there is always room for its record.
	MaxTickets int
	// MaxCallerTickets is the maximum number of tickets held for one caller.
	MaxCallerTickets int
	// MaxResultBytes is the total size of held results, in bytes, from which no more tickets are
	// minted.
	MaxResultBytes int
	// NoteTimeout bounds the round trip to the witness before the first byte of the order is sent.
	NoteTimeout time.Duration
	// SlotTimeout is how long an order waits for a free slot at a leaf, and SlotPollInterval the
	// time between two attempts to get one.
	SlotTimeout, SlotPollInterval time.Duration
	// LateAnswerGracePeriod is how long the leaf's answer is awaited after the order's deadline.
	LateAnswerGracePeriod time.Duration
	// WitnessWait is how long after its start a gather waits for a witness before it mints a
	// ticket without one. When a whole fleet starts, its gathers need a moment to discover each
	// other.
	WitnessWait time.Duration
	// WitnessCooldown is how long a witness that failed is not picked for new tickets.
	WitnessCooldown time.Duration
	// RetryAfter is the retry delay sent to a caller whose order is still running, or was refused
	// for a cause that may be transient.
	RetryAfter time.Duration
	// MaxNotes is the maximum number of tickets of other gathers held as their witness.
	MaxNotes int
	// MaxArchivedRecords is the maximum number of records of retired incarnations held.
	MaxArchivedRecords int
	// PeerRetention is how long a witness or peer keeps what it received.
	PeerRetention time.Duration
	// DrainGracePeriod is how long a draining gather waits for tickets not yet used.
	DrainGracePeriod time.Duration
	// PeerTimeout bounds one call to a peer: a round of spreading, a handover message or a resolve
	// request.
	PeerTimeout time.Duration
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		TTL:                   30 * time.Second,
		RecordRetention:       2 * time.Minute,
		MaxTickets:            50_000,
		MaxCallerTickets:      25_000,
		MaxResultBytes:        32 << 20,
		NoteTimeout:           250 * time.Millisecond,
		SlotTimeout:           100 * time.Millisecond,
		SlotPollInterval:      2 * time.Millisecond,
		LateAnswerGracePeriod: 5 * time.Second,
		WitnessWait:           2 * time.Second,
		WitnessCooldown:       5 * time.Second,
		RetryAfter:            200 * time.Millisecond,
		MaxNotes:              100_000,
		MaxArchivedRecords:    100_000,
		PeerRetention:         2*MaxTTL + time.Minute,
		DrainGracePeriod:      2 * time.Second,
		PeerTimeout:           500 * time.Millisecond,
	}
}

// Pauses reports when the process last resumed from a pause. *process.PauseDetector implements it.
type Pauses interface {
	LastPause(now time.Time) time.Time
}

// Options holds the settings and dependencies of a Manager.
type Options struct {
	Config      Config
	VM          string
	Incarnation uint64
	Source      feed.Source
	// Replicas returns the replica balancer of a service.
	Replicas func(service string) balance.Replicas
	Leaves   upstream.Caller
	Peers    Peers
	Pauses   Pauses
	Registry prometheus.Registerer
	Log      *zap.Logger
	// Now and Random are time.Now and math/rand/v2.Float64 in the running process.
	Now    balance.Clock
	Random balance.Random
}

// Manager owns the tickets of one gather incarnation and runs their orders. It is safe for
// concurrent use.
type Manager struct {
	cfg      Config
	vm       string
	source   feed.Source
	replicas func(string) balance.Replicas
	leaves   upstream.Caller
	peers    Peers
	pauses   Pauses
	log      *zap.Logger
	now      balance.Clock
	metrics  *metrics

	minter          *ticket.Minter
	table           *table
	witnessSelector *witnessSelector
	// witness and archive hold what this gather knows of other gathers' tickets.
	witness *witness
	archive *archive
	// resolver answers for tickets of earlier incarnations of this VM's gather.
	resolver *Resolver
	// pendingOutcomes are final records that have yet to be sent to their witnesses.
	pendingOutcomes chan pendingOutcome
	// draining is set when this gather starts to drain. No ticket is minted from then on.
	draining atomic.Bool
}

// New returns a Manager with a new ticket key.
func New(o Options) *Manager {
	clock := newBootClock(o.Now)
	o.Config.TTL = min(o.Config.TTL, MaxTTL)
	m := &Manager{
		cfg: o.Config, vm: o.VM, source: o.Source, replicas: o.Replicas, leaves: o.Leaves,
		peers: o.Peers, pauses: o.Pauses, log: o.Log, now: o.Now,
		minter:          ticket.NewMinter(o.VM, o.Incarnation),
		table:           newTable(o.Config, clock, identity{vm: o.VM, incarnation: o.Incarnation}),
		witnessSelector: newWitnessSelector(o.Config.WitnessCooldown, o.Now, o.Random),
		witness:         newWitness(o.Config, o.Incarnation, clock),
		archive:         newArchive(o.Config, clock),
		resolver:        NewResolver(o.Config, o.Source, o.Peers),
		pendingOutcomes: make(chan pendingOutcome, maxSpreadQueue),
	}
	m.metrics = newMetrics(o.Registry, m)
	return m
}
