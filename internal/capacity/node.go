package capacity

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/api/burdock/v1/burdockv1connect"
	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/platform"
	"github.com/burdockplank/burdockplank/internal/spread"
	"github.com/burdockplank/burdockplank/internal/syncd"
)

const (
	fleetName = "capacity"
	// cutCallDelay is the time until a call across a cut fails, like a dial to an unreachable host.
	cutCallDelay = time.Second
	// syncPort is the port of every sync.
	syncPort = 7402
)

// errCut is the error of a call across a cut. A cut is a simulated network partition that separates one zone from the
// others; see fleet.cut.
var errCut = errors.New("unreachable")

// node is one sync (burdock-sync) that runs in this process. It stands for a VM that runs only a sync. It implements
// spread.Transport, to count packets and to apply cuts.
type node struct {
	fleet        *fleet
	id, zone, ip string
	manager      *syncd.Manager
	registry     *prometheus.Registry
	udp          *spread.UDP
	packets      atomic.Int64 // sent and received
	calls        atomic.Int64 // made
	cancel       context.CancelFunc
	done         sync.WaitGroup
}

// newNode opens the UDP socket of a sync and starts the sync. The server opens its TCP listener later, in its own
// goroutine; an error of the server is ignored.
func newNode(ctx context.Context, f *fleet, number int) (*node, error) {
	n := &node{
		fleet: f, id: fmt.Sprintf("vm-%04d", number), zone: fmt.Sprintf("az-%d", number%f.zones+1),
		ip: f.ip(number), registry: prometheus.NewRegistry(),
	}
	s := syncd.DefaultSettings()
	s.VM.ID, s.VM.Zone, s.VM.Bind = n.id, n.zone, n.ip
	s.Sync.Fleet, s.Platform.Address = fleetName, f.platform.Addr()
	public := f.key.Public().(ed25519.PublicKey)
	s.Trust = bundle.TrustSettings{Threshold: 1, Reviewers: []bundle.ReviewerSettings{
		{KeyID: bundle.KeyID(public), PublicKey: base64.StdEncoding.EncodeToString(public)}}}
	bytes := spread.NewBytes(n.registry)
	udp, err := spread.ListenUDP(s.Listen(), bytes)
	if err != nil {
		return nil, err
	}
	n.udp = udp
	dial := spread.NewDial(n.ip, bytes)
	n.manager = syncd.New(syncd.Config{
		Settings: s, Incarnation: uint64(number) + 1, Platform: platform.New(s.Platform.Address, n.ip, n.registry),
		Transport: n, Log: zap.NewNop(), Registry: n.registry,
		Dial: func(address string) burdockv1connect.PeerServiceClient {
			return &peer{PeerServiceClient: dial(address), from: n, to: address}
		},
	})
	ctx, n.cancel = context.WithCancel(ctx)
	server := syncd.NewServer(n.manager, bytes)
	n.done.Go(func() { _ = server.Run(ctx) })
	n.done.Go(func() { _ = n.manager.Run(ctx) })
	return n, nil
}

// stop ends the sync without a drain, as if its VM failed.
func (n *node) stop() {
	n.cancel()
	n.done.Wait()
	_ = n.udp.Close()
}

// Send implements spread.Transport. A packet across a cut is counted and sent to the fleet's sink, a socket that
// discards it, so that the metrics of package spread count its bytes as sent, too.
func (n *node) Send(to string, packet []byte) error {
	n.packets.Add(1)
	if n.fleet.cutBetween(n, to) {
		to = n.fleet.sink.LocalAddr().String()
	}
	return n.udp.Send(to, packet)
}

// Receive implements spread.Transport.
func (n *node) Receive(ctx context.Context) ([]byte, error) {
	packet, err := n.udp.Receive(ctx)
	if err == nil {
		n.packets.Add(1)
	}
	return packet, err
}

// version returns the version of the bundle in force, 0 if there is none or it can't be read.
func (n *node) version(ctx context.Context) uint64 {
	res, err := n.manager.Spread().Manifest(ctx, &pb.ManifestRequest{Fleet: fleetName})
	if err != nil {
		return 0
	}
	var m pb.Manifest
	if proto.Unmarshal(res.GetManifest().GetManifest(), &m) != nil {
		return 0
	}
	return m.GetVersion()
}

// counters returns the bytes sent and received, from the metrics of package spread, and the number of completed
// reads of the platform, including failed ones. Both are 0 if the metrics could not be gathered.
func (n *node) counters() (bytes, reads float64) {
	families, err := n.registry.Gather()
	if err != nil {
		return 0, 0
	}
	for _, f := range families {
		for _, m := range f.GetMetric() {
			switch f.GetName() {
			case "burdock_spread_bytes_total":
				bytes += m.GetCounter().GetValue()
			case "burdock_platform_reads_total":
				reads += m.GetCounter().GetValue()
			}
		}
	}
	return bytes, reads
}

// peer is a client of another sync. It counts calls, and its calls fail across a cut.
type peer struct {
	burdockv1connect.PeerServiceClient
	from *node
	to   string
}

// beforeCall counts a call. Across a cut it returns errCut after cutCallDelay, or when ctx ends.
func (p *peer) beforeCall(ctx context.Context) error {
	p.from.calls.Add(1)
	if !p.from.fleet.cutBetween(p.from, p.to) {
		return nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(cutCallDelay):
	}
	return errCut
}

// Manifest implements PeerServiceClient.
func (p *peer) Manifest(ctx context.Context, r *pb.ManifestRequest) (*pb.ManifestResponse, error) {
	if err := p.beforeCall(ctx); err != nil {
		return nil, err
	}
	return p.PeerServiceClient.Manifest(ctx, r)
}

// Sections implements PeerServiceClient.
func (p *peer) Sections(ctx context.Context, r *pb.SectionsRequest) (*pb.SectionsResponse, error) {
	if err := p.beforeCall(ctx); err != nil {
		return nil, err
	}
	return p.PeerServiceClient.Sections(ctx, r)
}

// Exchange implements PeerServiceClient.
func (p *peer) Exchange(ctx context.Context, r *pb.ExchangeRequest) (*pb.ExchangeResponse, error) {
	if err := p.beforeCall(ctx); err != nil {
		return nil, err
	}
	return p.PeerServiceClient.Exchange(ctx, r)
}
