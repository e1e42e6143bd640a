package feed

import (
	"bytes"
	"crypto/sha256"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/bundle"
)

// apply makes msg the current view. A bundle that is not higher than the one held is left out, so
// that a sync which starts anew never takes the process back.
func (m *Manager) apply(msg *pb.View, started, now time.Time) {
	old := m.Current()
	next := *old
	next.Heard, next.PlatformAge = now, msg.GetPlatformAge().AsDuration()
	next.HighestVersion = max(old.HighestVersion, msg.GetHighestVersion(), msg.GetBundleVersion())
	changed := false
	if !msg.GetUnchanged() {
		next.Received = now
		next.VMs, next.Upstreams = msg.GetVms(), msg.GetUpstreams()
		next.Departures, next.Crashes = msg.GetDepartures(), msg.GetCrashes()
		changed = true
	}
	if msg.GetManifest() != nil {
		if b, err := m.readBundle(msg); err != nil {
			m.metrics.bundles.WithLabelValues("refused").Inc()
			m.cfg.Log.Error("bundle of the sync refused", zap.Error(err))
		} else if higher(b, old.Bundle) {
			m.metrics.bundles.WithLabelValues("applied").Inc()
			m.cfg.Log.Info("bundle in force", zap.Uint64("version", b.Version))
			next.Bundle, changed = b, true
		}
	}
	m.metrics.views.WithLabelValues(viewKind(msg)).Inc()
	m.publish(&next, started, changed)
	if next.Bundle != old.Bundle {
		m.reports.wake()
	}
}

// publish replaces the view and wakes those who wait for a change.
func (m *Manager) publish(v *View, started time.Time, changed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view, m.streamStarted = v, started
	if changed {
		close(m.changed)
		m.changed = make(chan struct{})
	}
}

// readBundle parses the bundle in msg. The sync has verified its signatures.
func (m *Manager) readBundle(msg *pb.View) (*bundle.Bundle, error) {
	var manifest pb.Manifest
	raw := msg.GetManifest().GetManifest()
	if err := proto.Unmarshal(raw, &manifest); err != nil {
		return nil, eris.Wrap(err, "feed: read manifest")
	}
	b, err := m.cfg.Parse(msg.GetBundleText())
	if err != nil {
		return nil, eris.Wrap(err, "feed: parse bundle")
	}
	if b.Version != manifest.GetVersion() {
		return nil, eris.Errorf("feed: bundle text of version %d under manifest of version %d", b.Version, manifest.GetVersion())
	}
	b.Digest = sha256.Sum256(raw)
	return b, nil
}

// higher orders bundles by version, then by digest, as all processes do.
func higher(a, b *bundle.Bundle) bool {
	if b == nil || a.Version != b.Version {
		return b == nil || a.Version > b.Version
	}
	return bytes.Compare(a.Digest[:], b.Digest[:]) > 0
}

func viewKind(msg *pb.View) string {
	if msg.GetUnchanged() {
		return "unchanged"
	}
	return "full"
}
