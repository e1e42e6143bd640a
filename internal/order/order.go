// Package order runs non-idempotent orders at most once without shared state. A ticket is pinned to
// the gather incarnation that minted it. Only that incarnation runs the ticket's order, with one
// attempt after the first byte is written, and a second gather, the witness, notes the intent
// before. Each ticket ends in one final record, which every later send gets.
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
// what they know for longer than this, counted from when they received it.
const MaxTTL = 2 * time.Minute

// Config bounds times and memory of orders. Defaults are in DefaultConfig.
type Config struct {
	// TTL is how long a ticket may be used for its first send, at most MaxTTL.
	TTL time.Duration
	// RecordRetention is how long the record of a ticket is kept after its expiry.
	RecordRetention time.Duration
	// MaxTickets is how many tickets are held; each issued one has a place until its record is
	// dropped, so that a record never lacks a place.
	MaxTickets int
	// MaxCallerTickets is how many of them one caller may hold.
	MaxCallerTickets int
	// MaxResultBytes is how many bytes of results are held before no more tickets are issued.
	MaxResultBytes int
	// NoteTimeout bounds the round trip to the witness before the first byte.
	NoteTimeout time.Duration
	// SlotTimeout is how long an order waits for a free slot at a leaf, and PickEvery how often it
	// looks.
	SlotTimeout, SlotPollInterval time.Duration
	// LateAnswerGracePeriod is how long after an order's deadline the leaf's answer is still waited for.
	LateAnswerGracePeriod time.Duration
	// WitnessWait is how long after its start a gather waits for a witness before it issues a ticket
	// without one: the gathers of a fleet that starts as a whole take a moment to hear of each other.
	WitnessWait time.Duration
	// WitnessCooldown is how long a witness that failed is not picked for new tickets.
	WitnessCooldown time.Duration
	// RetryAfter is when a caller should come back for an order that is still running, or after a
	// refusal that may pass soon.
	RetryAfter time.Duration
	// MaxNotes is how many tickets of other gathers are held as their witness.
	MaxNotes int
	// MaxArchivedRecords is how many records of retired incarnations are held.
	MaxArchivedRecords int
	// PeerRetention is how long a witness or peer keeps what it received.
	PeerRetention time.Duration
	// DrainGracePeriod is how long a gather that leaves waits for tickets not used yet.
	DrainGracePeriod time.Duration
	// PeerTimeout bounds one call that spreads, hands over or resolves.
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

// Pauses tells when the process last woke from a pause; *process.PauseDetector implements it.
type Pauses interface {
	LastPause(now time.Time) time.Time
}

// Options are what a Manager works with.
type Options struct {
	Config      Config
	VM          string
	Incarnation uint64
	Source      feed.Source
	// Replicas returns the chooser of replicas of a service.
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

// Manager owns the tickets of one gather incarnation and everything that runs for them. It is safe
// for concurrent use.
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
	// pendingOutcomes are on their way to witnesses.
	pendingOutcomes chan pendingOutcome
	// draining is set once this gather leaves; no ticket is issued any more.
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
