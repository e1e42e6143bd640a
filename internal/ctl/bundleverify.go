package ctl

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"

	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/settings"
)

// BundleVerifyCmd verifies a signed bundle as the processes do.
type BundleVerifyCmd struct {
	Dir       string   `arg:"" help:"Directory that 'bundle sign' wrote."`
	Trust     string   `xor:"trust" required:"" help:"Settings file of burdock-sync; its [trust] table is used."`
	Reviewer  []string `xor:"trust" required:"" placeholder:"KEY_ID=PUBLIC_KEY" help:"Reviewer's key; may be given several times."`
	Threshold int      `help:"With --reviewer: how many of them must have signed; all by default."`
}

// Run implements the command.
func (c *BundleVerifyCmd) Run(app *App) error {
	trust, err := c.trust()
	if err != nil {
		return err
	}
	sb, err := readBundle(c.Dir)
	if err != nil {
		return err
	}
	if _, _, err := bundle.Verify(sb.signed, trust); err != nil {
		return usageErrorf("%s: %v", c.Dir, err)
	}
	b, err := bundle.Open(sb.signed, sb.text)
	if err != nil {
		return usageErrorf("%s: %v", c.Dir, err)
	}
	r := verifyReport{
		Version: b.Version, Digest: b.Digest.String(),
		Threshold: trust.Threshold, Signers: trust.Signers(sb.signed),
	}
	return app.print(r)
}

// trust returns the reviewers and the threshold, from the settings file or from the flags.
func (c *BundleVerifyCmd) trust() (bundle.Trust, error) {
	t, file := bundle.TrustSettings{}, "--reviewer"
	if c.Trust != "" {
		if c.Threshold != 0 {
			return bundle.Trust{}, usageErrorf("--threshold goes with --reviewer; with --trust it comes from the file")
		}
		var err error
		if t, err = readTrust(c.Trust); err != nil {
			return bundle.Trust{}, err
		}
		file = c.Trust
	} else {
		t = c.reviewers()
	}
	if err := settings.CheckValues(file, t); err != nil {
		return bundle.Trust{}, usageError(err)
	}
	return t.Trust(), nil
}

// reviewers returns the trust settings from the flags. The threshold is the number of reviewers by default.
func (c *BundleVerifyCmd) reviewers() bundle.TrustSettings {
	t := bundle.TrustSettings{Threshold: c.Threshold}
	for _, r := range c.Reviewer {
		id, public, _ := strings.Cut(r, "=")
		t.Reviewers = append(t.Reviewers, bundle.ReviewerSettings{KeyID: id, PublicKey: public})
	}
	if t.Threshold == 0 {
		t.Threshold = len(t.Reviewers)
	}
	return t
}

// readTrust reads only the [trust] table of a settings file. The program that owns the file checks the other
// tables.
func readTrust(file string) (bundle.TrustSettings, error) {
	var v struct {
		Trust bundle.TrustSettings `toml:"trust"`
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return v.Trust, eris.Wrap(err, "ctl.verify")
	}
	if err := toml.Unmarshal(data, &v); err != nil {
		return v.Trust, usageErrorf("%s: %v", file, err)
	}
	return v.Trust, nil
}

// verifyReport describes a bundle whose signatures meet the threshold.
type verifyReport struct {
	Version   uint64   `json:"version"`
	Digest    string   `json:"digest"`
	Threshold int      `json:"threshold"`
	Signers   []string `json:"signers"`
}

func (r verifyReport) writeText(w io.Writer) {
	_, _ = fmt.Fprintf(w, "ok: version %d, digest %s, signed by %s; %d needed\n",
		r.Version, r.Digest, strings.Join(r.Signers, " "), r.Threshold)
}
