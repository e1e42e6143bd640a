// Package spread distributes bundles, the platform's list, membership and evidence between the
// syncs of all VMs by gossip. Small UDP packets go to a few random peers several times a second,
// mostly in the VM's own availability zone, and at once when there are updates. Bodies are fetched
// by Connect calls; of bundles and lists, only the sections that changed.
package spread

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/burdockplank/burdockplank/internal/content"
	"github.com/burdockplank/burdockplank/internal/evidence"
	"github.com/burdockplank/burdockplank/internal/membership"
	"github.com/burdockplank/burdockplank/internal/notify"
	"github.com/burdockplank/burdockplank/internal/wait"
)

const (
	// contactPeriod is the interval at which a random peer is contacted.
	contactPeriod = 250 * time.Millisecond
	// heartbeatPeriod is the interval at which the VM raises its heartbeat and contacts one VM
	// judged gone.
	heartbeatPeriod = time.Second
	// updateBytesPerSecond and updateBurstBytes bound the bytes of updates in packets. A few
	// packets of updates go to each of many peers at once, but many VMs that start and stop do not
	// exceed a VM's traffic budget.
	updateBytesPerSecond = 768
	updateBurstBytes     = 32 << 10
	// ownZoneShare is the share of contacts that go to peers in the VM's own availability zone.
	ownZoneShare = 0.75
	// pushRate (per second) and pushBurst bound how often updates are pushed at once. pushFanout is
	// the number of peers per push.
	pushRate   = 4
	pushBurst  = 10
	pushFanout = 3
)

// Config holds the dependencies of the manager of one VM.
type Config struct {
	// Fleet is the fleet's name. Packets of another fleet are dropped.
	Fleet string
	// Self and Zone are the ID and the availability zone of this VM.
	Self, Zone string
	// Seeds are addresses (HOST:PORT) of syncs to query while no list is known.
	Seeds     []string
	Members   *membership.Table
	Evidence  *evidence.Set
	Content   *content.Store
	Transport Transport
	Dial      Dial
	// CheckPause detects a pause of the process and then calls HandlePause. It is called before a
	// packet is processed, because the packet may have waited in the buffer during the pause.
	CheckPause func(now time.Time)
	// Changed is fired when the view of the fleet changes.
	Changed  *notify.Notifier
	Log      *zap.Logger
	Registry prometheus.Registerer
}

// Manager runs the goroutines that distribute state. It implements the PeerService for other syncs.
type Manager struct {
	cfg     Config
	metrics *metrics
	push    chan struct{}
	pushes  *rate.Limiter
	// fetches and exchanges hold the next task; a newer one replaces it.
	fetches   chan membership.Peer
	exchanges chan exchangeTask
	// fetchSlot holds a value while sections are fetched. One fetch runs at a time, so that no
	// section is transferred twice.
	fetchSlot chan struct{}

	mu sync.Mutex
	// The fields below are guarded by mu.
	updates updateQueue
	probes  probes
	// updateBudget limits the bytes that updates add to packets.
	updateBudget *rate.Limiter
	// platformContact is the local time of the most recent platform contact of any VM, zero if
	// there was none.
	platformContact time.Time
	// caughtUp is false from the start, and from each pause on, until peers or the platform have
	// been queried. Packets are ignored meanwhile, because they may have waited in the buffer
	// during the pause.
	caughtUp bool
	// pauses counts the pauses of the process.
	pauses uint64
	// highestVersion is the highest bundle version that a peer has announced.
	highestVersion uint64
	// refused holds when each refused bundle was refused, by version and digest prefix.
	refused     map[refusedKey]time.Time
	differences zoneDifferences
}

// refusedKey identifies a bundle as packets do, by version and digest prefix.
type refusedKey struct {
	version uint64
	prefix  [digestPrefixLen]byte
}

// New returns a manager that has not caught up yet.
func New(cfg Config) *Manager {
	return &Manager{
		cfg:          cfg,
		metrics:      newMetrics(cfg.Registry),
		push:         make(chan struct{}, 1),
		pushes:       rate.NewLimiter(pushRate, pushBurst),
		fetches:      make(chan membership.Peer, 1),
		exchanges:    make(chan exchangeTask, 1),
		fetchSlot:    make(chan struct{}, 1),
		updates:      newUpdateQueue(),
		updateBudget: rate.NewLimiter(updateBytesPerSecond, updateBurstBytes),
		probes:       newProbes(),
		refused:      make(map[refusedKey]time.Time),
		differences:  make(zoneDifferences),
	}
}

// Run runs the manager's goroutines until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { m.runReceive(ctx) })
	wg.Go(func() { m.runContacts(ctx) })
	wg.Go(func() { m.runPushes(ctx) })
	wg.Go(func() { m.runFetches(ctx) })
	wg.Go(func() { m.runExchanges(ctx) })
	wg.Wait()
	return nil
}

// runReceive handles packets one by one.
func (m *Manager) runReceive(ctx context.Context) {
	for ctx.Err() == nil {
		packet, err := m.cfg.Transport.Receive(ctx)
		if err != nil {
			if ctx.Err() == nil {
				// For example, an ICMP port unreachable in answer to an earlier packet.
				m.metrics.packets.WithLabelValues("receive_failed").Inc()
			}
			continue
		}
		m.handlePacket(packet, time.Now())
	}
}

// runContacts does the periodic work: heartbeats, random contacts and probes.
func (m *Manager) runContacts(ctx context.Context) {
	var beats time.Duration
	for {
		pause := contactPeriod - contactPeriod/10 + rand.N(contactPeriod/5)
		if !wait.For(ctx, pause) {
			return
		}
		now := time.Now()
		m.cfg.CheckPause(now)
		beats += pause
		if beats >= heartbeatPeriod {
			beats = 0
			m.heartbeat(now)
		}
		if m.CaughtUp() {
			m.contactRandomPeer(now)
			m.checkProbes(now)
		}
	}
}

// heartbeat raises this VM's heartbeat, and expires suspicions and evidence.
func (m *Manager) heartbeat(now time.Time) {
	m.cfg.Members.RaiseHeartbeat(now)
	if !m.CaughtUp() {
		return
	}
	gone := m.cfg.Members.Tick(now)
	m.metrics.gone.Add(float64(len(gone)))
	if expired := m.cfg.Evidence.Expire(now); expired || len(gone) > 0 {
		m.cfg.Changed.Fire()
	}
	m.contactGone(now)
}

// contactRandomPeer sends a digest to one random peer that is not gone and expects an answer.
func (m *Manager) contactRandomPeer(now time.Time) {
	roster := m.cfg.Members.Roster()
	if roster.PresentCount() == 0 {
		return
	}
	peer := pickPeer(roster)
	heartbeat := m.cfg.Members.Record(peer.ID).GetHeartbeat()
	m.mu.Lock()
	m.probes.start(peer.ID, heartbeat, now)
	m.mu.Unlock()
	m.send(peer, message{replyWanted: true}, now)
}

// contactGone sends a digest to one VM judged gone, to check whether it is back. The digest
// includes this VM's record: a VM restarted while the platform is down has no list, and learns here
// which peer it can query.
func (m *Manager) contactGone(now time.Time) {
	gone := m.cfg.Members.Roster().Gone
	if len(gone) == 0 {
		return
	}
	p := gone[rand.N(len(gone))]
	m.send(p, message{replyWanted: true, include: []string{p.ID, m.cfg.Self}}, now)
}

// Push sends pending updates at once, within the push rate limit.
func (m *Manager) Push() {
	select {
	case m.push <- struct{}{}:
	default:
	}
}

func (m *Manager) runPushes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.push:
		}
		if m.pushes.Wait(ctx) != nil {
			return
		}
		if !m.CaughtUp() {
			continue
		}
		m.metrics.pushes.Inc()
		now := time.Now()
		for _, p := range pickPeers(m.cfg.Members.Roster(), pushFanout, "") {
			m.send(p, message{}, now)
		}
	}
}
