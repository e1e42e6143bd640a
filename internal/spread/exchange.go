package spread

import (
	"context"
	"time"

	"go.uber.org/zap"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
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
	now := time.Now()
	resp, err := m.cfg.Dial(address).Exchange(ctx, &pb.ExchangeRequest{
		From: m.cfg.Self, Fleet: m.cfg.Fleet, Vms: m.cfg.Members.Records(),
		Departures: m.cfg.Evidence.Departures(now), Crashes: m.cfg.Evidence.Crashes(now),
	})
	if err != nil {
		m.metrics.exchanges.WithLabelValues("failed").Inc()
		return err
	}
	m.metrics.exchanges.WithLabelValues("done").Inc()
	m.mergeWhole(resp.GetVms(), resp.GetDepartures(), resp.GetCrashes(), time.Now())
	return nil
}

// mergeWhole takes what came by an exchange. It is passed on as news like any other.
func (m *Manager) mergeWhole(vms []*pb.Vm, departures []*pb.Departure, crashes []*pb.Crash, now time.Time) {
	merged := m.cfg.Members.Merge(vms, now)
	brought := m.cfg.Evidence.Merge(departures, crashes, now)
	m.mu.Lock()
	m.news.addVMs(merged.News)
	m.news.addEvidence(brought)
	m.mu.Unlock()
	if len(merged.News) > 0 || !brought.Empty() {
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
