// Package launch implements the command line that all daemons share: the settings file and the exit codes.
// The exit codes are 0 if the process shut down in order or the checked settings are valid, 1 if it failed
// to start or while running, and 2 if the settings or the command line are refused.
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

// ExitFailed is the exit code of a process that failed to start or while running.
const ExitFailed = 1

// Runner is a process that is built but not started. Run returns when the process has ended.
type Runner interface {
	Run(ctx context.Context) error
}

// Program describes one daemon to its command line. S is the type of its settings.
type Program[S settings.Checked] struct {
	// Name is the name of the program, such as "burdock-entry". About describes it in one sentence.
	Name, About string
	// Defaults returns the settings before the file is read.
	Defaults func() S
	// Wire builds the process from checked settings without starting it.
	Wire func(S) (Runner, error)
	// Out receives the requested output, Err the errors.
	Out, Err io.Writer
}

// commandLine holds the flags of every daemon.
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

// report prints the error in one line to Err and returns the code.
func (p Program[S]) report(err error, code int) int {
	_, _ = fmt.Fprintln(p.Err, p.Name+":", err)
	return code
}
