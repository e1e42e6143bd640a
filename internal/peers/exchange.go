package peers

import (
	"context"
	"time"

	"go.uber.org/zap"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/mirror"
	"github.com/burdockplank/burdockplank/internal/replica"
)

// wordKeep is how long a peer's word of what it has counts for a large exchange: news gets around a fleet in a second,
// so that what it lacked before it likely has by then. In a fleet of 300 two VMs meet every few minutes.
const wordKeep = 2 * time.Second

// exchange tells the peer what it lacks and takes what it tells. A peer that has said nothing of itself, or nothing
// lately where much is to be told, is asked first, so that nothing goes to one that has it. A brief exchange
// carries news only.
func (m *Manager) exchange(ctx context.Context, address string, brief bool) {
	for range 2 {
		client, w := m.clientOf(address)
		asked, ok := m.exchangeOnce(ctx, client, w, brief)
		if !ok || !asked || !m.behind(address) {
			return
		}
	}
}

// word is what a peer said of itself.
type word struct {
	// completeTo is the revision up to which it knew every item, at when it said so, zero for never.
	completeTo uint64
	at         time.Time
}

// exchangeOnce tells whether the peer answered, and whether it was asked first, before it is told.
func (m *Manager) exchangeOnce(ctx context.Context, client Client, w word, brief bool) (asked, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	now := time.Now()
	req := m.message(w.completeTo, now, brief, m.cfg.Zone)
	large := itemBytes(req) >= announceFrom
	asked = w.at.IsZero() || large && !brief && now.Sub(w.at) >= wordKeep
	if asked || large && brief {
		withoutItems(req)
	}
	got, err := client.Exchange(ctx, req)
	if err != nil {
		m.metrics.exchanges.WithLabelValues("failed").Inc()
		return asked, false
	}
	m.metrics.exchanges.WithLabelValues("answered").Inc()
	m.take(got, time.Now())
	return asked, true
}

// withoutItems lets the message say how much its sender knows, but not what.
func withoutItems(msg *pb.FleetExchange) {
	msg.Items, msg.Full, msg.CompleteFrom = nil, false, msg.GetCompleteTo()
}

// itemBytes is about what the items of the message take.
func itemBytes(msg *pb.FleetExchange) int {
	n := 0
	for _, it := range msg.GetItems() {
		n += len(it.GetKey()) + len(it.GetValue())
	}
	return n
}

// pull is a peer to ask for news.
type pull struct {
	address string
	// certain is set where it is known to have some; otherwise it is asked if it said that it has more.
	certain bool
}

// Fetch asks the peer for what it has and this VM lacks, without waiting for it.
func (m *Manager) Fetch(address string) { m.pull(pull{address, true}) }

func (m *Manager) pull(p pull) {
	select {
	case m.pulls <- p:
	default: // the next round asks
	}
}

// runPulls asks peers for the news that they announced, one after the other.
func (m *Manager) runPulls(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-m.pulls:
			if p.certain || m.ahead(p.address) {
				m.exchange(ctx, p.address, true)
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
	return e != nil && e.said.completeTo > to
}

// clientOf returns the client of the address, and what the peer there last said of itself.
func (m *Manager) clientOf(address string) (Client, word) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e := m.members[address]; e != nil {
		if e.client == nil {
			e.client = m.cfg.Dial(address)
		}
		return e.client, e.said
	}
	return m.cfg.Dial(address), word{}
}

// Answer takes an exchange that a peer began, and returns this VM's part.
func (m *Manager) Answer(req *pb.FleetExchange) *pb.FleetExchange {
	now := time.Now()
	m.take(req, now)
	if from := req.GetSender().GetAddress(); req.GetBrief() && m.ahead(from) {
		m.pull(pull{address: from})
	}
	to, zone := req.GetCompleteTo(), m.cfg.Zone
	if to == 0 {
		zone = req.GetSender().GetZone()
		if own := m.cfg.Mirror.CompleteTo(); own > 0 && m.leftToOthers(req.GetSender(), now) {
			to = own
		}
	}
	return m.message(to, now, req.GetBrief(), zone)
}

// message is what a peer that is complete to the revision is told. Members of the zone are named first.
func (m *Manager) message(to uint64, now time.Time, brief bool, zone string) *pb.FleetExchange {
	d := m.cfg.Mirror.Since(to)
	var troubles []replica.Trouble
	if !brief {
		troubles = m.cfg.Evidence.Troubles(now)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	msg := &pb.FleetExchange{Sender: m.selfRecord(now), Brief: brief, CompleteFrom: d.CompleteFrom, CompleteTo: d.CompleteTo, Full: d.Full}
	if !brief {
		msg.Members = m.sampleMembers(now, zone)
	}
	for _, it := range d.Items {
		msg.Items = append(msg.Items, &pb.FleetItem{Key: it.Key, Revision: it.Revision, Value: it.Value, Deleted: it.Deleted})
	}
	for _, t := range troubles {
		msg.Troubles = append(msg.Troubles, &pb.FleetTrouble{Leaf: t.Leaf.Name, LeafBorn: t.Leaf.StartMillis, Calls: float32(t.Calls), Failed: float32(t.Failed), Slow: float32(t.Slow)})
	}
	for k, at := range m.seenCrash {
		msg.Crashes = append(msg.Crashes, &pb.FleetCrash{Digest: k.digest, Leaf: k.leaf.Name, LeafBorn: k.leaf.StartMillis, AgeMs: now.Sub(at).Milliseconds()})
	}
	return msg
}

// take merges what a peer told.
func (m *Manager) take(msg *pb.FleetExchange, now time.Time) {
	m.mu.Lock()
	m.mergeAll(msg, now)
	if e := m.members[msg.GetSender().GetAddress()]; e != nil {
		e.said = word{msg.GetCompleteTo(), now}
	}
	for _, c := range msg.GetCrashes() {
		m.noteCrash(Crash{
			Digest: c.GetDigest(), Leaf: catalog.LeafID{Name: c.GetLeaf(), StartMillis: c.GetLeafBorn()},
			At: now.Add(-time.Duration(c.GetAgeMs()) * time.Millisecond),
		})
	}
	m.mu.Unlock()
	m.takeTroubles(msg, now)
	d := mirror.Delta{CompleteFrom: msg.GetCompleteFrom(), CompleteTo: msg.GetCompleteTo(), Full: msg.GetFull()}
	for _, it := range msg.GetItems() {
		d.Items = append(d.Items, mirror.Item{Key: it.GetKey(), Revision: it.GetRevision(), Value: it.GetValue(), Deleted: it.GetDeleted()})
	}
	m.cfg.Mirror.Merge(d, now)
}

// mergeAll takes the sender's record and those that it names. Requires mu.
func (m *Manager) mergeAll(msg *pb.FleetExchange, now time.Time) {
	var back []string
	for _, r := range append([]*pb.FleetMember{msg.GetSender()}, msg.GetMembers()...) {
		if m.merge(r, now) {
			back = append(back, r.GetAddress())
		}
	}
	if len(back) > 0 {
		m.cfg.Log.Info("peers live", zap.Strings("peers", back), zap.String("told_by", msg.GetSender().GetAddress()))
	}
}

// takeTroubles passes on what the peer saw of leaves.
func (m *Manager) takeTroubles(msg *pb.FleetExchange, now time.Time) {
	var list []replica.Trouble
	for _, t := range msg.GetTroubles() {
		list = append(list, replica.Trouble{
			Leaf:  catalog.LeafID{Name: t.GetLeaf(), StartMillis: t.GetLeafBorn()},
			Calls: float64(t.GetCalls()), Failed: float64(t.GetFailed()), Slow: float64(t.GetSlow()),
		})
	}
	if len(list) > 0 {
		m.cfg.Evidence.Told(msg.GetSender().GetAddress(), list, now)
	}
}
