// Command burdock-sync reads the platform, spreads configuration and membership between VMs,
// and feeds the entry and gather processes of its VM.
//
// Exit codes: 0 if the process ended in order or the settings are valid, 1 if it failed while
// running, 2 if the settings or the command line were refused.
package main

import (
	"os"

	"github.com/burdockplank/burdockplank/internal/launch"
	"github.com/burdockplank/burdockplank/internal/syncd"
)

func main() {
	p := launch.Program[*syncd.Settings]{
		Name:     "burdock-sync",
		About:    "Reads the platform, spreads configuration and membership, and feeds the processes of its VM.",
		Defaults: syncd.DefaultSettings,
		Wire:     func(s *syncd.Settings) (launch.Runner, error) { return newDaemon(s) },
		Out:      os.Stdout, Err: os.Stderr,
	}
	os.Exit(p.Main(os.Args[1:]))
}
