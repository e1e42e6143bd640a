package ctl

import (
	"bytes"
	"crypto/ed25519"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/bundle"
)

// noParent stands for the missing parent of a first bundle.
const noParent = "none"

// BundleSignCmd signs the text of a bundle. Reviewers who keep their keys separately sign one after
// the other into the same directory; each run adds its signatures to the existing ones.
type BundleSignCmd struct {
	Text   string   `required:"" help:"Text of the bundle."`
	Parent string   `default:"none" help:"Digest of the bundle before, as 'bundle show' prints it, or none."`
	Key    []string `required:"" help:"Private key file; may be given several times."`
	Out    string   `required:"" help:"Directory for the manifest and the sections. If it holds the same bundle, signatures are added."`
	Force  bool     `help:"Replace another bundle in the directory."`
}

// Run implements the command.
func (c *BundleSignCmd) Run(app *App) error {
	parent, err := c.parent()
	if err != nil {
		return err
	}
	keys, err := c.keys(app.Err)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(c.Text)
	if err != nil {
		return eris.Wrap(err, "ctl.sign")
	}
	signed, err := bundle.Sign(text, parent)
	if err != nil {
		return bundleTextError(c.Text, err)
	}
	if signed, err = c.withExistingSignatures(signed); err != nil {
		return err
	}
	for _, k := range keys {
		if err := bundle.AddSignature(signed, k); err != nil {
			return usageError(err)
		}
	}
	if err := writeBundle(c.Out, signed, text); err != nil {
		return err
	}
	return app.print(newSignReport(c.Out, signed, text, parent))
}

// parent returns the digest of the parent bundle, zero for none.
func (c *BundleSignCmd) parent() (bundle.Digest, error) {
	if c.Parent == noParent {
		return bundle.Digest{}, nil
	}
	d, err := bundle.ParseDigest(c.Parent)
	if err != nil {
		return d, usageErrorf("--parent: %v, or none", err)
	}
	return d, nil
}

// keys reads the private keys and writes warnings about their file permissions to warnings.
func (c *BundleSignCmd) keys(warnings io.Writer) ([]ed25519.PrivateKey, error) {
	var keys []ed25519.PrivateKey
	for _, file := range c.Key {
		k, err := readKey(file, warnings)
		if err != nil {
			return nil, err
		}
		keys = append(keys, k)
	}
	return keys, nil
}

// withExistingSignatures returns the manifest with the signatures that the output directory already holds for
// it. It refuses a directory that holds another bundle unless --force is set.
func (c *BundleSignCmd) withExistingSignatures(signed *pb.SignedManifest) (*pb.SignedManifest, error) {
	existing, err := readManifest(c.Out)
	if errors.Is(err, fs.ErrNotExist) || c.Force && err != nil {
		return signed, nil
	}
	if err != nil {
		return nil, err
	}
	if bytes.Equal(existing.GetManifest(), signed.GetManifest()) {
		return existing, nil
	}
	if c.Force {
		return signed, nil
	}
	return nil, usageErrorf("%s holds another bundle, %s; choose another directory, or --force to replace it",
		c.Out, bundle.ManifestDigest(existing.GetManifest()))
}

// signReport describes a signed bundle and its signers.
type signReport struct {
	Version  uint64   `json:"version"`
	Digest   string   `json:"digest"`
	Parent   string   `json:"parent"`
	Signers  []string `json:"signers"`
	Sections int      `json:"sections"`
	Bytes    int      `json:"text_bytes"`
	Dir      string   `json:"dir"`
}

func newSignReport(dir string, signed *pb.SignedManifest, text []byte, parent bundle.Digest) signReport {
	r := signReport{
		Digest: bundle.ManifestDigest(signed.GetManifest()).String(), Parent: noParent,
		Sections: len(bundle.Split(text)), Bytes: len(text), Dir: dir,
	}
	if !parent.IsZero() {
		r.Parent = parent.String()
	}
	if b, err := bundle.Open(signed, text); err == nil {
		r.Version = b.Version
	}
	for _, s := range signed.GetSignatures() {
		r.Signers = append(r.Signers, s.GetKeyId())
	}
	return r
}

func (r signReport) writeText(w io.Writer) {
	t := newTable(w)
	_, _ = fmt.Fprintf(t, "version\t%d\ndigest\t%s\nparent\t%s\n", r.Version, r.Digest, r.Parent)
	_, _ = fmt.Fprintf(t, "text\t%d bytes in %d sections\n", r.Bytes, r.Sections)
	for _, s := range r.Signers {
		_, _ = fmt.Fprintf(t, "signed by\t%s\n", s)
	}
	_, _ = fmt.Fprintf(t, "manifest\t%s\n", filepath.Join(r.Dir, manifestFile))
	_ = t.Flush()
	if r.Version > 1 && r.Parent == noParent {
		_, _ = fmt.Fprintln(w, "note: no parent; give the digest of the bundle before with --parent, so that a race of two operators shows")
	}
}
