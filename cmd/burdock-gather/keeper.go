package main

import (
	"context"

	"github.com/burdockplank/burdockplank/api/burdock/v1/burdockv1connect"
	"github.com/burdockplank/burdockplank/internal/order"
)

// keeper runs orders without witnesses and hands nothing over yet.
type keeper struct {
	*order.Manager
	burdockv1connect.UnimplementedTicketPeerServiceHandler
}

// Drain implements gather.Keeper.
func (keeper) Drain(context.Context) {}
