// Package ctl implements the commands of burdockctl. Operators use them to check settings, make and review
// bundles, inspect a fleet, send one search or order, and analyse log files.
package ctl

import (
	"context"
	"errors"
	"fmt"

	"github.com/alecthomas/kong"

	"github.com/burdockplank/burdockplank/internal/version"
)

// CLI defines the command line.
type CLI struct {
	JSON    bool             `name:"json" help:"Print JSON for programs in place of tables."`
	Version kong.VersionFlag `help:"Print the version and exit."`

	Settings SettingsCmd `cmd:"" help:"Look at settings files."`
	Bundle   BundleCmd   `cmd:"" help:"Make, review and sign configuration bundles."`
	Fleet    FleetCmd    `cmd:"" help:"Show the state of each process of a fleet."`
	Dump     DumpCmd     `cmd:"" help:"Print the state of one process as JSON."`
	Search   SearchCmd   `cmd:"" help:"Send one search."`
	Order    OrderCmd    `cmd:"" help:"Send one order."`
	Story    StoryCmd    `cmd:"" help:"Tell what became of one request, from log files."`
	Losses   LossesCmd   `cmd:"" help:"Count the requests that got no whole answer in time, by cause, from log files."`
}

// SettingsCmd groups the commands about settings files.
type SettingsCmd struct {
	Check SettingsCheckCmd `cmd:"" help:"Check the settings file of a program."`
}

// BundleCmd groups the commands about bundles.
type BundleCmd struct {
	Keygen BundleKeygenCmd `cmd:"" help:"Make a reviewer's key pair."`
	Check  BundleCheckCmd  `cmd:"" help:"Check a bundle's text."`
	Sign   BundleSignCmd   `cmd:"" help:"Sign a bundle's text and write the files to publish."`
	Verify BundleVerifyCmd `cmd:"" help:"Verify a signed bundle as the processes do."`
	Diff   BundleDiffCmd   `cmd:"" help:"Say what changes from one bundle to another."`
	Show   BundleShowCmd   `cmd:"" help:"Show what a bundle holds."`
}

// OrderCmd groups the commands about orders.
type OrderCmd struct {
	Ticket OrderTicketCmd `cmd:"" help:"Get a ticket for one order."`
	Send   OrderSendCmd   `cmd:"" help:"Send an order under a ticket; the same ticket may be sent again."`
	Run    OrderRunCmd    `cmd:"" help:"Get a ticket, print it and send the order."`
}

const description = `Operators' tool of burdockplank.

Exit codes: 0 answered or done; 1 a process could not be reached, or a file not read or written;
2 usage, settings, bundle or signature refused; 3 not run; 4 the search failed;
5 the order's outcome is unknown.`

// kongExit is the value that kong's exit hook panics with after --help or --version. Main recovers it and
// returns it as the exit code.
type kongExit int

// Main parses and runs one command line. It returns the exit code of the process.
func Main(ctx context.Context, app *App, args []string) (code int) {
	var cli CLI
	parser, err := kong.New(&cli,
		kong.Name("burdockctl"),
		kong.Description(description),
		kong.Vars{"version": version.Version},
		kong.Writers(app.Out, app.Err),
		kong.Exit(func(code int) { panic(kongExit(code)) }),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.Bind(app),
	)
	if err != nil {
		return app.fail(&exitError{ExitUsage, err})
	}
	defer func() {
		if r := recover(); r != nil {
			e, ok := r.(kongExit)
			if !ok {
				panic(r)
			}
			code = int(e)
		}
	}()
	k, err := parser.Parse(args)
	if err != nil {
		return app.fail(usageErrorf("%v; see burdockctl --help", err))
	}
	app.asJSON = cli.JSON
	return app.fail(k.Run())
}

// fail prints err and returns its exit code, ExitFailure if it carries none.
func (a *App) fail(err error) int {
	if err == nil {
		return ExitOK
	}
	var ee *exitError
	if !errors.As(err, &ee) {
		ee = &exitError{ExitFailure, err}
	}
	if ee.err != nil {
		_, _ = fmt.Fprintf(a.Err, "burdockctl: %v\n", ee.err)
	}
	return ee.code
}
