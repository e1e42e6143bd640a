package order

import (
	"context"
	"sync"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/feed"
)

const (
	// spreadQueue is how many outcomes wait to be spread, for the first time or again; a lost one
	// only makes an answer unknown.
	spreadQueue = 4096
	// spreadBatch is how many outcomes go in one round.
	spreadBatch = 256
	// spreadAgain is the time between two tries at a witness that could not be reached.
	spreadAgain = 500 * time.Millisecond
)

// settled is an outcome on its way to the witness of its ticket.
type settled struct {
	witness identity
	record  *pb.TicketRecord
	// until is the time since boot from which it isn't worth another try.
	until time.Duration
}

// spread queues the outcome of a noted order for its witness.
func (m *Manager) spread(w identity, r *pb.TicketRecord) {
	select {
	case m.outcomes <- settled{w, r, m.table.clock.Since() + m.cfg.KeepAfter}:
	default:
		m.metrics.spreads.WithLabelValues("dropped").Inc()
	}
}

// Run spreads outcomes to witnesses until ctx ends, one round at a time. What a witness could not
// be told is tried again, while the witness runs, for as long as the record itself is kept.
func (m *Manager) Run(ctx context.Context) error {
	var unsent []settled
	for {
		var again <-chan time.Time
		if len(unsent) > 0 {
			again = time.After(spreadAgain)
		}
		var batch []settled
		select {
		case <-ctx.Done():
			return nil
		case s := <-m.outcomes:
			batch = m.batch(s)
		case <-again:
			batch, unsent = unsent, nil
		}
		unsent = append(unsent, m.spreadRound(ctx, batch)...)
		if over := len(unsent) - spreadQueue; over > 0 {
			m.metrics.spreads.WithLabelValues("dropped").Add(float64(over))
			unsent = unsent[over:]
		}
	}
}

// batch returns the first and what else is queued.
func (m *Manager) batch(first settled) []settled {
	all := []settled{first}
	for len(all) < spreadBatch {
		select {
		case s := <-m.outcomes:
			all = append(all, s)
		default:
			return all
		}
	}
	return all
}

// spreadRound sends the outcomes, one message to each witness, and returns those to try again.
func (m *Manager) spreadRound(ctx context.Context, batch []settled) []settled {
	groups := make(map[identity][]settled)
	for _, s := range batch {
		groups[s.witness] = append(groups[s.witness], s)
	}
	ctx, cancel := context.WithTimeout(ctx, m.cfg.PeerTimeout)
	defer cancel()
	view, now := m.source.Current(), m.table.clock.Since()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var again []settled
	for w, group := range groups {
		wg.Go(func() {
			failed := m.spreadTo(ctx, view, w, group)
			mu.Lock()
			defer mu.Unlock()
			for _, s := range failed {
				if now < s.until {
					again = append(again, s)
				}
			}
		})
	}
	wg.Wait()
	return again
}

// spreadTo tells one witness, and returns what it could not be told though it may still run.
func (m *Manager) spreadTo(ctx context.Context, view *feed.View, w identity, group []settled) []settled {
	count := func(result string) { m.metrics.spreads.WithLabelValues(result).Add(float64(len(group))) }
	vm := findVM(view, w.vm)
	if vm == nil || ended(vm, w.incarnation) {
		count("lost")
		return nil
	}
	req := &pb.HandoverRequest{Vm: m.table.self.vm, Incarnation: m.table.self.incarnation}
	for _, s := range group {
		req.Records = append(req.Records, s.record)
	}
	if _, err := m.peers.Peer(vm).Handover(ctx, req); err != nil {
		count("failed")
		return group
	}
	count("ok")
	return nil
}
