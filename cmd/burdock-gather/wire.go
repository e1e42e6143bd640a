//go:build wireinject

package main

import (
	"github.com/google/wire"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/feed"
	"github.com/burdockplank/burdockplank/internal/gather"
	"github.com/burdockplank/burdockplank/internal/operator"
	"github.com/burdockplank/burdockplank/internal/order"
	"github.com/burdockplank/burdockplank/internal/search"
	"github.com/burdockplank/burdockplank/internal/upstream"
)

// initialize builds the process from its settings; nothing runs yet.
func initialize(s *gather.Settings) (*daemon, error) {
	wire.Build(
		newLog, newPause, newClient, newIncarnation, newFeed, newPool, newBalancers, newQuarantine, newEngine, newOrderManager, newPeerHandler,
		operator.NewRegistry, bundle.NewFollowerStore, gather.NewManager,
		wire.Bind(new(prometheus.Registerer), new(*prometheus.Registry)),
		wire.Bind(new(feed.Source), new(*feed.Manager)),
		wire.Bind(new(feed.Reporter), new(*feed.Manager)),
		wire.Bind(new(gather.Searcher), new(*search.Engine)),
		wire.Bind(new(gather.OrderManager), new(*order.Manager)),
		wire.Bind(new(gather.Upstreams), new(*upstream.Pool)),
		wire.Struct(new(daemon), "*"),
	)
	return nil, nil
}
