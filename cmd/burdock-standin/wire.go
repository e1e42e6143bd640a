//go:build wireinject

package main

import (
	"github.com/google/wire"
	"go.uber.org/zap"

	"github.com/burdockplank/burdockplank/internal/process"
	"github.com/burdockplank/burdockplank/internal/relay"
	"github.com/burdockplank/burdockplank/internal/standin/leaf"
	"github.com/burdockplank/burdockplank/internal/standin/platform"
)

// initPlatform returns the runner of a platform process.
func initPlatform(o platform.Options, log *zap.Logger) (*process.Runner, error) {
	wire.Build(platform.New, platformRunner)
	return nil, nil
}

// initLeaves returns the runner of a process of one or many leaves.
func initLeaves(s []leaf.Settings, log *zap.Logger, crash leaf.CrashFunc) (*process.Runner, error) {
	wire.Build(leaf.NewGroup, leavesRunner)
	return nil, nil
}

// initRelay returns the runner of a relay process.
func initRelay(s relay.Settings, log *zap.Logger) (*process.Runner, error) {
	wire.Build(relay.New, relayRunner)
	return nil, nil
}
