package spread

import (
	"context"
	"time"

	"go.uber.org/zap"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/api/burdock/v1/burdockv1connect"
	"github.com/burdockplank/burdockplank/internal/evidence"
	"github.com/burdockplank/burdockplank/internal/membership"
)

// exchangeTimeout bounds one exchange.
const exchangeTimeout = 3 * time.Second

// exchangeTask is an exchange that is due: the peer, and whether to exchange membership, evidence
// or both.
type exchangeTask struct {
	peer          membership.Peer
	vms, evidence bool
}

// runExchanges runs one exchange after the other until ctx ends.
func (m *Manager) runExchanges(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-m.exchanges:
			if err := m.exchange(ctx, o); err != nil && ctx.Err() == nil {
				m.cfg.Log.Debug("exchange failed", zap.String("peer", o.peer.ID), zap.Error(err))
			}
		}
	}
}

// exchange synchronises membership, evidence or both with a peer.
func (m *Manager) exchange(ctx context.Context, o exchangeTask) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	err := m.exchangeWith(ctx, m.cfg.Dial(o.peer.Address), o)
	outcome := "done"
	if err != nil {
		outcome = "failed"
	}
	m.metrics.exchanges.WithLabelValues(outcome).Inc()
	return err
}

// exchangeWith sends a summary of membership and all evidence, merges what is newer at the peer,
// and sends the records that are newer here.
func (m *Manager) exchangeWith(ctx context.Context, peer burdockv1connect.PeerServiceClient, o exchangeTask) error {
	now := time.Now()
	req := &pb.ExchangeRequest{From: m.cfg.Self, Fleet: m.cfg.Fleet, Summary: o.vms, AllEvidence: o.evidence}
	if o.vms {
		req.Vms = m.cfg.Members.Summary()
	}
	if o.evidence {
		req.Departures, req.Crashes = m.cfg.Evidence.Departures(now), m.cfg.Evidence.Crashes(now)
	}
	resp, err := peer.Exchange(ctx, req)
	if err != nil {
		return err
	}
	m.mergeExchanged(resp.GetVms(), resp.GetDepartures(), resp.GetCrashes(), time.Now())
	if len(resp.GetWanted()) == 0 {
		return nil
	}
	_, err = peer.Exchange(ctx, &pb.ExchangeRequest{
		From: m.cfg.Self, Fleet: m.cfg.Fleet, Vms: m.cfg.Members.Records(resp.GetWanted()),
	})
	return err
}

// mergeExchanged merges what an exchange returned. New items are queued as updates like any others.
func (m *Manager) mergeExchanged(vms []*pb.Vm, departures []*pb.Departure, crashes []*pb.Crash, now time.Time) {
	merged := m.cfg.Members.Merge(vms, now)
	added := m.cfg.Evidence.Merge(departures, crashes, now)
	m.mu.Lock()
	m.updates.addVMs(merged)
	m.updates.addEvidence(added)
	m.mu.Unlock()
	if merged.Any() || !added.Empty() {
		m.cfg.Changed.Fire()
		m.Push()
	}
}

// missingEvidence returns the evidence that the sender of req does not hold.
func (m *Manager) missingEvidence(req *pb.ExchangeRequest, now time.Time) (departures []*pb.Departure, crashes []*pb.Crash) {
	heldDepartures := make(map[evidence.DepartureKey]bool)
	for _, d := range req.GetDepartures() {
		heldDepartures[evidence.KeyOfDeparture(d)] = true
	}
	heldCrashes := make(map[evidence.CrashKey]*pb.Crash)
	for _, c := range req.GetCrashes() {
		heldCrashes[evidence.KeyOfCrash(c)] = c
	}
	for _, d := range m.cfg.Evidence.Departures(now) {
		if !heldDepartures[evidence.KeyOfDeparture(d)] {
			departures = append(departures, d)
		}
	}
	for _, c := range m.cfg.Evidence.Crashes(now) {
		held := heldCrashes[evidence.KeyOfCrash(c)]
		if held == nil || c.GetAnswered() && !held.GetAnswered() {
			crashes = append(crashes, c)
		}
	}
	return departures, crashes
}
