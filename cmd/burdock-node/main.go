// Command burdock-node is the single process of a VM on the users' platform. It serves callers from the leaves,
// reads the platform's store and shares the state it read with the other VMs.
//
// Exit codes: 0 after an orderly stop or where --check finds valid settings, 1 after a failure while running, 2
// where the settings or the command line are refused.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"github.com/burdockplank/burdockplank/internal/decision"
	"github.com/burdockplank/burdockplank/internal/deployment"
	"github.com/burdockplank/burdockplank/internal/launch"
	"github.com/burdockplank/burdockplank/internal/node"
	"github.com/burdockplank/burdockplank/internal/settings"
	"github.com/burdockplank/burdockplank/internal/version"
	"github.com/burdockplank/burdockplank/platform"
)

// commandLine defines the flags of the program. Kong derives their names from those of the fields.
type commandLine struct {
	Settings    string           `help:"The platform's settings file (TOML); by default where the platform says." placeholder:"FILE"`
	MetricsPort uint16           `help:"Port of metrics and state dump on the VM's address." default:"9464"`
	LogLevel    string           `help:"Least level of log lines." enum:"debug,info,warn,error" default:"info"`
	LogFailed   float64          `help:"Lines a second at most of requests without a whole answer in time." default:"60" placeholder:"N"`
	LogHelped   float64          `help:"Lines a second at most of requests that hedges or repeats helped." default:"10" placeholder:"N"`
	Check       bool             `help:"Read and check the settings, print ok, and start nothing."`
	Version     kong.VersionFlag `help:"Print the version."`
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var c commandLine
	parser := kong.Must(&c, kong.Name(node.Name), kong.Description("Serves callers from the leaves on the users' platform."),
		kong.Vars{"version": version.Version})
	if _, err := parser.Parse(args); err != nil {
		return report(err, settings.ExitCode)
	}
	if c.Settings == "" {
		c.Settings = platform.SettingsPath()
	}
	s, err := platform.LoadSettings(c.Settings)
	if err != nil {
		return report(err, settings.ExitCode)
	}
	if c.Check {
		fmt.Println("ok")
		return 0
	}
	return serve(s, c)
}

// Validate implements kong's check of the command line.
func (c *commandLine) Validate() error {
	if c.LogFailed < 0 || c.LogHelped < 0 {
		return errors.New("--log-failed and --log-helped: want 0 or more")
	}
	return nil
}

func serve(s *deployment.Settings, c commandLine) int {
	metricsAddress := node.MetricsAddress(fmt.Sprintf("%s:%d", s.IP, c.MetricsPort))
	logLimits := decision.Limits{Failed: c.LogFailed, Helped: c.LogHelped}
	d, err := newDaemon(s, settingsPath(c.Settings), metricsAddress, logLevel(c.LogLevel), logLimits)
	if err != nil {
		return report(err, launch.ExitFailed)
	}
	if err := d.Run(context.Background()); err != nil && !errors.Is(err, context.Canceled) {
		return report(err, launch.ExitFailed)
	}
	return 0
}

// report prints the error in one line to standard error and returns the code.
func report(err error, code int) int {
	_, _ = fmt.Fprintln(os.Stderr, node.Name+":", err)
	return code
}
