package order

import (
	"context"
	"sync"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/feed"
)

const (
	// spreadQueue is how many outcomes wait to be spread; a lost one only makes an answer unknown.
	spreadQueue = 4096
	// spreadBatch is how many outcomes go in one round.
	spreadBatch = 256
)

// settled is an outcome on its way to the witness of its ticket.
type settled struct {
	witness identity
	record  *pb.TicketRecord
}

// spread queues the outcome of a noted order for its witness.
func (m *Manager) spread(s settled) {
	select {
	case m.outcomes <- s:
	default:
		m.metrics.spreads.WithLabelValues("dropped").Inc()
	}
}

// Run spreads outcomes to witnesses until ctx ends, one round at a time.
func (m *Manager) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-m.outcomes:
			m.spreadRound(ctx, s)
		}
	}
}

// spreadRound sends what is queued, one message to each witness.
func (m *Manager) spreadRound(ctx context.Context, first settled) {
	groups := map[identity][]*pb.TicketRecord{first.witness: {first.record}}
collect:
	for range spreadBatch {
		select {
		case s := <-m.outcomes:
			groups[s.witness] = append(groups[s.witness], s.record)
		default:
			break collect
		}
	}
	ctx, cancel := context.WithTimeout(ctx, m.cfg.PeerTimeout)
	defer cancel()
	view := m.source.Current()
	var wg sync.WaitGroup
	for w, records := range groups {
		wg.Go(func() { m.spreadTo(ctx, view, w, records) })
	}
	wg.Wait()
}

func (m *Manager) spreadTo(ctx context.Context, view *feed.View, w identity, records []*pb.TicketRecord) {
	result := "lost"
	if vm := findVM(view, w.vm); vm != nil && gatherOf(vm).GetIncarnation() == w.incarnation {
		_, err := m.peers.Peer(vm).Handover(ctx, &pb.HandoverRequest{
			Vm: m.table.self.vm, Incarnation: m.table.self.incarnation, Records: records,
		})
		if err == nil {
			result = "ok"
		}
	}
	m.metrics.spreads.WithLabelValues(result).Add(float64(len(records)))
}
