//go:build wireinject

package main

import (
	"github.com/google/wire"

	"github.com/burdockplank/burdockplank/internal/ctl"
)

// initialize builds the App.
func initialize(s ctl.Streams) *ctl.App {
	wire.Build(ctl.Set)
	return nil
}
