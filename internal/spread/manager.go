// Package spread carries bundles, the platform's list, membership and evidence between the syncs of
// all VMs: small UDP packets to a few random peers several times a second, biased to the own
// availability zone, at once where there is news; bodies by connect, and of bundles and lists only
// the sections that changed.
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
	// contactPeriod is how often a random peer is contacted.
	contactPeriod = 250 * time.Millisecond
	// heartbeatPeriod is how often the VM raises its heartbeat, and contacts one VM judged gone.
	heartbeatPeriod = time.Second
	// updateBytesPerSecond and newsBurst bound the bytes of news in packets, by second: a few packets of news to
	// each of many peers go out at once, but many VMs that come and go don't pass the budget of a VM.
	updateBytesPerSecond = 768
	updateBurstBytes     = 32 << 10
	// ownZoneShare is the share of contacts that stay in the own availability zone.
	ownZoneShare = 0.75
	// pushRate and pushBurst bound how often news is pushed at once; pushFanout is to how many
	// peers.
	pushRate   = 4
	pushBurst  = 10
	pushFanout = 3
)

// Config is what the spread of one VM works on.
type Config struct {
	// Fleet keeps the packets of two fleets apart.
	Fleet string
	// Self and Zone are the VM's own.
	Self, Zone string
	// Seeds are addresses (HOST:PORT) of syncs to ask while no list is known.
	Seeds     []string
	Members   *membership.Table
	Evidence  *evidence.Set
	Content   *content.Store
	Transport Transport
	Dial      Dial
	// CheckPause notices a pause of the process and calls Paused then. It is called before a packet
	// is looked at, which may have waited through the pause.
	CheckPause func(now time.Time)
	// Changed is fired when the view of the fleet changes.
	Changed  *notify.Notifier
	Log      *zap.Logger
	Registry prometheus.Registerer
}

// Manager owns the goroutines of the spread. It implements the PeerService for other syncs.
type Manager struct {
	cfg     Config
	metrics *metrics
	push    chan struct{}
	pushes  *rate.Limiter
	// fetches and exchanges hold what is next, newest wins.
	fetches   chan membership.Peer
	exchanges chan exchangeTask
	// fetchSlot holds a value while sections are fetched: one at a time, so that none moves twice.
	fetchSlot chan struct{}

	mu sync.Mutex
	// What follows is guarded by mu.
	updates updateQueue
	probes  probes
	// updateBudget bounds what news adds to packets.
	updateBudget *rate.Limiter
	// platformContact is the local time of the newest platform contact, of any VM; zero for never.
	platformContact time.Time
	// caughtUp is false from the start, and from each pause on, until peers or the platform were
	// asked again; packets are ignored meanwhile, for they may have waited through the pause.
	caughtUp bool
	// pauses counts the pauses of the process.
	pauses uint64
	// highestVersion is the highest version of a bundle that a peer said it holds.
	highestVersion uint64
	// refused remembers bundles that were not accepted, by version and digest prefix.
	refused     map[refusedKey]time.Time
	differences zoneDifferences
}

// refusedKey names a bundle as packets do.
type refusedKey struct {
	version uint64
	prefix  [digestPrefixLen]byte
}

// New returns a manager that has yet to catch up.
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

// Run works until ctx ends.
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
				// Such as a port unreachable answered to an earlier packet.
				m.metrics.packets.WithLabelValues("receive_failed").Inc()
			}
			continue
		}
		m.handlePacket(packet, time.Now())
	}
}

// runContacts does what is due by time.
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

// heartbeat raises the heartbeat and lets time pass over what is known of others.
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

// contactGone sends a digest to one VM judged gone, to see whether it is back. It names this VM too:
// one that started anew while the platform is down has no list, and learns here whom it can ask.
func (m *Manager) contactGone(now time.Time) {
	gone := m.cfg.Members.Roster().Gone
	if len(gone) == 0 {
		return
	}
	p := gone[rand.N(len(gone))]
	m.send(p, message{replyWanted: true, include: []string{p.ID, m.cfg.Self}}, now)
}

// Push makes news go out at once, within the bounded rate.
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
