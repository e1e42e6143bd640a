package order

import (
	"context"
	"sync"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/feed"
)

const (
	// maxSpreadQueue is the maximum number of outcomes that wait to be sent to their witnesses,
	// for the first time or again. Losing one can only make an answer unknown.
	maxSpreadQueue = 4096
	// maxSpreadBatch is the maximum number of outcomes sent in one round.
	maxSpreadBatch = 256
	// spreadRetryInterval is the time between two attempts to reach a witness.
	spreadRetryInterval = 500 * time.Millisecond
)

// pendingOutcome is a final record that has yet to reach the witness of its ticket.
type pendingOutcome struct {
	witness identity
	record  *pb.TicketRecord
	// retryUntil is the time since boot after which sending is not retried.
	retryUntil time.Duration
}

// spread queues the outcome of an order for the witness that noted it. It drops the outcome if the
// queue is full.
func (m *Manager) spread(w identity, r *pb.TicketRecord) {
	select {
	case m.pendingOutcomes <- pendingOutcome{w, r, m.table.clock.Since() + m.cfg.RecordRetention}:
	default:
		m.metrics.spreads.WithLabelValues("dropped").Inc()
	}
}

// Run sends outcomes to witnesses until ctx ends, one round at a time. It retries outcomes that a
// witness did not receive, as long as that witness runs and the record itself is kept.
func (m *Manager) Run(ctx context.Context) error {
	var unsent []pendingOutcome
	for {
		var retryTimer <-chan time.Time
		if len(unsent) > 0 {
			retryTimer = time.After(spreadRetryInterval)
		}
		var batch []pendingOutcome
		select {
		case <-ctx.Done():
			return nil
		case o := <-m.pendingOutcomes:
			batch = m.collectBatch(o)
		case <-retryTimer:
			batch, unsent = unsent, nil
		}
		unsent = append(unsent, m.spreadRound(ctx, batch)...)
		if excess := len(unsent) - maxSpreadQueue; excess > 0 {
			m.metrics.spreads.WithLabelValues("dropped").Add(float64(excess))
			unsent = unsent[excess:]
		}
	}
}

// collectBatch returns first and what else is queued, at most maxSpreadBatch outcomes.
func (m *Manager) collectBatch(first pendingOutcome) []pendingOutcome {
	all := []pendingOutcome{first}
	for len(all) < maxSpreadBatch {
		select {
		case o := <-m.pendingOutcomes:
			all = append(all, o)
		default:
			return all
		}
	}
	return all
}

// spreadRound sends the outcomes, one message to each witness, and returns those to retry.
func (m *Manager) spreadRound(ctx context.Context, batch []pendingOutcome) []pendingOutcome {
	groups := make(map[identity][]pendingOutcome)
	for _, o := range batch {
		groups[o.witness] = append(groups[o.witness], o)
	}
	ctx, cancel := context.WithTimeout(ctx, m.cfg.PeerTimeout)
	defer cancel()
	view, now := m.source.Current(), m.table.clock.Since()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var retry []pendingOutcome
	for w, group := range groups {
		wg.Go(func() {
			failed := m.spreadTo(ctx, view, w, group)
			mu.Lock()
			defer mu.Unlock()
			for _, o := range failed {
				if now < o.retryUntil {
					retry = append(retry, o)
				}
			}
		})
	}
	wg.Wait()
	return retry
}

// spreadTo sends outcomes to one witness. If the call fails and the witness may still run, it
// returns them all.
func (m *Manager) spreadTo(ctx context.Context, view *feed.View, w identity, group []pendingOutcome) []pendingOutcome {
	count := func(result string) { m.metrics.spreads.WithLabelValues(result).Add(float64(len(group))) }
	vm := findVM(view, w.vm)
	if vm == nil || incarnationEnded(vm, w.incarnation) {
		count("lost")
		return nil
	}
	req := &pb.HandoverRequest{Vm: m.table.self.vm, Incarnation: m.table.self.incarnation}
	for _, o := range group {
		req.Records = append(req.Records, o.record)
	}
	if _, err := m.peers.Peer(vm).Handover(ctx, req); err != nil {
		count("failed")
		return group
	}
	count("ok")
	return nil
}
