package feed

import (
	"errors"
	"time"

	"go.uber.org/zap"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/bundle"
)

// apply makes msg the current view. It ignores a bundle that is not higher than the one held, so
// that a restarted sync never downgrades the process.
func (m *Manager) apply(msg *pb.View, started, now time.Time) {
	m.applyBundle(msg)
	old := m.Current()
	next := *old
	next.Bundle = m.cfg.Bundles.Current()
	next.Heard, next.PlatformAge = now.Add(-m.ageOf(msg)), platformAge(msg)
	next.HighestVersion = max(old.HighestVersion, msg.GetHighestVersion(), msg.GetBundleVersion())
	if !msg.GetUnchanged() {
		next.Received = now
		next.VMs, next.Upstreams = msg.GetVms(), msg.GetUpstreams()
		next.Departures, next.Crashes = msg.GetDepartures(), msg.GetCrashes()
	}
	m.metrics.views.WithLabelValues(viewKind(msg)).Inc()
	m.publish(&next, started, !msg.GetUnchanged() || next.Bundle != old.Bundle)
	if next.Bundle != old.Bundle {
		m.reports.wake()
	}
}

// ageOf returns how long ago the sync checked that msg may be sent. A message may wait in a buffer,
// and the sync may be paused between its check and the sending.
func (m *Manager) ageOf(msg *pb.View) time.Duration {
	if msg.GetAsOf() == nil {
		return 0
	}
	return max(0, m.cfg.BootTime()-msg.GetAsOf().AsDuration())
}

// platformAge returns the age in msg, or NeverReached.
func platformAge(msg *pb.View) time.Duration {
	if msg.GetPlatformAge() == nil {
		return NeverReached
	}
	return msg.GetPlatformAge().AsDuration()
}

// applyBundle puts the bundle in msg in force if it is higher than the one held.
func (m *Manager) applyBundle(msg *pb.View) {
	if msg.GetManifest() == nil {
		return
	}
	begun, before := time.Now(), m.cfg.Bundles.Current()
	err := m.cfg.Bundles.Apply(msg.GetManifest(), msg.GetBundleText())
	var refused *bundle.RefusedError
	switch {
	case err == nil && m.cfg.Bundles.Current() == before:
		// The sync found a higher bundle unusable and offers this one again.
	case err == nil:
		m.cfg.Log.Info("bundle in force", zap.Uint64("version", m.cfg.Bundles.Current().Version),
			zap.Int("bytes", len(msg.GetBundleText())), zap.Duration("checked", time.Since(begun)))
	case errors.As(err, &refused) && (refused.Reason == bundle.RefusedOlder || refused.Reason == bundle.RefusedRace):
		// A restarted sync may still be behind this process.
	default:
		m.cfg.Log.Error("bundle from the sync refused", zap.Error(err))
	}
}

// publish replaces the view and wakes the waiters if it changed.
func (m *Manager) publish(v *View, started time.Time, changed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view, m.streamStarted = v, started
	if changed {
		close(m.changed)
		m.changed = make(chan struct{})
	}
}

func viewKind(msg *pb.View) string {
	if msg.GetUnchanged() {
		return "unchanged"
	}
	return "full"
}
