// Command burdock-capacity measures the cost of the sync process as a function of the number of VMs. It runs many
// real syncs in one process, over UDP and TCP on loopback, each on its own IP address, against a stand-in platform
// in the same process. It prints one line per phase.
//
// Exit codes: 0 measured, 1 runtime failure, 2 usage refused.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/burdockplank/burdockplank/internal/capacity"
	"github.com/burdockplank/burdockplank/internal/settings"
	"github.com/burdockplank/burdockplank/internal/version"
)

type commandLine struct {
	VMs     int              `name:"vms" help:"Number of syncs." default:"8"`
	Zones   int              `help:"Number of availability zones." default:"4"`
	Net     int              `help:"Second number of the loopback addresses 127.NET.x.y." default:"60"`
	Phase   time.Duration    `help:"Length of each phase." default:"12s"`
	Changes int              `help:"Changed bundles published in the phase of changes." default:"5"`
	Replace int              `help:"VMs replaced in the phase of replacements." default:"4"`
	Limit   time.Duration    `help:"The run ends after this time, whatever it has measured." default:"2m"`
	Version kong.VersionFlag `help:"Print the version and end."`
}

func (c *commandLine) options() capacity.Options {
	return capacity.Options{VMs: c.VMs, Zones: c.Zones, Net: c.Net, Phase: c.Phase, Changes: c.Changes, Replace: c.Replace}
}

func main() {
	var c commandLine
	parser := kong.Must(&c, kong.Name("burdock-capacity"), kong.Vars{"version": version.Version},
		kong.Description("Measures the cost of the sync process as a function of the number of VMs."))
	if _, err := parser.Parse(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "burdock-capacity:", err)
		os.Exit(settings.ExitCode)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, c.Limit)
	defer cancel()
	if err := capacity.Measure(ctx, c.options()); err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			err = fmt.Errorf("not all phases were measured within %s", c.Limit)
		}
		fmt.Fprintln(os.Stderr, "burdock-capacity:", err)
		os.Exit(1)
	}
}
