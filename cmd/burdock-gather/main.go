// Command burdock-gather asks the upstreams and keeps the tickets of orders.
// Exit codes: 0 the process ended in order or the settings are good, 1 it failed while running, 2
// settings or command line are refused.
package main

import (
	"os"

	"github.com/burdockplank/burdockplank/internal/gather"
	"github.com/burdockplank/burdockplank/internal/launch"
)

func main() {
	p := launch.Program[*gather.Settings]{
		Name:     "burdock-gather",
		About:    "Asks the leaves for the entries, and keeps the tickets of orders.",
		Defaults: gather.DefaultSettings,
		Wire:     func(s *gather.Settings) (launch.Runner, error) { return initialize(s) },
		Out:      os.Stdout, Err: os.Stderr,
	}
	os.Exit(p.Main(os.Args[1:]))
}
