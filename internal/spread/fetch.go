package spread

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/api/burdock/v1/burdockv1connect"
	"github.com/burdockplank/burdockplank/internal/bundle"
)

const (
	// manifestTimeout and sectionsTimeout bound one call to a peer.
	manifestTimeout = 2 * time.Second
	sectionsTimeout = 3 * time.Second
	// maxSectionsPerCall bounds the number of digests in one call.
	maxSectionsPerCall = 256
	// refetchDelay is the time for which a refused bundle is not fetched again.
	refetchDelay = 30 * time.Second
)

func refusedKeyOf(version uint64, digest []byte) refusedKey {
	k := refusedKey{version: version}
	copy(k.prefix[:], digest)
	return k
}

// runFetches fetches from one peer after the other until ctx ends.
func (m *Manager) runFetches(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-m.fetches:
			if err := m.fetch(ctx, p.Address); err != nil && ctx.Err() == nil {
				m.cfg.Log.Debug("fetch failed", zap.String("peer", p.ID), zap.Error(err))
			}
		}
	}
}

// fetch brings the bundle and the list up to those of the peer if the peer's are higher.
func (m *Manager) fetch(ctx context.Context, address string) error {
	peer := m.cfg.Dial(address)
	begun := time.Now()
	mctx, cancel := context.WithTimeout(ctx, manifestTimeout)
	defer cancel()
	resp, err := peer.Manifest(mctx, &pb.ManifestRequest{Fleet: m.cfg.Fleet})
	if err != nil {
		m.metrics.fetches.WithLabelValues("manifest", "failed").Inc()
		return eris.Wrapf(err, "sync.spread: fetch manifest from %s", address)
	}
	select {
	case m.fetchSlot <- struct{}{}:
		defer func() { <-m.fetchSlot }()
	case <-ctx.Done():
		return ctx.Err()
	}
	from := Origin{From: address, RequestedAt: begun}
	if err := m.fetchBundle(ctx, peer, resp.GetManifest(), from); err != nil {
		return eris.Wrapf(err, "sync.spread: fetch bundle from %s", address)
	}
	if err := m.fetchList(ctx, peer, resp.GetList()); err != nil {
		return eris.Wrapf(err, "sync.spread: fetch list from %s", address)
	}
	return nil
}

func (m *Manager) fetchBundle(ctx context.Context, peer burdockv1connect.PeerServiceClient, signed *pb.SignedManifest, from Origin) error {
	if signed == nil {
		return nil
	}
	missing, wanted, err := m.cfg.Content.MissingBundleSections(signed)
	if err != nil {
		m.rememberRefused(signed)
		return err
	}
	if !wanted {
		return nil
	}
	sections, err := m.fetchSections(ctx, peer, missing)
	if err != nil {
		return err
	}
	return m.ApplyBundle(signed, sections, from)
}

// Origin describes where a bundle came from.
type Origin struct {
	// From is the address of the peer, or "platform".
	From string
	// RequestedAt is when the manifest was requested, or when it arrived if it came from a watch.
	RequestedAt time.Time
}

// ApplyBundle puts a higher bundle in force, built from the fetched sections and those already
// held. The bundle is offered to others before the check whether it is usable, because each VM runs
// that check itself.
func (m *Manager) ApplyBundle(signed *pb.SignedManifest, sections [][]byte, from Origin) error {
	offer, err := m.cfg.Content.OfferBundle(signed, sections)
	if offer == nil {
		return err
	}
	m.Push()
	begun := time.Now()
	m.cfg.Log.Info("bundle offered", zap.Uint64("version", offer.Version), zap.Int("bytes", len(offer.Text)),
		zap.String("from", from.From), zap.Int("sections", len(sections)), zap.Duration("read", begun.Sub(from.RequestedAt)))
	changed, err := m.cfg.Content.ApplyOffer(offer)
	var refused *bundle.RefusedError
	if errors.As(err, &refused) {
		m.rememberRefused(signed)
	}
	if changed {
		m.cfg.Log.Info("bundle in force", zap.Uint64("version", offer.Version), zap.Int("bytes", len(offer.Text)),
			zap.Duration("checked", time.Since(begun)))
	}
	return err
}

// rememberRefused records a refused bundle, so that it is not fetched again on each packet that
// announces it.
func (m *Manager) rememberRefused(signed *pb.SignedManifest) {
	m.metrics.fetches.WithLabelValues("bundle", "refused").Inc()
	digest := bundle.ManifestDigest(signed.GetManifest())
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for k, at := range m.refused {
		if now.Sub(at) >= refetchDelay {
			delete(m.refused, k)
		}
	}
	m.refused[refusedKeyOf(versionOf(signed), digest[:])] = now
}

func (m *Manager) fetchList(ctx context.Context, peer burdockv1connect.PeerServiceClient, list *pb.ListManifest) error {
	missing, wanted := m.cfg.Content.MissingListSections(list)
	if !wanted {
		return nil
	}
	sections, err := m.fetchSections(ctx, peer, missing)
	if err != nil {
		return err
	}
	changed, err := m.cfg.Content.ApplyListManifest(list, sections)
	if changed {
		m.ListChanged()
	}
	return err
}

// ListChanged applies the VMs of a list that has just arrived and pushes the change at once.
func (m *Manager) ListChanged() {
	m.cfg.Members.SetList(m.cfg.Content.List().VMs)
	m.cfg.Changed.Fire()
	m.Push()
}

// fetchSections fetches sections from a peer, at most maxSectionsPerCall per call.
func (m *Manager) fetchSections(ctx context.Context, peer burdockv1connect.PeerServiceClient, digests []bundle.Digest) ([][]byte, error) {
	var out [][]byte
	for len(digests) > 0 {
		n := min(len(digests), maxSectionsPerCall)
		got, err := m.fetchSectionBatch(ctx, peer, digests[:n])
		if err != nil {
			m.metrics.fetches.WithLabelValues("sections", "failed").Inc()
			return nil, err
		}
		out = append(out, got...)
		digests = digests[n:]
	}
	m.metrics.fetches.WithLabelValues("sections", "fetched").Inc()
	m.metrics.sections.Add(float64(len(out)))
	return out, nil
}

func (m *Manager) fetchSectionBatch(ctx context.Context, peer burdockv1connect.PeerServiceClient, digests []bundle.Digest) ([][]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, sectionsTimeout)
	defer cancel()
	req := new(pb.SectionsRequest)
	for i := range digests {
		req.Digests = append(req.Digests, digests[i][:])
	}
	resp, err := peer.Sections(ctx, req)
	if err != nil {
		return nil, err
	}
	return resp.GetSections(), nil
}
