// Package peers lets the VMs of the system find each other and share, by gossip, what any of them has read from the
// platform's store. So a VM that the store refuses learns from those that the store serves. Each VM exchanges with
// random others several times a second, and with many at once when it has updates.
package peers

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/mirror"
	"github.com/burdockplank/burdockplank/internal/notify"
	"github.com/burdockplank/burdockplank/internal/replica"
	"github.com/burdockplank/burdockplank/internal/wait"
)

const (
	// exchangeInterval is the interval of exchanges with a random peer, largeFleetExchangeInterval that in a fleet
	// above largeFleetSize: an exchange names all members, so that its size grows with the fleet.
	exchangeInterval           = 250 * time.Millisecond
	largeFleetExchangeInterval = 500 * time.Millisecond
	// exchangeTimeout bounds an exchange. It allows for a few round trips between zones and a VM that paused.
	exchangeTimeout = 800 * time.Millisecond
	// silenceRounds is the age of the last heartbeat, in rounds, from which a peer counts as silent. A heartbeat
	// reaches a whole fleet of 60 in about 6 rounds.
	silenceRounds = 12
	// forgetAfter is how long after its last heartbeat a silent peer is still tried.
	forgetAfter = time.Minute
	// maxMembersPerExchange bounds the members that an exchange names, some 45 bytes each. In a larger fleet
	// ownZoneMemberSlots of them are for the own zone. With a purely random choice each of them is named so seldom
	// among 300 VMs that at any time one of them is taken for silent. With more slots the same happens to members
	// of other zones.
	maxMembersPerExchange = 80
	ownZoneMemberSlots    = 28
	// thirdZoneMemberSlots bounds the members of third zones that an exchange between two zones of a large fleet
	// names. Each of 60 is named every few seconds, before it would count as silent.
	thirdZoneMemberSlots = 10
	// newMemberPeriod is how long after this VM first heard of another one that one may not know its own zone yet.
	newMemberPeriod = 10 * time.Second
	// announceMinBytes is the size of an update from which it is only announced. A peer that lacks it requests it,
	// so that a large configuration goes to each VM about once instead of three times.
	announceMinBytes = 1 << 10
	// maxQueuedPulls bounds the announced updates that wait to be requested.
	maxQueuedPulls = 8
)

// Dial returns the client of the peer at the address.
type Dial func(address string) Client

// Client makes calls to another VM.
type Client interface {
	Exchange(ctx context.Context, req *pb.FleetExchange) (*pb.FleetExchange, error)
}

// Evidence holds what VMs report to each other about leaves in trouble.
type Evidence interface {
	// Troubles returns what this VM observed of leaves in trouble.
	Troubles(now time.Time) []replica.Trouble
	// RecordPeerTroubles records what the VM at the address vm reported, in place of what it reported before.
	RecordPeerTroubles(vm string, list []replica.Trouble, now time.Time)
}

// Config holds the settings and dependencies of a Manager.
type Config struct {
	// Self is the address (HOST:PORT) of this VM, Zone its availability zone.
	Self, Zone string
	// Millicores of this VM's CPU; 0 if unknown.
	Millicores int
	// Incarnation of this process. It rises with each start.
	Incarnation uint64
	// Seeds returns the addresses of the VMs to contact first. They may be out of date.
	Seeds    func() []string
	Mirror   *mirror.Mirror
	Evidence Evidence
	// Changed fires when an item of Mirror changes.
	Changed  *notify.Notifier
	Dial     Dial
	Log      *zap.Logger
	Registry prometheus.Registerer
}

// Manager maintains the membership and runs the exchanges. It is safe for concurrent use.
type Manager struct {
	cfg     Config
	metrics *metrics
	// localEvents fires when this VM reports a crash or is about to end.
	localEvents *notify.Notifier
	// pulls queues requests for updates that peers have announced.
	pulls chan pull

	mu sync.Mutex
	// The fields below are guarded by mu.
	members   map[string]*member
	self      pb.FleetMember
	contactAt time.Time
	// suspects holds, by digest, the requests that were in flight at crashes.
	suspects  map[uint64]*suspect
	crashLog  crashLog
	confirmed confirmedCrashes
	// pushes has a mutex of its own.
	pushes pushes
	// fullStateSentAt is when a VM of the zone last got the full state from this one.
	fullStateSentAt map[string]time.Time
}

type metrics struct {
	exchanges   *prometheus.CounterVec
	crashesTold prometheus.Counter
	live        prometheus.Gauge
}

// New returns a manager that knows only itself.
func New(cfg Config) *Manager {
	m := &metrics{
		exchanges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "burdock_peer_exchanges_total", Help: "Exchanges with other VMs by their end.",
		}, []string{"result"}),
		crashesTold: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "burdock_peer_crashes_told_total", Help: "Crashes and lost connections named in exchanges, by this VM to another one.",
		}),
		live: prometheus.NewGauge(prometheus.GaugeOpts{Name: "burdock_peers_live", Help: "Other VMs that show signs of life."}),
	}
	cfg.Registry.MustRegister(m.exchanges, m.crashesTold, m.live)
	return &Manager{
		cfg: cfg, metrics: m, members: make(map[string]*member), localEvents: notify.New(),
		pulls:    make(chan pull, maxQueuedPulls),
		self:     pb.FleetMember{Address: cfg.Self, Zone: cfg.Zone, Incarnation: cfg.Incarnation, Millicores: uint32(max(cfg.Millicores, 0))},
		suspects: make(map[uint64]*suspect), fullStateSentAt: make(map[string]time.Time),
	}
}

// Run exchanges with peers until ctx ends. It returns nil.
func (m *Manager) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { m.runRounds(ctx) })
	wg.Go(func() { m.runPushes(ctx) })
	wg.Go(func() { m.runSeeds(ctx) })
	wg.Go(func() { m.runPulls(ctx) })
	wg.Wait()
	return nil
}

// runRounds begins an exchange with a random peer in each round, until ctx ends.
func (m *Manager) runRounds(ctx context.Context) {
	for {
		round := m.roundInterval()
		if !wait.For(ctx, round-round/10+rand.N(round/5)) {
			return
		}
		m.advanceHeartbeat(time.Now(), silenceRounds*round)
		if p, ok := m.pickPeer(); ok {
			go m.exchange(ctx, p, false)
		}
	}
}

// runPushes sends updates to peers at once when the mirror changes, there is news of crashes or this VM is about to end.
func (m *Manager) runPushes(ctx context.Context) {
	localEvent := m.localEvents.Changed()
	for {
		changed := m.cfg.Changed.Changed()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-localEvent:
		}
		localEvent = m.localEvents.Changed() // before the messages are built, so that no later event is missed
		for _, p := range m.pushTargets() {
			if m.needsPush(p) && m.pushes.begin(p) {
				go m.push(ctx, p)
			}
		}
		if !wait.For(ctx, minPushInterval) {
			return
		}
	}
}

// push sends the peer what it lacks, until it lacks nothing of what became known meanwhile.
func (m *Manager) push(ctx context.Context, address string) {
	for {
		m.exchange(ctx, address, true)
		if m.pushes.end(address) {
			return
		}
	}
}

// minPushInterval is the minimum time between two pushes, so that a series of changes is sent together.
const minPushInterval = 20 * time.Millisecond

// Dump returns the known members.
func (m *Manager) Dump() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	type memberDump struct {
		Zone       string `json:"zone"`
		Live       bool   `json:"live"`
		Leaving    bool   `json:"leaving"`
		Era        uint64 `json:"era"`
		CompleteTo uint64 `json:"complete_to"`
	}
	out := make(map[string]memberDump, len(m.members))
	for a, e := range m.members {
		at := e.progress.known.Newest()
		out[a] = memberDump{e.record.GetZone(), e.live, e.record.GetLeaving(), at.Era, at.Revision}
	}
	return out
}
