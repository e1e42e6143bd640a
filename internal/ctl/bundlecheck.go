package ctl

import (
	"fmt"
	"io"

	"github.com/burdockplank/burdockplank/internal/bundle"
)

// BundleCheckCmd checks the text of a bundle as the processes do before they apply it.
type BundleCheckCmd struct {
	File string `arg:"" help:"Text of the bundle."`
}

// Run implements the command.
func (c *BundleCheckCmd) Run(app *App) error {
	b, err := loadText(c.File)
	if err != nil {
		return err
	}
	return app.print(checkReport{Version: b.Version, Advice: bundle.Advise(b)})
}

// checkReport describes a valid text. Advice lists what a reviewer should examine further.
type checkReport struct {
	Version uint64   `json:"version"`
	Advice  []string `json:"advice,omitempty"`
}

func (r checkReport) writeText(w io.Writer) {
	_, _ = fmt.Fprintf(w, "ok: version %d\n", r.Version)
	for _, a := range r.Advice {
		_, _ = fmt.Fprintf(w, "look at: %s\n", a)
	}
}

// BundleDiffCmd prints the changes between two bundles.
type BundleDiffCmd struct {
	A string `arg:"" help:"Text, or directory of a signed bundle, from before."`
	B string `arg:"" help:"Text, or directory of a signed bundle, to compare."`
}

// Run implements the command.
func (c *BundleDiffCmd) Run(app *App) error {
	a, err := loadBundle(c.A)
	if err != nil {
		return err
	}
	b, err := loadBundle(c.B)
	if err != nil {
		return err
	}
	return app.print(diffReport{From: a.Version, To: b.Version, Changes: bundle.Diff(a, b)})
}

// diffReport lists the changes from one bundle to another.
type diffReport struct {
	From    uint64          `json:"from_version"`
	To      uint64          `json:"to_version"`
	Changes []bundle.Change `json:"changes"`
}

func (r diffReport) writeText(w io.Writer) {
	_, _ = fmt.Fprintf(w, "version %d -> %d: %d changes\n", r.From, r.To, len(r.Changes))
	for _, c := range r.Changes {
		_, _ = fmt.Fprintln(w, c)
	}
	if r.To <= r.From {
		_, _ = fmt.Fprintf(w, "note: version %d would not replace version %d; raise it to publish\n", r.To, r.From)
	}
}
