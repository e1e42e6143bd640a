// Command burdock-gather is what asks the upstreams and keeps the tickets of orders. Exit codes: 0 the process ended in order or the
// settings are good, 1 it failed while running, 2 settings or usage are refused.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"github.com/burdockplank/burdockplank/internal/gather"
	"github.com/burdockplank/burdockplank/internal/settings"
	"github.com/burdockplank/burdockplank/internal/version"
)

// exitFailed is the exit code of a failure at run time.
const exitFailed = 1

// cli is the command line.
type cli struct {
	Settings string           `help:"File of settings (TOML)." placeholder:"FILE" required:""`
	Check    bool             `help:"Read and check the settings, and start nothing."`
	Version  kong.VersionFlag `help:"Print the version."`
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var c cli
	parser := kong.Must(&c, kong.Name("burdock-gather"),
		kong.Description("Asks the leaves for the entries, and keeps the tickets of orders."),
		kong.Vars{"version": version.Version})
	if _, err := parser.Parse(args); err != nil {
		return report(err, settings.ExitCode)
	}
	s := gather.DefaultSettings()
	if err := settings.Load(c.Settings, s); err != nil {
		return report(err, settings.ExitCode)
	}
	if c.Check {
		fmt.Println("ok")
		return 0
	}
	d, err := initialize(s)
	if err != nil {
		return report(err, exitFailed)
	}
	if err := d.run(context.Background()); err != nil && !errors.Is(err, context.Canceled) {
		return report(err, exitFailed)
	}
	return 0
}

// report prints the error in one line and returns the code.
func report(err error, code int) int {
	fmt.Fprintln(os.Stderr, "burdock-gather:", err)
	return code
}
