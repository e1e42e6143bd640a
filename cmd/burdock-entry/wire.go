//go:build wireinject

package main

import (
	"github.com/google/wire"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/entry"
	"github.com/burdockplank/burdockplank/internal/feed"
	"github.com/burdockplank/burdockplank/internal/operator"
)

// initialize builds the process from its settings; nothing runs yet.
func initialize(s *entry.Settings) (*daemon, error) {
	wire.Build(
		newLog, newPause, newClient, newIncarnation, newFeed, newRouter, newAdmission,
		operator.NewRegistry, bundle.NewFollowerStore, entry.NewManager,
		wire.Bind(new(prometheus.Registerer), new(*prometheus.Registry)),
		wire.Bind(new(feed.Source), new(*feed.Manager)),
		wire.Bind(new(feed.Reporter), new(*feed.Manager)),
		wire.Struct(new(daemon), "*"),
	)
	return nil, nil
}
