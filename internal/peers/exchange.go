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

// progressMaxAge is how long a peer's reported progress is relied on for a large exchange. Updates reach the whole
// fleet within a second, so a peer likely has by then what it lacked before. In a fleet of 300 two VMs exchange
// only every few minutes.
const progressMaxAge = 2 * time.Second

// exchange sends the peer what it lacks and merges its answer. It first asks for the peer's progress without
// sending items if the progress is unknown, or if the update is large and the progress is old, so that a peer gets
// no items that it has. A brief exchange carries only updates.
func (m *Manager) exchange(ctx context.Context, address string, brief bool) {
	for range 2 {
		client, known, zone := m.clientOf(address)
		probed, ok := m.exchangeOnce(ctx, client, known, recipient{address: address, zone: zone}, brief)
		if !ok || !probed || !m.needsPush(address) {
			return
		}
	}
}

// progress is what a peer has reported about itself.
type progress struct {
	// known is up to where the peer knew every item. reportedAt is when it said so; zero for never.
	known      mirror.Progress
	reportedAt time.Time
}

// exchangeOnce makes one exchange. ok reports whether the peer answered. probed reports whether the request only
// asked for the peer's progress, so that items may still have to be sent.
func (m *Manager) exchangeOnce(ctx context.Context, client Client, known progress, to recipient, brief bool) (probed, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	now := time.Now()
	req := m.buildMessage(known.known, now, brief, to)
	large := itemBytes(req) >= announceMinBytes
	probed = known.reportedAt.IsZero() || large && !brief && now.Sub(known.reportedAt) >= progressMaxAge
	if probed || large && brief {
		stripItems(req)
	}
	got, err := client.Exchange(ctx, req)
	if err != nil {
		m.metrics.exchanges.WithLabelValues("failed").Inc()
		return probed, false
	}
	m.metrics.exchanges.WithLabelValues("answered").Inc()
	m.mergeMessage(got, time.Now())
	return probed, true
}

// pull is a request to get updates from a peer.
type pull struct {
	address string
	// unconditional is set if the peer is known to have updates. Otherwise it is asked only if it has reported more
	// progress than this VM.
	unconditional bool
}

// Fetch requests what the peer has and this VM lacks, without waiting for the answer.
func (m *Manager) Fetch(address string) { m.enqueuePull(pull{address, true}) }

// enqueuePull queues the pull. It drops it if the queue is full.
func (m *Manager) enqueuePull(p pull) {
	select {
	case m.pulls <- p:
	default: // the queue is full; a later round gets the updates
	}
}

// runPulls gets announced updates from the peers, one peer after the other, until ctx ends.
func (m *Manager) runPulls(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-m.pulls:
			if p.unconditional || m.isAhead(p.address) {
				m.exchange(ctx, p.address, true)
			}
		}
	}
}

// isAhead reports whether the peer has reported more progress than this VM has.
func (m *Manager) isAhead(address string) bool {
	own := m.cfg.Mirror.Progress()
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.members[address]
	return e != nil && own.Lacks(e.progress.known)
}

// clientOf returns the client for the address, the last progress that the peer there reported, and its availability
// zone, which is empty if the peer is unknown.
func (m *Manager) clientOf(address string) (Client, progress, string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e := m.members[address]; e != nil {
		if e.client == nil {
			e.client = m.cfg.Dial(address)
		}
		return e.client, e.progress, e.record.GetZone()
	}
	return m.cfg.Dial(address), progress{}, ""
}

// Answer handles an exchange that a peer began and returns this VM's part.
func (m *Manager) Answer(req *pb.FleetExchange) *pb.FleetExchange {
	now := time.Now()
	m.mergeMessage(req, now)
	if from := req.GetSender().GetAddress(); req.GetBrief() && m.isAhead(from) {
		m.enqueuePull(pull{address: from})
	}
	known, asker := progressOf(req), recipient{address: req.GetSender().GetAddress(), zone: req.GetSender().GetZone()}
	if known.Newest().Revision == 0 {
		asker.starting = true
		if own := m.cfg.Mirror.Progress(); own.Newest().Revision > 0 && m.deferFullState(req.GetSender(), now) {
			known = own
		}
	}
	return m.buildMessage(known, now, req.GetBrief(), asker)
}

// recipient is the VM that a message is for.
type recipient struct {
	address string
	// zone is its availability zone; empty if unknown.
	zone string
	// starting is set if it has no state yet. It has to get to know its own zone first.
	starting bool
}

// buildMessage returns the message for a recipient of the given progress.
func (m *Manager) buildMessage(known mirror.Progress, now time.Time, brief bool, to recipient) *pb.FleetExchange {
	d := m.cfg.Mirror.Since(known, now)
	var troubles []replica.Trouble
	if !brief {
		troubles = m.cfg.Evidence.Troubles(now)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	msg := &pb.FleetExchange{Sender: m.selfRecord(now), Brief: brief}
	encodeDelta(msg, &d, now)
	if !brief {
		msg.Members = m.sampleMembers(now, to)
	}
	for _, t := range troubles {
		msg.Troubles = append(msg.Troubles, &pb.FleetTrouble{Leaf: t.Leaf.Name, LeafBorn: t.Leaf.StartMillis, Calls: float32(t.Calls), Failed: float32(t.Failed), Slow: float32(t.Slow)})
	}
	m.encodeCrashes(msg, now, to.address)
	return msg
}

// mergeMessage merges a message of a peer.
func (m *Manager) mergeMessage(msg *pb.FleetExchange, now time.Time) {
	m.mu.Lock()
	m.mergeRecords(msg, now)
	if e := m.members[msg.GetSender().GetAddress()]; e != nil {
		e.progress = progress{progressOf(msg), now}
	}
	news := m.mergeCrashes(msg, now)
	m.mu.Unlock()
	if news {
		m.localEvents.Fire()
	}
	m.forwardTroubles(msg, now)
	m.cfg.Mirror.Merge(decodeDelta(msg, now), now)
}

// mergeRecords merges the records of the sender and of the members in its message. The caller must hold mu.
func (m *Manager) mergeRecords(msg *pb.FleetExchange, now time.Time) {
	var revived []string
	for _, r := range append([]*pb.FleetMember{msg.GetSender()}, msg.GetMembers()...) {
		if m.mergeRecord(r, now) {
			revived = append(revived, r.GetAddress())
		}
	}
	if len(revived) > 0 {
		m.cfg.Log.Info("peers live", zap.Strings("peers", revived), zap.String("told_by", msg.GetSender().GetAddress()))
	}
}

// forwardTroubles passes on to the evidence what the peer observed of leaves in trouble.
func (m *Manager) forwardTroubles(msg *pb.FleetExchange, now time.Time) {
	var list []replica.Trouble
	for _, t := range msg.GetTroubles() {
		list = append(list, replica.Trouble{
			Leaf:  catalog.LeafID{Name: t.GetLeaf(), StartMillis: t.GetLeafBorn()},
			Calls: float64(t.GetCalls()), Failed: float64(t.GetFailed()), Slow: float64(t.GetSlow()),
		})
	}
	if len(list) > 0 {
		m.cfg.Evidence.RecordPeerTroubles(msg.GetSender().GetAddress(), list, now)
	}
}
