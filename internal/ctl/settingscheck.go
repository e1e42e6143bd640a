package ctl

import (
	"fmt"

	"github.com/burdockplank/burdockplank/internal/entry"
	"github.com/burdockplank/burdockplank/internal/gather"
	"github.com/burdockplank/burdockplank/internal/settings"
	"github.com/burdockplank/burdockplank/internal/syncd"
)

// Programs maps the short name of a program to a function that returns its default settings.
type Programs map[string]func() settings.Checked

// NewPrograms returns the programs whose settings this build can check.
func NewPrograms() Programs {
	return Programs{
		"entry":  func() settings.Checked { return entry.DefaultSettings() },
		"gather": func() settings.Checked { return gather.DefaultSettings() },
		"sync":   func() settings.Checked { return syncd.DefaultSettings() },
	}
}

// SettingsCheckCmd checks a settings file as the program itself does at startup.
type SettingsCheckCmd struct {
	File    string `arg:"" help:"Settings file."`
	Program string `required:"" enum:"entry,gather,sync" help:"Program that the file is for: entry, gather or sync."`
}

// Run implements the command.
func (c *SettingsCheckCmd) Run(app *App) error {
	defaults, ok := app.programs[c.Program]
	if !ok {
		return usageErrorf("this build can't check the settings of %q", c.Program)
	}
	if err := settings.Load(c.File, defaults()); err != nil {
		return usageError(err)
	}
	_, err := fmt.Fprintln(app.Out, "ok")
	return err
}
