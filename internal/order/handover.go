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
	// handoverCopies is the number of peers that receive the records.
	handoverCopies = 3
	// maxHandoverRecords is the maximum number of records in one message.
	maxHandoverRecords = 500
	// handoverTimeout bounds the whole handover.
	handoverTimeout = 5 * time.Second
)

// handoverData is what is handed over of one incarnation.
type handoverData struct {
	minter      identity
	records     []*pb.TicketRecord
	sealedAll   bool
	forgottenTo uint64
	retention   time.Duration
}

// requests splits the data into messages. Only the last one carries sealed_all.
func (d *handoverData) requests() []*pb.HandoverRequest {
	var all []*pb.HandoverRequest
	remaining := d.records
	for {
		n := min(len(remaining), maxHandoverRecords)
		all = append(all, &pb.HandoverRequest{
			Vm: d.minter.vm, Incarnation: d.minter.incarnation, Records: remaining[:n],
			RecordsTotal: uint32(len(d.records)), ForgottenTo: d.forgottenTo, Keep: durationpb.New(d.retention),
		})
		remaining = remaining[n:]
		if len(remaining) == 0 {
			all[len(all)-1].SealedAll = d.sealedAll
			return all
		}
	}
}

// Drain ends the orders of this incarnation. It stops minting tickets, waits up to DrainGracePeriod
// for tickets not yet used, seals the rest, waits for running orders and hands all records to
// peers. If ctx ends first, orders still running are handed over as intents. It may be called once.
func (m *Manager) Drain(ctx context.Context) {
	m.draining.Store(true)
	graceCtx, cancel := context.WithTimeout(ctx, m.cfg.DrainGracePeriod)
	m.table.wait(graceCtx, func(c counts) bool { return c.Minted == 0 })
	cancel()
	m.table.seal()
	m.table.wait(ctx, func(c counts) bool { return c.Running == 0 })
	m.handOver(context.WithoutCancel(ctx))
}

// handOver sends the records that this gather holds to peers: its own and those handed to it
// before.
func (m *Manager) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	own := m.table.handoverData()
	var wg sync.WaitGroup
	for _, data := range m.archive.handoverData() {
		wg.Go(func() { m.handOverOne(ctx, data) })
	}
	copies := m.handOverOne(ctx, own)
	wg.Wait()
	m.log.Info("order records handed over to peers", zap.Int("records", len(own.records)), zap.Int("copies", copies))
}

// handOverOne sends the data to the highest-ranked peers that accept all of it, and returns their
// number.
func (m *Manager) handOverOne(ctx context.Context, data *handoverData) int {
	copies := 0
	for _, vm := range handoverTargets(m.source.Current(), data.minter) {
		if copies == handoverCopies || ctx.Err() != nil {
			break
		}
		if m.handOverTo(ctx, vm, data) {
			copies++
		}
	}
	return copies
}

func (m *Manager) handOverTo(ctx context.Context, vm *pb.Vm, data *handoverData) bool {
	for _, req := range data.requests() {
		pctx, cancel := context.WithTimeout(ctx, m.cfg.PeerTimeout)
		_, err := m.peers.Peer(vm).Handover(pctx, req)
		cancel()
		if err != nil {
			m.metrics.handovers.WithLabelValues("failed").Inc()
			return false
		}
	}
	m.metrics.handovers.WithLabelValues("ok").Inc()
	return true
}

// seal prevents any further order from starting.
func (t *table) seal() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sealed = true
}

// wait blocks until the counts meet the condition or ctx ends.
func (t *table) wait(ctx context.Context, condition func(counts) bool) {
	for {
		t.mu.Lock()
		changed, c := t.changed, t.countsLocked()
		t.mu.Unlock()
		if condition(c) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// handoverData returns all records of this incarnation, with running orders as intents. If the
// table is sealed, tickets without a record are sealed, too.
func (t *table) handoverData() *handoverData {
	t.mu.Lock()
	defer t.mu.Unlock()
	data := &handoverData{minter: t.self, sealedAll: t.sealed, forgottenTo: t.forgottenTo, retention: t.cfg.PeerRetention}
	for _, e := range t.queue {
		switch e.state {
		case stateDone:
			data.records = append(data.records, e.record)
		case stateRunning:
			data.records = append(data.records, &pb.TicketRecord{
				Ticket: t.ticketID(e.sequence), State: pb.TicketState_TICKET_STATE_INTENT, Caller: e.caller, OrderDigest: e.digest,
			})
		}
	}
	return data
}
