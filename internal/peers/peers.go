// Package peers lets the VMs of the system find each other and share what any of them has read from
// the platform's store, so that a VM that the store refuses learns from those that it serves. Each VM
// exchanges with random others several times a second, and at once with many where it has news.
package peers

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/mirror"
	"github.com/burdockplank/burdockplank/internal/notify"
	"github.com/burdockplank/burdockplank/internal/replica"
)

const (
	// period is how often a random peer is asked, longPeriod in a fleet above smallFleet: an exchange
	// names all members, so that its bytes grow with the fleet.
	period     = 250 * time.Millisecond
	longPeriod = 500 * time.Millisecond
	smallFleet = 20
	// ownZone is the part of the rounds that stays in the own zone: bytes between zones are dear.
	ownZone = 0.75
	// exchangeTimeout bounds an exchange: a few round trips between zones, and a VM that stood still.
	exchangeTimeout = 800 * time.Millisecond
	// silentRounds is the age of the newest sign of life, in rounds, from which a peer counts as gone: a
	// heartbeat comes around a fleet of 60 in about 6 rounds.
	silentRounds = 12
	// forgetAfter is how long a silent peer is still tried.
	forgetAfter = time.Minute
	// pushAll is the size of a fleet up to which news goes to all at once; larger ones pass it on.
	pushAll = 10
	// pushNear and pushFar are to how many peers of the own zone and of others news goes in a larger
	// fleet, each of which passes it on.
	pushNear, pushFar = 3, 1
	// sample bounds the members that an exchange names.
	sample = 80
	// seedPeriod is how often a seed is asked while few peers are known, or beside them in case the
	// fleet was cut in two.
	seedPeriod = 2 * time.Second
	// announceFrom is the size of news in bytes from which it is only announced: a peer that lacks it asks
	// for it, so that a large configuration goes to each VM about once instead of three times.
	announceFrom = 1 << 10
	// pullsMost bounds the announcements that wait to be asked for.
	pullsMost = 8
	// crashKeep is how long a crash is told.
	crashKeep = 2 * time.Minute
)

// Dial returns the client of the peer at the address.
type Dial func(address string) Client

// Client is what peers need of another VM.
type Client interface {
	Exchange(ctx context.Context, req *pb.FleetExchange) (*pb.FleetExchange, error)
}

// Evidence is what VMs tell each other of leaves in trouble.
type Evidence interface {
	Troubles(now time.Time) []replica.Trouble
	Told(vm string, list []replica.Trouble, now time.Time)
}

// Crash says that a leaf ended while it ran a request.
type Crash struct {
	Digest uint64
	Leaf   string
	At     time.Time
}

// Config is what the duty works on.
type Config struct {
	// Self is the address (HOST:PORT) of this VM, Zone its availability zone.
	Self, Zone string
	// Incarnation of this process, rising with each start.
	Incarnation uint64
	// Seeds returns addresses of VMs to ask first; they may be stale.
	Seeds    func() []string
	Mirror   *mirror.Mirror
	Evidence Evidence
	Changed  *notify.Notifier
	Dial     Dial
	Log      *zap.Logger
	Registry prometheus.Registerer
}

// Manager owns membership and exchanges. It is safe for concurrent use.
type Manager struct {
	cfg     Config
	metrics *metrics
	crashed *notify.Notifier
	// pulls holds peers that announced news.
	pulls chan string

	mu sync.Mutex
	// What follows is guarded by mu.
	members   map[string]*member
	self      pb.FleetMember
	contactAt time.Time
	seenCrash map[crashKey]time.Time
}

type crashKey struct {
	digest uint64
	leaf   string
}

// member is what is known of another VM.
type member struct {
	record *pb.FleetMember
	// aliveAt is when its heartbeat was last seen to rise.
	aliveAt time.Time
	// contactAt is when it last had an answer of the store, by this VM's clock; zero for never.
	contactAt time.Time
	// completeTo is the revision it last said to be complete to.
	completeTo uint64
	// told is true once it said so in this incarnation.
	told   bool
	client Client
	live   bool
}

type metrics struct {
	exchanges *prometheus.CounterVec
	live      prometheus.Gauge
}

// New returns a manager that knows only itself.
func New(cfg Config) *Manager {
	m := &metrics{
		exchanges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "burdock_peer_exchanges_total", Help: "Exchanges with other VMs by their end.",
		}, []string{"result"}),
		live: prometheus.NewGauge(prometheus.GaugeOpts{Name: "burdock_peers_live", Help: "Other VMs that show signs of life."}),
	}
	cfg.Registry.MustRegister(m.exchanges, m.live)
	return &Manager{
		cfg: cfg, metrics: m, members: make(map[string]*member), crashed: notify.New(),
		pulls:     make(chan string, pullsMost),
		self:      pb.FleetMember{Address: cfg.Self, Zone: cfg.Zone, Incarnation: cfg.Incarnation},
		seenCrash: make(map[crashKey]time.Time),
	}
}

// Run exchanges until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { m.runRounds(ctx) })
	wg.Go(func() { m.runNews(ctx) })
	wg.Go(func() { m.runSeeds(ctx) })
	wg.Go(func() { m.runPulls(ctx) })
	wg.Wait()
	return nil
}

func (m *Manager) runRounds(ctx context.Context) {
	for {
		round := m.round()
		if !sleep(ctx, round-round/10+rand.N(round/5)) {
			return
		}
		m.beat(time.Now(), silentRounds*round)
		if p, ok := m.pick(); ok {
			go m.exchange(ctx, p, false)
		}
	}
}

// round is the time between two exchanges that this VM begins.
func (m *Manager) round() time.Duration {
	if m.Live() > smallFleet {
		return longPeriod
	}
	return period
}

// runNews tells others at once when the mirror changed or a crash was seen.
func (m *Manager) runNews(ctx context.Context) {
	for {
		changed, crashed := m.cfg.Changed.Changed(), m.crashed.Changed()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-crashed:
		}
		for _, p := range m.audience() {
			if m.behind(p) {
				go m.exchange(ctx, p, true)
			}
		}
		if !sleep(ctx, newsGap) {
			return
		}
	}
}

// newsGap is the least time between two rounds of news, so that a series of changes travels together.
const newsGap = 20 * time.Millisecond

// runSeeds asks the seeds at the start, and later one at a time.
func (m *Manager) runSeeds(ctx context.Context) {
	for first := true; ; first = false {
		seeds := slices.DeleteFunc(slices.Clone(m.cfg.Seeds()), func(a string) bool { return a == m.cfg.Self })
		if !first && m.Live() > 0 && len(seeds) > 0 {
			seeds = []string{seeds[rand.N(len(seeds))]}
		}
		for _, s := range seeds {
			go m.exchange(ctx, s, false)
		}
		wait := seedPeriod
		if m.Live() == 0 {
			wait = period
		}
		if !sleep(ctx, wait) {
			return
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// beat raises the own heartbeat and lets time pass over the others.
func (m *Manager) beat(now time.Time, silentAfter time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.Heartbeat++
	live := 0
	for address, e := range m.members {
		alive := now.Sub(e.aliveAt) < silentAfter
		if alive != e.live {
			e.live = alive
			m.cfg.Log.Info("peer changed", zap.String("peer", address), zap.Bool("live", alive), zap.Duration("silent_for", now.Sub(e.aliveAt)))
		}
		if alive {
			live++
		}
		if now.Sub(e.aliveAt) > forgetAfter {
			delete(m.members, address)
		}
	}
	m.metrics.live.Set(float64(live))
	for k, at := range m.seenCrash {
		if now.Sub(at) > crashKeep {
			delete(m.seenCrash, k)
		}
	}
}

// Leave tells the peers, with what is sent from now on, that this VM is about to end.
func (m *Manager) Leave() {
	m.mu.Lock()
	m.self.Leaving = true
	m.self.Heartbeat++ // so that the word counts as newer
	m.mu.Unlock()
	m.crashed.Fire()
}

// Contact notes that the store has answered this VM.
func (m *Manager) Contact(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.contactAt = now
}

// Live returns how many other VMs show signs of life.
func (m *Manager) Live() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, e := range m.members {
		if e.live && !e.record.GetLeaving() {
			n++
		}
	}
	return n
}

// Zone returns the live members of the own zone, this VM included, and the age of the newest contact of
// any of them with the store; a very long one where there was none.
func (m *Manager) Zone(now time.Time) (members []string, contact time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	newest := m.contactAt
	members = append(members, m.cfg.Self)
	for address, e := range m.members {
		if !e.live || e.record.GetLeaving() || e.record.GetZone() != m.cfg.Zone {
			continue
		}
		members = append(members, address)
		if e.contactAt.After(newest) {
			newest = e.contactAt
		}
	}
	if newest.IsZero() {
		return members, never
	}
	return members, now.Sub(newest)
}

// never is an age longer than any process runs.
const never = 1 << 62

// pick returns a random peer, mostly a live one of the own zone; a silent one in a tenth of the cases.
func (m *Manager) pick() (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var live, near, silent []string
	for address, e := range m.members {
		switch {
		case !e.live:
			silent = append(silent, address)
		case e.record.GetZone() == m.cfg.Zone:
			near = append(near, address)
			live = append(live, address)
		default:
			live = append(live, address)
		}
	}
	if len(near) > 0 && rand.Float64() < ownZone {
		live = near
	}
	const trySilent = 10
	if len(silent) > 0 && (len(live) == 0 || rand.N(trySilent) == 0) {
		live = silent
	}
	if len(live) == 0 {
		return "", false
	}
	return live[rand.N(len(live))], true
}

// audience returns the peers that are told of news at once.
func (m *Manager) audience() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var near, far []string
	for address, e := range m.members {
		switch {
		case !e.live:
		case e.record.GetZone() == m.cfg.Zone:
			near = append(near, address)
		default:
			far = append(far, address)
		}
	}
	if len(near)+len(far) < pushAll {
		return append(near, far...)
	}
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	return append(near[:min(pushNear, len(near))], far[:min(pushFar, len(far))]...)
}

// behind tells whether the peer may lack something.
func (m *Manager) behind(address string) bool {
	to := m.cfg.Mirror.CompleteTo()
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.members[address]
	return e == nil || e.completeTo < to || len(m.seenCrash) > 0 || m.self.GetLeaving()
}

// exchange tells the peer what it lacks and takes what it tells. A peer of which nothing is known yet is
// asked first, so that nothing goes to one that has it. A brief exchange carries news only.
func (m *Manager) exchange(ctx context.Context, address string, brief bool) {
	for range 2 {
		client, to, known := m.clientOf(address)
		if !m.exchangeOnce(ctx, client, to, known, brief) || known || !m.behind(address) {
			return
		}
	}
}

func (m *Manager) exchangeOnce(ctx context.Context, client Client, to uint64, known, brief bool) bool {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	now := time.Now()
	req := m.message(to, now, brief)
	if !known || brief && itemBytes(req) >= announceFrom {
		req.Items, req.Full, req.CompleteFrom = nil, false, req.GetCompleteTo()
	}
	got, err := client.Exchange(ctx, req)
	if err != nil {
		m.metrics.exchanges.WithLabelValues("failed").Inc()
		return false
	}
	m.metrics.exchanges.WithLabelValues("answered").Inc()
	m.take(got, time.Now())
	return true
}

// itemBytes is about what the items of the message take.
func itemBytes(msg *pb.FleetExchange) int {
	n := 0
	for _, it := range msg.GetItems() {
		n += len(it.GetKey()) + len(it.GetValue())
	}
	return n
}

// runPulls asks peers for the news that they announced, one after the other.
func (m *Manager) runPulls(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-m.pulls:
			if m.ahead(address) {
				m.exchange(ctx, address, true)
			}
		}
	}
}

// ahead tells whether the peer said that it has more than this VM.
func (m *Manager) ahead(address string) bool {
	to := m.cfg.Mirror.CompleteTo()
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.members[address]
	return e != nil && e.completeTo > to
}

// clientOf returns the client of the address, and to which revision the peer there is known to be
// complete.
func (m *Manager) clientOf(address string) (client Client, to uint64, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e := m.members[address]; e != nil {
		if e.client == nil {
			e.client = m.cfg.Dial(address)
		}
		return e.client, e.completeTo, e.told
	}
	return m.cfg.Dial(address), 0, false
}

// Answer takes an exchange that a peer began, and returns this VM's part.
func (m *Manager) Answer(req *pb.FleetExchange) *pb.FleetExchange {
	now := time.Now()
	m.take(req, now)
	if from := req.GetSender().GetAddress(); req.GetBrief() && m.ahead(from) {
		select {
		case m.pulls <- from:
		default: // the next round asks
		}
	}
	return m.message(req.GetCompleteTo(), now, req.GetBrief())
}

// message is what a peer that is complete to the revision is told.
func (m *Manager) message(to uint64, now time.Time, brief bool) *pb.FleetExchange {
	d := m.cfg.Mirror.Since(to)
	var troubles []replica.Trouble
	if !brief {
		troubles = m.cfg.Evidence.Troubles(now)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	msg := &pb.FleetExchange{Sender: m.selfRecord(now), Brief: brief, CompleteFrom: d.CompleteFrom, CompleteTo: d.CompleteTo, Full: d.Full}
	if !brief {
		msg.Members = m.sampleMembers(now)
	}
	for _, it := range d.Items {
		msg.Items = append(msg.Items, &pb.FleetItem{Key: it.Key, Revision: it.Revision, Value: it.Value, Deleted: it.Deleted})
	}
	for _, t := range troubles {
		msg.Troubles = append(msg.Troubles, &pb.FleetTrouble{Leaf: t.Leaf, Calls: float32(t.Calls), Failed: float32(t.Failed), Slow: float32(t.Slow)})
	}
	for k, at := range m.seenCrash {
		msg.Crashes = append(msg.Crashes, &pb.FleetCrash{Digest: k.digest, Leaf: k.leaf, AgeMs: now.Sub(at).Milliseconds()})
	}
	return msg
}

// selfRecord requires mu.
func (m *Manager) selfRecord(now time.Time) *pb.FleetMember {
	return &pb.FleetMember{
		Address: m.self.Address, Zone: m.self.Zone, Incarnation: m.self.Incarnation,
		Heartbeat: m.self.Heartbeat, Leaving: m.self.Leaving, ContactAgeMs: age(m.contactAt, now),
	}
}

func age(at, now time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds()
}

// sampleMembers requires mu.
func (m *Manager) sampleMembers(now time.Time) []*pb.FleetMember {
	var out []*pb.FleetMember
	for _, e := range m.members {
		if !e.live {
			continue
		}
		r := e.record
		out = append(out, &pb.FleetMember{
			Address: r.GetAddress(), Zone: r.GetZone(), Incarnation: r.GetIncarnation(),
			Heartbeat: r.GetHeartbeat(), Leaving: r.GetLeaving(), ContactAgeMs: age(e.contactAt, now),
		})
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(sample, len(out))]
}

// take merges what a peer told.
func (m *Manager) take(msg *pb.FleetExchange, now time.Time) {
	m.mu.Lock()
	m.merge(msg.GetSender(), now)
	if e := m.members[msg.GetSender().GetAddress()]; e != nil {
		e.completeTo, e.told = msg.GetCompleteTo(), true
	}
	for _, r := range msg.GetMembers() {
		m.merge(r, now)
	}
	for _, c := range msg.GetCrashes() {
		m.noteCrash(Crash{Digest: c.GetDigest(), Leaf: c.GetLeaf(), At: now.Add(-time.Duration(c.GetAgeMs()) * time.Millisecond)})
	}
	m.mu.Unlock()
	m.takeTroubles(msg, now)
	d := mirror.Delta{CompleteFrom: msg.GetCompleteFrom(), CompleteTo: msg.GetCompleteTo(), Full: msg.GetFull()}
	for _, it := range msg.GetItems() {
		d.Items = append(d.Items, mirror.Item{Key: it.GetKey(), Revision: it.GetRevision(), Value: it.GetValue(), Deleted: it.GetDeleted()})
	}
	m.cfg.Mirror.Merge(d, now)
}

// takeTroubles passes on what the peer saw of leaves.
func (m *Manager) takeTroubles(msg *pb.FleetExchange, now time.Time) {
	var list []replica.Trouble
	for _, t := range msg.GetTroubles() {
		list = append(list, replica.Trouble{Leaf: t.GetLeaf(), Calls: float64(t.GetCalls()), Failed: float64(t.GetFailed()), Slow: float64(t.GetSlow())})
	}
	if len(list) > 0 {
		m.cfg.Evidence.Told(msg.GetSender().GetAddress(), list, now)
	}
}

// merge takes a record of a member; the higher incarnation and heartbeat wins. Requires mu.
func (m *Manager) merge(r *pb.FleetMember, now time.Time) {
	if r.GetAddress() == "" || r.GetAddress() == m.cfg.Self {
		return
	}
	e := m.members[r.GetAddress()]
	if e != nil && cmp.Or(cmp.Compare(r.GetIncarnation(), e.record.GetIncarnation()), cmp.Compare(r.GetHeartbeat(), e.record.GetHeartbeat())) <= 0 {
		return
	}
	if e == nil {
		e = &member{}
		m.members[r.GetAddress()] = e
	} else if e.record.GetIncarnation() != r.GetIncarnation() {
		e.completeTo, e.told, e.contactAt = 0, false, time.Time{}
	}
	if !e.live {
		m.cfg.Log.Info("peer changed", zap.String("peer", r.GetAddress()), zap.Bool("live", true), zap.Uint64("incarnation", r.GetIncarnation()))
	}
	e.record, e.aliveAt, e.live = r, now, true
	if r.GetContactAgeMs() >= 0 {
		if at := now.Add(-time.Duration(r.GetContactAgeMs()) * time.Millisecond); at.After(e.contactAt) {
			e.contactAt = at
		}
	}
}

// ReportCrash tells the fleet of a crash that this VM saw.
func (m *Manager) ReportCrash(c Crash) {
	m.mu.Lock()
	m.noteCrash(c)
	m.mu.Unlock()
	m.crashed.Fire()
}

// noteCrash requires mu.
func (m *Manager) noteCrash(c Crash) {
	k := crashKey{c.Digest, c.Leaf}
	if _, ok := m.seenCrash[k]; !ok {
		m.seenCrash[k] = c.At
	}
}

// Crashes returns at how many leaves the request was in flight when they ended, since the given time.
func (m *Manager) Crashes(digest uint64, since time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for k, at := range m.seenCrash {
		if k.digest == digest && at.After(since) {
			n++
		}
	}
	return n
}

// Dump shows the members.
func (m *Manager) Dump() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	type shown struct {
		Zone       string `json:"zone"`
		Live       bool   `json:"live"`
		Leaving    bool   `json:"leaving"`
		CompleteTo uint64 `json:"complete_to"`
	}
	out := make(map[string]shown, len(m.members))
	for a, e := range m.members {
		out[a] = shown{e.record.GetZone(), e.live, e.record.GetLeaving(), e.completeTo}
	}
	return out
}
