// Package launch is the command line that all daemons share: where the settings are, and how a
// process ends. Exit codes: 0 the process ended in order or the settings are good, 1 it failed while
// running, 2 settings or command line are refused.
package launch

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kong"

	"github.com/burdockplank/burdockplank/internal/settings"
	"github.com/burdockplank/burdockplank/internal/version"
)

// ExitFailed is the exit code of a failure at run time.
const ExitFailed = 1

// Runner is a wired process; Run returns once it has ended.
type Runner interface {
	Run(ctx context.Context) error
}

// Program is what one daemon's command line needs. S is its settings.
type Program[S settings.Checked] struct {
	// Name is the program's, such as "burdock-entry"; About says in a sentence what it does.
	Name, About string
	// Defaults returns the settings before the file is read.
	Defaults func() S
	// Wire builds the process from checked settings; nothing runs yet.
	Wire func(S) (Runner, error)
	// Out gets what the user asked for, Err what went wrong.
	Out, Err io.Writer
}

// commandLine is what every daemon takes.
type commandLine struct {
	Settings string           `help:"File of settings (TOML)." placeholder:"FILE" required:""`
	Check    bool             `help:"Read and check the settings, print ok, and start nothing."`
	Version  kong.VersionFlag `help:"Print the version."`
}

// Main runs the program with the arguments and returns its exit code.
func (p Program[S]) Main(args []string) int {
	var c commandLine
	parser := kong.Must(&c, kong.Name(p.Name), kong.Description(p.About),
		kong.Vars{"version": version.Version}, kong.Writers(p.Out, p.Err))
	if _, err := parser.Parse(args); err != nil {
		return p.report(err, settings.ExitCode)
	}
	s := p.Defaults()
	if err := settings.Load(c.Settings, s); err != nil {
		return p.report(err, settings.ExitCode)
	}
	if c.Check {
		_, _ = fmt.Fprintln(p.Out, "ok")
		return 0
	}
	return p.run(s)
}

func (p Program[S]) run(s S) int {
	d, err := p.Wire(s)
	if err != nil {
		return p.report(err, ExitFailed)
	}
	if err := d.Run(context.Background()); err != nil && !errors.Is(err, context.Canceled) {
		return p.report(err, ExitFailed)
	}
	return 0
}

// report prints the error in one line and returns the code.
func (p Program[S]) report(err error, code int) int {
	_, _ = fmt.Fprintln(p.Err, p.Name+":", err)
	return code
}
