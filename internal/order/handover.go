package order

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

const (
	// handoverCopies is how many peers get the records.
	handoverCopies = 3
	// handoverPart is how many records go in one message.
	handoverPart = 500
	// handoverLimit bounds the handover as a whole.
	handoverLimit = 5 * time.Second
)

// estate is all that is handed over of one incarnation.
type estate struct {
	minter      identity
	records     []*pb.TicketRecord
	sealedAll   bool
	forgottenTo uint64
	keep        time.Duration
}

// parts cuts the estate into messages; sealed_all goes in the last.
func (e *estate) parts() []*pb.HandoverRequest {
	var all []*pb.HandoverRequest
	rest := e.records
	for {
		n := min(len(rest), handoverPart)
		all = append(all, &pb.HandoverRequest{
			Vm: e.minter.vm, Incarnation: e.minter.incarnation, Records: rest[:n],
			RecordsTotal: uint32(len(e.records)), ForgottenTo: e.forgottenTo, Keep: durationpb.New(e.keep),
		})
		rest = rest[n:]
		if len(rest) == 0 {
			all[len(all)-1].SealedAll = e.sealedAll
			return all
		}
	}
}

// Drain ends the orders of this incarnation: it issues no more tickets, waits a little for tickets
// not used yet, seals the rest, waits for running orders and hands all records to peers. Where ctx
// ends first, orders still running are handed over as intents. It may be called once.
func (m *Manager) Drain(ctx context.Context) {
	m.draining.Store(true)
	grace, cancel := context.WithTimeout(ctx, m.cfg.DrainGrace)
	m.table.wait(grace, func(c counts) bool { return c.Minted == 0 })
	cancel()
	m.table.seal()
	m.table.wait(ctx, func(c counts) bool { return c.Running == 0 })
	m.handOver(context.WithoutCancel(ctx))
}

// handOver sends what this gather holds to peers: its own records and those handed to it before.
func (m *Manager) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverLimit)
	defer cancel()
	own := m.table.estate()
	var wg sync.WaitGroup
	for _, e := range m.archive.parts() {
		wg.Go(func() { m.handOverOne(ctx, e) })
	}
	copies := m.handOverOne(ctx, own)
	wg.Wait()
	m.log.Info("orders handed over", zap.Int("records", len(own.records)), zap.Int("copies", copies))
}

// handOverOne gives the estate to the first peers, by rank, that take it whole, and returns to how
// many.
func (m *Manager) handOverOne(ctx context.Context, e *estate) int {
	copies := 0
	for _, vm := range handoverOrder(m.source.Current(), e.minter) {
		if copies == handoverCopies || ctx.Err() != nil {
			break
		}
		if m.handOverTo(ctx, vm, e) {
			copies++
		}
	}
	return copies
}

func (m *Manager) handOverTo(ctx context.Context, vm *pb.Vm, e *estate) bool {
	for _, part := range e.parts() {
		pctx, cancel := context.WithTimeout(ctx, m.cfg.PeerTimeout)
		_, err := m.peers.Peer(vm).Handover(pctx, part)
		cancel()
		if err != nil {
			m.metrics.handovers.WithLabelValues("failed").Inc()
			return false
		}
	}
	m.metrics.handovers.WithLabelValues("ok").Inc()
	return true
}

// seal stops any order from starting.
func (t *table) seal() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sealed = true
}

// wait returns when the counts are as wanted or ctx ends.
func (t *table) wait(ctx context.Context, wanted func(counts) bool) {
	for {
		t.mu.Lock()
		quiet, c := t.quiet, t.countsLocked()
		t.mu.Unlock()
		if wanted(c) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-quiet:
		}
	}
}

// estate returns all records of this incarnation; running orders are in it as intents. Tickets
// without a record are sealed where the table is.
func (t *table) estate() *estate {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := &estate{minter: t.self, sealedAll: t.sealed, forgottenTo: t.forgottenTo, keep: t.cfg.PeerKeep}
	for _, x := range t.queue {
		switch x.state {
		case stateDone:
			e.records = append(e.records, x.record)
		case stateRunning:
			e.records = append(e.records, &pb.TicketRecord{
				Ticket: t.id(x.sequence), State: pb.TicketState_TICKET_STATE_INTENT, Caller: x.caller, OrderDigest: x.digest,
			})
		}
	}
	return e
}
