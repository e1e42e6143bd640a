// burdock-standin runs stand-ins for the systems around burdockplank in tests, the demo and benchmarks:
// the platform, the leaves, and a relay between VMs. It is not meant for production.
//
// Exit codes: 0 ok, 1 failure at run time or crash on a marked request, 2 invalid settings or usage.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"github.com/burdockplank/burdockplank/internal/settings"
	"github.com/burdockplank/burdockplank/internal/version"
)

// exitFailure is the exit code of a failure at run time.
const exitFailure = 1

// cli holds the flags and subcommands of the command line.
type cli struct {
	Version  kong.VersionFlag `help:"Print the version and end."`
	LogLevel string           `help:"debug, info, warn or error." enum:"debug,info,warn,error" default:"info"`

	Platform platformCmd `cmd:"" help:"Stand in for the platform's configuration service and list."`
	Leaf     leafCmd     `cmd:"" help:"Stand in for one leaf, which a marked request crashes with its process."`
	Leaves   leavesCmd   `cmd:"" help:"Stand in for many leaves in one process, each on its own address."`
	Relay    relayCmd    `cmd:"" help:"Forward TCP and UDP under rules that cut, silence and delay."`
	Publish  publishCmd  `cmd:"" help:"Upload a signed bundle or a list to the stand-in platform."`
}

func main() { os.Exit(run()) }

func run() int {
	var c cli
	parser := kong.Must(&c,
		kong.Name("burdock-standin"),
		kong.Description("Stand-ins for the platform and the leaves, for tests, demo and bench."),
		kong.Vars{"version": version.Version},
	)
	ctx, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "burdock-standin:", err)
		return settings.ExitCode
	}
	if err := ctx.Run(&c); err != nil {
		fmt.Fprintln(os.Stderr, "burdock-standin:", err)
		return exitCode(err)
	}
	return 0
}

// exitCode returns settings.ExitCode for invalid settings and exitFailure for other errors.
func exitCode(err error) int {
	var invalid *settings.Error
	if errors.As(err, &invalid) {
		return settings.ExitCode
	}
	return exitFailure
}
