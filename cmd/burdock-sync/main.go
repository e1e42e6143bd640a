// Command burdock-sync reads the platform, spreads configuration and membership between VMs, and
// feeds the entry and gather of its VM.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"github.com/burdockplank/burdockplank/internal/settings"
	"github.com/burdockplank/burdockplank/internal/syncd"
	"github.com/burdockplank/burdockplank/internal/version"
)

// commandLine is what burdock-sync takes.
type commandLine struct {
	Settings string           `help:"File of settings (TOML)." required:"" type:"path" placeholder:"FILE"`
	Check    bool             `help:"Check the settings, print ok and end."`
	Version  kong.VersionFlag `help:"Print the version and end."`
}

// exitFailure is the exit code of a failure at run time.
const exitFailure = 1

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var cl commandLine
	parser, err := kong.New(&cl, kong.Name(syncd.Program), kong.Vars{"version": version.Version},
		kong.Description("Reads the platform, spreads configuration and membership, and feeds the processes of its VM."))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	if _, err := parser.Parse(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return settings.ExitCode
	}
	s := syncd.DefaultSettings()
	if err := settings.Load(cl.Settings, s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return settings.ExitCode
	}
	if cl.Check {
		fmt.Println("ok")
		return 0
	}
	return serve(s)
}

func serve(s *syncd.Settings) int {
	d, err := newDaemon(s)
	if err == nil {
		err = d.Run(context.Background())
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	return 0
}
