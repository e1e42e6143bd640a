package spread

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/api/burdock/v1/burdockv1connect"
	"github.com/burdockplank/burdockplank/internal/bundle"
)

var _ burdockv1connect.PeerServiceHandler = (*Manager)(nil)

// errOtherFleet returns the error for a sync that belongs to another fleet.
func errOtherFleet(fleet string) error {
	return connect.NewError(connect.CodeFailedPrecondition, eris.Errorf("sync.spread: fleet %q is another one", fleet))
}

// Manifest implements the PeerService.
func (m *Manager) Manifest(_ context.Context, req *pb.ManifestRequest) (*pb.ManifestResponse, error) {
	if f := req.GetFleet(); f != "" && f != m.cfg.Fleet {
		return nil, errOtherFleet(f)
	}
	resp := new(pb.ManifestResponse)
	if b := m.cfg.Content.Offered(); b != nil {
		resp.Manifest = b.Signed
	}
	if l := m.cfg.Content.List(); l != nil {
		resp.List = l.Manifest
	}
	return resp, nil
}

// Sections implements the PeerService. Sections that this VM does not hold are omitted.
func (m *Manager) Sections(_ context.Context, req *pb.SectionsRequest) (*pb.SectionsResponse, error) {
	if n := len(req.GetDigests()); n > maxSectionsPerCall {
		return nil, connect.NewError(connect.CodeInvalidArgument, eris.Errorf("sync.spread: %d sections asked for at once, at most %d", n, maxSectionsPerCall))
	}
	resp := new(pb.SectionsResponse)
	for _, raw := range req.GetDigests() {
		if len(raw) != len(bundle.Digest{}) {
			continue
		}
		if sec, held := m.cfg.Content.Section(bundle.Digest(raw)); held {
			resp.Sections = append(resp.Sections, sec)
		}
	}
	return resp, nil
}

// Exchange implements the PeerService.
func (m *Manager) Exchange(_ context.Context, req *pb.ExchangeRequest) (*pb.ExchangeResponse, error) {
	if f := req.GetFleet(); f != m.cfg.Fleet {
		return nil, errOtherFleet(f)
	}
	now := time.Now()
	resp, records := new(pb.ExchangeResponse), req.GetVms()
	if req.GetSummary() {
		resp.Vms, resp.Wanted = m.cfg.Members.Newer(req.GetVms()), m.cfg.Members.Wanted(req.GetVms())
		records = nil
	}
	if req.GetAllEvidence() {
		resp.Departures, resp.Crashes = m.missingEvidence(req, now)
	}
	m.mergeExchanged(records, req.GetDepartures(), req.GetCrashes(), now)
	return resp, nil
}

// versionOf returns the version that a manifest claims, or 0 if the manifest cannot be decoded.
func versionOf(signed *pb.SignedManifest) uint64 {
	var manifest pb.Manifest
	if proto.Unmarshal(signed.GetManifest(), &manifest) != nil {
		return 0
	}
	return manifest.GetVersion()
}
