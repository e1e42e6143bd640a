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
	// sectionsPerCall bounds the digests of one call.
	sectionsPerCall = 256
	// refusedFor is how long a bundle that was not accepted is not fetched again.
	refusedFor = 30 * time.Second
)

func refusedKeyOf(version uint64, digest []byte) refusedKey {
	k := refusedKey{version: version}
	copy(k.prefix[:], digest)
	return k
}

// runFetches fetches from one peer after the other.
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

// fetch brings bundle and list to what the peer holds, if that is higher.
func (m *Manager) fetch(ctx context.Context, address string) error {
	peer := m.cfg.Dial(address)
	begun := time.Now()
	mctx, cancel := context.WithTimeout(ctx, manifestTimeout)
	defer cancel()
	resp, err := peer.Manifest(mctx, &pb.ManifestRequest{Fleet: m.cfg.Fleet})
	if err != nil {
		m.metrics.fetches.WithLabelValues("manifest", "failed").Inc()
		return eris.Wrapf(err, "sync.spread: manifest of %s", address)
	}
	select {
	case m.fetching <- struct{}{}:
		defer func() { <-m.fetching }()
	case <-ctx.Done():
		return ctx.Err()
	}
	from := Origin{From: address, Asked: begun}
	if err := m.fetchBundle(ctx, peer, resp.GetManifest(), from); err != nil {
		return eris.Wrapf(err, "sync.spread: bundle of %s", address)
	}
	if err := m.fetchList(ctx, peer, resp.GetList()); err != nil {
		return eris.Wrapf(err, "sync.spread: list of %s", address)
	}
	return nil
}

func (m *Manager) fetchBundle(ctx context.Context, peer burdockv1connect.PeerServiceClient, signed *pb.SignedManifest, from Origin) error {
	if signed == nil {
		return nil
	}
	missing, wanted, err := m.cfg.Content.MissingBundleSections(signed)
	if err != nil {
		m.refuse(signed)
		return err
	}
	if !wanted {
		return nil
	}
	sections, err := m.sections(ctx, peer, missing)
	if err != nil {
		return err
	}
	return m.TakeBundle(signed, sections, from)
}

// Origin is where a bundle came from.
type Origin struct {
	// From is the address of the peer, or "platform".
	From string
	// Asked is when its manifest was asked for, or came where it was watched for.
	Asked time.Time
}

// TakeBundle puts a bundle in force, if it is higher, from the sections fetched and those held. It is passed on
// before the check whether it can work, which each VM does for itself.
func (m *Manager) TakeBundle(signed *pb.SignedManifest, sections [][]byte, from Origin) error {
	offer, err := m.cfg.Content.OfferBundle(signed, sections)
	if offer == nil {
		return err
	}
	m.Push()
	begun := time.Now()
	m.cfg.Log.Info("bundle offered", zap.Uint64("version", offer.Version), zap.Int("bytes", len(offer.Text)),
		zap.String("from", from.From), zap.Int("sections", len(sections)), zap.Duration("read", begun.Sub(from.Asked)))
	changed, err := m.cfg.Content.ApplyOffer(offer)
	var refused *bundle.RefusedError
	if errors.As(err, &refused) {
		m.refuse(signed)
	}
	if changed {
		m.cfg.Log.Info("bundle in force", zap.Uint64("version", offer.Version), zap.Int("bytes", len(offer.Text)),
			zap.Duration("checked", time.Since(begun)))
	}
	return err
}

// refuse remembers a bundle that was not accepted, so that it isn't fetched with each packet.
func (m *Manager) refuse(signed *pb.SignedManifest) {
	m.metrics.fetches.WithLabelValues("bundle", "refused").Inc()
	digest := bundle.ManifestDigest(signed.GetManifest())
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for k, at := range m.refused {
		if now.Sub(at) >= refusedFor {
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
	sections, err := m.sections(ctx, peer, missing)
	if err != nil {
		return err
	}
	changed, err := m.cfg.Content.ApplyListManifest(list, sections)
	if changed {
		m.ListChanged()
	}
	return err
}

// ListChanged takes the VMs of a list that came just now and spreads it at once.
func (m *Manager) ListChanged() {
	m.cfg.Members.SetList(m.cfg.Content.List().VMs)
	m.cfg.Changed.Fire()
	m.Push()
}

// sections fetches sections from a peer.
func (m *Manager) sections(ctx context.Context, peer burdockv1connect.PeerServiceClient, digests []bundle.Digest) ([][]byte, error) {
	var out [][]byte
	for len(digests) > 0 {
		n := min(len(digests), sectionsPerCall)
		got, err := m.sectionsOnce(ctx, peer, digests[:n])
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

func (m *Manager) sectionsOnce(ctx context.Context, peer burdockv1connect.PeerServiceClient, digests []bundle.Digest) ([][]byte, error) {
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
