package main

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/burdockplank/burdockplank/internal/logging"
	"github.com/burdockplank/burdockplank/internal/process"
	"github.com/burdockplank/burdockplank/internal/relay"
	"github.com/burdockplank/burdockplank/internal/settings"
	"github.com/burdockplank/burdockplank/internal/standin/leaf"
	"github.com/burdockplank/burdockplank/internal/standin/platform"
	"github.com/burdockplank/burdockplank/internal/standin/publish"
)

// drainTimeout bounds the drain of leaves at SIGTERM.
const drainTimeout = 10 * time.Second

// newLog returns the logger of a stand-in process.
func (c *cli) newLog() (*zap.Logger, error) {
	return logging.New("burdock-standin", "", settings.Log{Level: c.LogLevel})
}

type platformCmd struct {
	Listen  string `required:"" placeholder:"IP:PORT" help:"Where the system reads."`
	Control string `required:"" placeholder:"IP:PORT" help:"Where operators publish and tests set faults."`
}

// Run serves the platform until the process gets a signal to end.
func (cmd *platformCmd) Run(c *cli) error {
	log, err := c.newLog()
	if err != nil {
		return err
	}
	r, err := initPlatform(platform.Options{Listen: cmd.Listen, Control: cmd.Control}, log)
	if err != nil {
		return err
	}
	return r.Run(context.Background())
}

// settingsFlags are the flags common to the subcommands with a settings file.
type settingsFlags struct {
	Settings string `required:"" placeholder:"FILE" help:"TOML settings."`
	Check    bool   `help:"Load and check the settings, print ok and end."`
}

// load reads and checks the settings. done is true if the command has nothing more to do: after an error,
// or with --check.
func (f *settingsFlags) load(dst settings.Checked) (done bool, err error) {
	if err := settings.Load(f.Settings, dst); err != nil {
		return true, err
	}
	if f.Check {
		fmt.Println("ok")
	}
	return f.Check, nil
}

type leafCmd struct{ settingsFlags }

// Run serves one leaf until the process gets a signal to end or a marked request crashes it.
func (cmd *leafCmd) Run(c *cli) error {
	var s leaf.Settings
	if done, err := cmd.load(&s); done {
		return err
	}
	return runLeaves(c, []leaf.Settings{s}, leaf.ExitProcess)
}

type leavesCmd struct{ settingsFlags }

// Run serves many leaves until the process gets a signal to end. A marked request restarts its leaf only.
func (cmd *leavesCmd) Run(c *cli) error {
	var s leaf.GroupSettings
	if done, err := cmd.load(&s); done {
		return err
	}
	return runLeaves(c, s.Leaves, leaf.Restart)
}

func runLeaves(c *cli, s []leaf.Settings, crash leaf.CrashFunc) error {
	log, err := c.newLog()
	if err != nil {
		return err
	}
	r, err := initLeaves(s, log, crash)
	if err != nil {
		return err
	}
	return r.Run(context.Background())
}

type relayCmd struct{ settingsFlags }

// Run forwards traffic until the process gets a signal to end.
func (cmd *relayCmd) Run(c *cli) error {
	var s relay.Settings
	if done, err := cmd.load(&s); done {
		return err
	}
	log, err := c.newLog()
	if err != nil {
		return err
	}
	r, err := initRelay(s, log)
	if err != nil {
		return err
	}
	return r.Run(context.Background())
}

type publishCmd struct {
	Control string `required:"" placeholder:"IP:PORT" help:"Control listener of the stand-in platform."`
	Dir     string `placeholder:"DIR" help:"Directory made by burdockctl bundle sign: sections first, manifest last."`
	List    string `placeholder:"FILE" help:"JSON list of VMs and leaves, uploaded before the bundle."`
}

// Validate returns an error if the command line names nothing to upload.
func (cmd *publishCmd) Validate() error {
	if cmd.Dir == "" && cmd.List == "" {
		return eris.New("want --dir, --list or both")
	}
	return nil
}

// Run uploads the list, if given, and then the bundle, if given.
func (cmd *publishCmd) Run() error {
	client := publish.NewClient(cmd.Control)
	ctx := context.Background()
	if cmd.List != "" {
		if err := client.List(ctx, cmd.List); err != nil {
			return err
		}
	}
	if cmd.Dir == "" {
		return nil
	}
	return client.Bundle(ctx, cmd.Dir)
}

// platformRunner returns the runner of a platform process.
func platformRunner(p *platform.Platform, log *zap.Logger) *process.Runner {
	return &process.Runner{Log: log, Duties: []process.Duty{{Name: "platform", Run: p.Run}}}
}

// leavesRunner returns the runner of a process of leaves, which drains them at SIGTERM.
func leavesRunner(g *leaf.Group, log *zap.Logger) *process.Runner {
	return &process.Runner{
		Log: log, DrainLimit: drainTimeout, Drain: g.Drain,
		Duties: []process.Duty{{Name: "leaves", Run: g.Run}},
	}
}

// relayRunner returns the runner of a relay process.
func relayRunner(r *relay.Relay, log *zap.Logger) *process.Runner {
	return &process.Runner{Log: log, Duties: []process.Duty{{Name: "relay", Run: r.Run}}}
}
