// Command burdock-load sends an open loop of searches and orders to entries on loopback and prints
// the measurements. Exit codes: 0 success, 1 runtime failure, 2 invalid settings or usage.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/burdockplank/burdockplank/internal/load"
	"github.com/burdockplank/burdockplank/internal/load/compare"
	"github.com/burdockplank/burdockplank/internal/settings"
	"github.com/burdockplank/burdockplank/internal/version"
)

// exitFailure is the exit code of a run that failed at run time.
const exitFailure = 1

type commandLine struct {
	Run     runCmd           `cmd:"" default:"withargs" help:"Send the load of a settings file (the default)."`
	Compare compareCmd       `cmd:"" help:"Compare the results of a bench by case and policy."`
	Version kong.VersionFlag `help:"Print the version and end."`
}

type runCmd struct {
	Settings string `help:"TOML settings of the run." type:"existingfile" required:"" placeholder:"FILE"`
	Check    bool   `help:"Check the settings, print ok and end."`
	Out      string `help:"Write the result as JSON to this file." placeholder:"FILE"`
}

type compareCmd struct {
	Dir    string `arg:"" help:"Results, named REPETITION,CASE,POLICY.PART.json with the parts case and back." type:"existingdir"`
	Target string `help:"The service that the table shows." required:"" placeholder:"NAME"`
	Out    string `help:"Write all results as one JSON file." placeholder:"FILE"`
}

func main() {
	var c commandLine
	parser := kong.Must(&c, kong.Name("burdock-load"), kong.Vars{"version": version.Version},
		kong.Description("Open-loop load against entries on loopback."))
	ctx, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "burdock-load:", err)
		os.Exit(settings.ExitCode)
	}
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "burdock-load:", err)
		os.Exit(exitCode(err))
	}
}

// exitCode returns the exit code for an error: settings.ExitCode for invalid settings, exitFailure for
// any other error.
func exitCode(err error) int {
	var refused *settings.Error
	if errors.As(err, &refused) {
		return settings.ExitCode
	}
	return exitFailure
}

// Run compares the results in a directory, prints the tables and writes the results as JSON if asked.
func (c *compareCmd) Run() error {
	b, err := compare.Read(c.Dir)
	if err != nil {
		return err
	}
	if err := b.WriteTable(os.Stdout, c.Target); err != nil {
		return err
	}
	return writeJSON(c.Out, b)
}

// Run sends the load, prints the result and writes it as JSON if asked. With Check it only validates the
// settings.
func (c *runCmd) Run() error {
	s := load.DefaultSettings()
	if err := settings.Load(c.Settings, &s); err != nil {
		return err
	}
	if c.Check {
		fmt.Println("ok")
		return nil
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	runner, err := newRunner(&s)
	if err != nil {
		return err
	}
	result, err := runner.Run(ctx)
	if err != nil {
		return err
	}
	if err := result.WriteTable(os.Stdout); err != nil {
		return err
	}
	return writeJSON(c.Out, result)
}

// writeJSON writes the result to the file, or does nothing if file is empty.
func writeJSON(file string, result any) error {
	if file == "" {
		return nil
	}
	data, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(data, '\n'), 0o644)
}
