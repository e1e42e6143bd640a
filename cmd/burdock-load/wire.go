//go:build wireinject

package main

import (
	"github.com/google/wire"

	"github.com/burdockplank/burdockplank/internal/load"
)

// newRunner builds the runner for checked settings.
func newRunner(s *load.Settings) (*load.Runner, error) {
	panic(wire.Build(load.Set))
}
