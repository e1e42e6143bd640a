//go:build wireinject

package main

import (
	"github.com/google/wire"

	"github.com/burdockplank/burdockplank/internal/syncd"
)

func newDaemon(s *syncd.Settings) (*syncd.Daemon, error) {
	wire.Build(syncd.Providers)
	return nil, nil
}
