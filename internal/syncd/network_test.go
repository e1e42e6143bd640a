package syncd

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/api/burdock/v1/burdockv1connect"

	"github.com/burdockplank/burdockplank/internal/wait"
)

// latency is the one-way latency of the fake network.
const latency = time.Millisecond

var errUnreachable = errors.New("unreachable")

// canReach reports whether a packet or call currently gets from one node to the other.
func (f *fleet) canReach(from, to *node) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	pair := [2]string{from.zone, to.zone}
	if pair == f.cutPair || pair == [2]string{f.cutPair[1], f.cutPair[0]} {
		return false
	}
	return from.running && (f.cutZone == "" || (from.zone == f.cutZone) == (to.zone == f.cutZone))
}

// Send implements spread.Transport.
func (nd *node) Send(to string, packet []byte) error {
	f := nd.fleet
	f.mu.Lock()
	target, lost := f.byAddr[to], rand.Float64() < f.loss
	f.bytes += len(packet) + 28
	f.packets++
	f.mu.Unlock()
	if len(packet) > 1200 {
		f.t.Errorf("packet of %d bytes", len(packet))
	}
	if target == nil || lost || !f.canReach(nd, target) {
		return nil
	}
	time.AfterFunc(latency, func() {
		select {
		case target.inbox <- packet:
		default:
		}
	})
	return nil
}

// Receive implements spread.Transport.
func (nd *node) Receive(ctx context.Context) ([]byte, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case p := <-nd.inbox:
		return p, nil
	}
}

func (nd *node) dial(address string) burdockv1connect.PeerServiceClient {
	nd.fleet.mu.Lock()
	defer nd.fleet.mu.Unlock()
	return &call{from: nd, to: nd.fleet.byAddr[address]}
}

// call is a PeerServiceClient over the fake network.
type call struct{ from, to *node }

// forward performs a call if the network is open in both directions. Otherwise the call blocks
// until its deadline.
func forward[Req, Resp any](ctx context.Context, c *call, req Req, do func(context.Context, Req) (Resp, error)) (Resp, error) {
	var none Resp
	open := func() bool {
		if c.to == nil || !c.from.fleet.canReach(c.from, c.to) {
			return false
		}
		return c.from.fleet.canReach(c.to, c.from)
	}
	for range 2 {
		if !open() {
			<-ctx.Done()
			return none, errUnreachable
		}
		if !wait.For(ctx, latency) {
			return none, ctx.Err()
		}
	}
	resp, err := do(ctx, req)
	if err == nil {
		c.from.fleet.countBytes(req, resp)
	}
	return resp, err
}

// callOverhead is the approximate number of bytes that connection, headers and framing add to a
// call.
const callOverhead = 800

// countBytes adds the sizes of a call's messages and its overhead.
func (f *fleet) countBytes(messages ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bytes += callOverhead
	for _, m := range messages {
		f.bytes += proto.Size(m.(proto.Message))
	}
}

func (c *call) Manifest(ctx context.Context, req *pb.ManifestRequest) (*pb.ManifestResponse, error) {
	return forward(ctx, c, req, c.to.manager.Spread().Manifest)
}

func (c *call) Sections(ctx context.Context, req *pb.SectionsRequest) (*pb.SectionsResponse, error) {
	return forward(ctx, c, req, c.to.manager.Spread().Sections)
}

func (c *call) Exchange(ctx context.Context, req *pb.ExchangeRequest) (*pb.ExchangeResponse, error) {
	return forward(ctx, c, req, c.to.manager.Spread().Exchange)
}
