// Command burdock-gather calls the leaves and keeps the tickets of orders.
//
// Exit codes: 0 if the process ended in order or the settings are valid, 1 if it failed while
// running, 2 if the settings or the command line are invalid.
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
