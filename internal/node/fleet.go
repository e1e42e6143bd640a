package node

import (
	"context"

	"github.com/burdockplank/burdockplank/internal/delegate"
	"github.com/burdockplank/burdockplank/internal/fleetload"
	"github.com/burdockplank/burdockplank/internal/peers"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// fleetService serves the calls of other VMs.
type fleetService struct {
	peers    *peers.Manager
	gatherer *delegate.Gatherer
	loads    *fleetload.Manager
}

// Exchange implements burdockv1connect.FleetServiceHandler.
func (s fleetService) Exchange(_ context.Context, req *pb.FleetExchange) (*pb.FleetExchange, error) {
	return s.peers.Answer(req), nil
}

// Search implements burdockv1connect.FleetServiceHandler.
func (s fleetService) Search(ctx context.Context, req *pb.FleetSearch) (*pb.FleetSearchAnswer, error) {
	return s.gatherer.Search(ctx, req), nil
}

// Load implements burdockv1connect.FleetServiceHandler.
func (s fleetService) Load(_ context.Context, req *pb.FleetLoad) (*pb.FleetLoad, error) {
	return s.loads.Answer(req), nil
}

// Ping implements burdockv1connect.FleetServiceHandler.
func (s fleetService) Ping(context.Context, *pb.FleetPing) (*pb.FleetPong, error) {
	return s.gatherer.Ping(), nil
}

// gathererLoad returns the load of this VM for reports to others, or nil if they hand no searches over to it.
func (d *Daemon) gathererLoad() *pb.FleetPong {
	if !d.isGatherer.Load() {
		return nil
	}
	return d.gatherer.Ping()
}
