package node

import (
	"context"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// Exchange implements burdockv1connect.FleetServiceHandler.
func (s fleetService) Exchange(_ context.Context, req *pb.FleetExchange) (*pb.FleetExchange, error) {
	return s.Answer(req), nil
}
