package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"
)

// DumpCmd prints the state of one process as JSON.
type DumpCmd struct {
	Address string        `arg:"" placeholder:"IP:PORT" help:"Operators' listener of the process."`
	Duty    string        `help:"Print one duty alone."`
	Timeout time.Duration `default:"2s" help:"How long to wait for the process."`
}

// Run implements the command.
func (c *DumpCmd) Run(ctx context.Context, app *App) error {
	if err := checkAddress("address", c.Address); err != nil {
		return err
	}
	duties, err := app.operators.dump(ctx, c.Timeout, c.Address)
	if err != nil {
		return err
	}
	var state any = duties
	if c.Duty != "" {
		duty, ok := duties[c.Duty]
		if !ok {
			return usageErrorf("no duty %q; there are: %s", c.Duty, strings.Join(slices.Sorted(maps.Keys(duties)), " "))
		}
		state = duty
	}
	text, err := json.Marshal(state)
	if err != nil {
		return err
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, text, "", "  "); err != nil {
		return err
	}
	indented.WriteByte('\n')
	_, err = indented.WriteTo(app.Out)
	return err
}
