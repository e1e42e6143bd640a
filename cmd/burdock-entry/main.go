// Command burdock-entry accepts requests from callers.
//
// Exit codes: 0 if the process ended in order or the settings are valid, 1 if it failed while
// running, 2 if the settings or the command line are invalid.
package main

import (
	"os"

	"github.com/burdockplank/burdockplank/internal/entry"
	"github.com/burdockplank/burdockplank/internal/launch"
)

func main() {
	p := launch.Program[*entry.Settings]{
		Name:     "burdock-entry",
		About:    "Takes searches and orders of callers and brings them to the gathers.",
		Defaults: entry.DefaultSettings,
		Wire:     func(s *entry.Settings) (launch.Runner, error) { return initialize(s) },
		Out:      os.Stdout, Err: os.Stderr,
	}
	os.Exit(p.Main(os.Args[1:]))
}
