//go:build wireinject

package main

import (
	"github.com/google/wire"

	"github.com/burdockplank/burdockplank/internal/decision"
	"github.com/burdockplank/burdockplank/internal/deployment"
	"github.com/burdockplank/burdockplank/internal/node"
	"github.com/burdockplank/burdockplank/internal/operator"
)

func newDaemon(s *deployment.Settings, path settingsPath, metricsAddress node.MetricsAddress, level logLevel, logLimits decision.Limits) (*node.Daemon, error) {
	wire.Build(provideSink, provideLog, providePlatform, operator.NewRegistry, node.New)
	return nil, nil
}
