// Package fleetload lets the VMs report to each other how busy leaves and gatherers are. Each VM sees few answers of
// each leaf, too few to know its queue. While a service or gatherer is at least half full, the VMs that use it exchange
// reports with a hub of their zone, and the hubs with those of other zones. Otherwise there are no messages.
package fleetload

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/delegate"
	"github.com/burdockplank/burdockplank/internal/peers"
	"github.com/burdockplank/burdockplank/internal/replica"
	"github.com/burdockplank/burdockplank/internal/wait"
)

// Client makes calls to another VM.
type Client interface {
	Load(ctx context.Context, req *pb.FleetLoad) (*pb.FleetLoad, error)
}

// Leaves holds the reports of leaves. A Manager calls it while it holds its lock.
type Leaves interface {
	Loads(now time.Time, maxAge time.Duration, include func(catalog.LeafID) bool) []replica.LeafReport
	ReportAt(id catalog.LeafID, load replica.Load, at, now time.Time)
}

// Gatherers holds the loads of gatherers. A Manager calls it while it holds its lock. GathererLoads must return what
// RecordGatherers brought with the same times: a load that is newer than the received one counts as this VM's own.
type Gatherers interface {
	GathererLoads(now time.Time) []delegate.GathererLoad
	RecordGatherers(loads []delegate.GathererLoad)
}

// Config holds the settings and dependencies of a Manager.
type Config struct {
	// Self is the address of this VM, Zone its availability zone.
	Self, Zone string
	// Gateways returns the gateways of each zone, the first one being preferred.
	Gateways  func() map[string][]peers.VM
	Leaves    Leaves
	Gatherers Gatherers
	// Own returns the load of this VM as a gatherer, or nil if it is none.
	Own func() *pb.FleetPong
	// Service returns the service of single requests that the leaf belongs to, or an empty string.
	Service func(catalog.LeafID) string
	Dial    func(address string) Client
	// Random returns a number in [0,1).
	Random   func() float64
	Registry prometheus.Registerer
}

// Manager keeps the reports and runs the exchanges. It is safe for concurrent use.
type Manager struct {
	cfg       Config
	exchanges *prometheus.CounterVec

	mu sync.Mutex
	// The fields below are guarded by mu.
	leaves    *reports[catalog.LeafID, replica.Load]
	gatherers *reports[string, delegate.GathererLoad]
	// usedAt is when a service, or the gatherer at an address, last told this VM its load.
	usedAt map[string]time.Time
	// receivedAt is when another VM last sent a report of something busy.
	receivedAt time.Time
	// observedAt is when observe last ran.
	observedAt time.Time
	// contacts are keyed by zone, clients and skippedUntil by the address of a hub.
	contacts     map[string]*contact
	clients      map[string]Client
	skippedUntil map[string]time.Time
	gateways     map[string][]peers.VM
	gatewaysAt   time.Time
	pauses       pauses
}

// New returns a manager without reports.
func New(cfg Config) *Manager {
	exchanges := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "burdock_load_exchanges_total", Help: "Exchanges of load reports with other VMs by their result.",
	}, []string{"result"})
	cfg.Registry.MustRegister(exchanges)
	return &Manager{
		cfg: cfg, exchanges: exchanges, leaves: newLeafReports(), gatherers: newGathererReports(),
		usedAt: make(map[string]time.Time), contacts: make(map[string]*contact),
		clients: make(map[string]Client), skippedUntil: make(map[string]time.Time),
	}
}

// Run exchanges reports until ctx ends. It returns nil.
func (m *Manager) Run(ctx context.Context) error {
	var exchanges sync.WaitGroup
	defer exchanges.Wait()
	for {
		due, next := m.check(time.Now())
		for _, e := range due {
			exchanges.Go(func() { m.exchange(ctx, e) })
		}
		if !wait.For(ctx, next) {
			return nil
		}
	}
}

// dueExchange is an exchange that is due.
type dueExchange struct {
	target
	client Client
	msg    *pb.FleetLoad
}

// check returns the exchanges that are due, and the time until the next check.
func (m *Manager) check(now time.Time) ([]dueExchange, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pauses.check(now)
	m.update(now)
	next := checkInterval
	var due []dueExchange
	for _, t := range m.targets(now) {
		c := m.contact(t.zone)
		if c.isDue(now) {
			c.begin(now, m.cfg.Random())
			c.inFlight = true
			maxBytes := maxHubBytes
			if t.zone == m.cfg.Zone {
				maxBytes = maxReportBytes
			}
			due = append(due, dueExchange{t, m.client(t.address), m.message(now, t.address, maxBytes)})
		}
		if wait := c.due.Sub(now); wait > 0 {
			next = min(next, wait)
		}
	}
	return due, next
}

// targets returns the hubs that this VM exchanges with now. Requires mu.
func (m *Manager) targets(now time.Time) []target {
	s := situation{
		self: m.cfg.Self, zone: m.cfg.Zone, used: m.usesBusy(),
		received: !m.receivedAt.IsZero() && now.Sub(m.receivedAt) <= demandPeriod,
		skipped:  func(address string) bool { return now.Before(m.skippedUntil[address]) },
	}
	if !s.used && !s.received {
		return nil
	}
	s.gateways = m.currentGateways(now)
	return s.targets()
}

// usesBusy reports whether this VM has just used a service or gatherer that is at least half full. Requires mu.
func (m *Manager) usesBusy() bool {
	if len(m.usedAt) == 0 {
		return false
	}
	busy := m.busyServices()
	for name := range m.usedAt {
		if busy[name] || gathererBusy(m.gatherers.byKey[name].load) {
			return true
		}
	}
	return false
}

// busyServices returns the services that are at least half full. Requires mu.
func (m *Manager) busyServices() map[string]bool {
	total := make(map[string]replica.Load)
	for id, r := range m.leaves.byKey {
		service := m.cfg.Service(id)
		sum := total[service]
		sum.Running += r.load.Running
		sum.Waiting += r.load.Waiting
		sum.Slots += r.load.Slots
		total[service] = sum
	}
	busy := make(map[string]bool, len(total))
	for service, load := range total {
		busy[service] = leafBusy(load)
	}
	return busy
}

// anyGathererBusy reports whether a gatherer is at least half full. Requires mu.
func (m *Manager) anyGathererBusy() bool {
	for _, r := range m.gatherers.byKey {
		if gathererBusy(r.load) {
			return true
		}
	}
	return false
}

// exchange makes one exchange and merges the answer.
func (m *Manager) exchange(ctx context.Context, e dueExchange) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	start := time.Now()
	answer, err := e.client.Load(ctx, e.msg)
	now := time.Now()
	elapsed := now.Sub(start)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.contact(e.zone).inFlight = false
	result := resultOf(err, elapsed)
	m.exchanges.WithLabelValues(result).Inc()
	if result != resultAnswered {
		m.skippedUntil[e.address] = now.Add(hubSkipTime)
		return
	}
	m.update(now)
	m.merge(answer, e.address, now, elapsed/2)
}

// Results of exchanges. An exchange that another VM began counts as received.
const (
	resultAnswered = "answered"
	resultFailed   = "failed"
	resultLate     = "late"
	resultReceived = "received"
)

// resultOf returns the result of an exchange that this VM began. An answer that took too long may have waited in a
// socket while this process was paused, so its age is unknown.
func resultOf(err error, elapsed time.Duration) string {
	switch {
	case err != nil:
		return resultFailed
	case elapsed > exchangeTimeout:
		return resultLate
	}
	return resultAnswered
}

// Answer takes the reports of another VM over and returns those that this VM knows.
func (m *Manager) Answer(msg *pb.FleetLoad) *pb.FleetLoad {
	now := time.Now()
	m.exchanges.WithLabelValues(resultReceived).Inc()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.update(now)
	from := msg.GetFrom()
	if m.merge(msg, from, now, m.pauses.wait(now)) {
		m.receivedAt = now
	}
	for zone, gateways := range m.currentGateways(now) {
		if zone != m.cfg.Zone && isGateway(gateways, from) {
			m.contact(zone).begin(now, m.cfg.Random())
			return m.message(now, from, maxHubBytes)
		}
	}
	return m.message(now, from, maxAnswerBytes)
}
