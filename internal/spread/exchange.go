package spread

import (
	"context"
	"time"

	"go.uber.org/zap"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/api/burdock/v1/burdockv1connect"
	"github.com/burdockplank/burdockplank/internal/evidence"
)

// exchangeTimeout bounds one exchange.
const exchangeTimeout = 3 * time.Second

// runExchanges exchanges with one peer after the other.
func (m *Manager) runExchanges(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-m.exchanges:
			if err := m.exchange(ctx, p.Address); err != nil && ctx.Err() == nil {
				m.cfg.Log.Debug("exchange failed", zap.String("peer", p.ID), zap.Error(err))
			}
		}
	}
}

// exchange gives a peer all membership and evidence and takes what it holds more.
func (m *Manager) exchange(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	err := m.exchangeWith(ctx, m.cfg.Dial(address))
	outcome := "done"
	if err != nil {
		outcome = "failed"
	}
	m.metrics.exchanges.WithLabelValues(outcome).Inc()
	return err
}

// exchangeWith sends a summary of membership and all evidence, takes what is newer there, and gives
// the records that are newer here.
func (m *Manager) exchangeWith(ctx context.Context, peer burdockv1connect.PeerServiceClient) error {
	now := time.Now()
	resp, err := peer.Exchange(ctx, &pb.ExchangeRequest{
		From: m.cfg.Self, Fleet: m.cfg.Fleet, Vms: m.cfg.Members.Summary(), Summary: true,
		Departures: m.cfg.Evidence.Departures(now), Crashes: m.cfg.Evidence.Crashes(now),
	})
	if err != nil {
		return err
	}
	m.mergeWhole(resp.GetVms(), resp.GetDepartures(), resp.GetCrashes(), time.Now())
	if len(resp.GetWanted()) == 0 {
		return nil
	}
	_, err = peer.Exchange(ctx, &pb.ExchangeRequest{
		From: m.cfg.Self, Fleet: m.cfg.Fleet, Vms: m.cfg.Members.Whole(resp.GetWanted()),
	})
	return err
}

// mergeWhole takes what came by an exchange. It is passed on as news like any other.
func (m *Manager) mergeWhole(vms []*pb.Vm, departures []*pb.Departure, crashes []*pb.Crash, now time.Time) {
	merged := m.cfg.Members.Merge(vms, now)
	brought := m.cfg.Evidence.Merge(departures, crashes, now)
	m.mu.Lock()
	m.news.addVMs(merged)
	m.news.addEvidence(brought)
	m.mu.Unlock()
	if merged.Any() || !brought.Empty() {
		m.cfg.Changed.Fire()
		m.Push()
	}
}

// lacking returns the evidence that the sender of req doesn't hold.
func (m *Manager) lacking(req *pb.ExchangeRequest, now time.Time) (departures []*pb.Departure, crashes []*pb.Crash) {
	heldDepartures := make(map[evidence.DepartureKey]bool)
	for _, d := range req.GetDepartures() {
		heldDepartures[evidence.KeyOfDeparture(d)] = true
	}
	heldCrashes := make(map[evidence.CrashKey]bool)
	for _, c := range req.GetCrashes() {
		heldCrashes[evidence.KeyOfCrash(c)] = true
	}
	for _, d := range m.cfg.Evidence.Departures(now) {
		if !heldDepartures[evidence.KeyOfDeparture(d)] {
			departures = append(departures, d)
		}
	}
	for _, c := range m.cfg.Evidence.Crashes(now) {
		if !heldCrashes[evidence.KeyOfCrash(c)] {
			crashes = append(crashes, c)
		}
	}
	return departures, crashes
}
