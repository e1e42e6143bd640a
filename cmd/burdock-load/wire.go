//go:build wireinject

package main

import (
	"github.com/google/wire"

	"github.com/burdockplank/burdockplank/internal/load"
)

// newRunner builds the runner for validated settings.
func newRunner(s *load.Settings) (*load.Runner, error) {
	panic(wire.Build(load.Set))
}
