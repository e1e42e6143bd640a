package ctl

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"encoding/base64"
	"encoding/pem"
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"

	"github.com/burdockplank/burdockplank/internal/bundle"
)

const (
	// pemType is the PEM block type of a PKCS #8 private key.
	pemType = "PRIVATE KEY"
	// keyFileMode gives only the owner access to a private key.
	keyFileMode = 0o600
	// nonOwnerMode masks the group and other permissions, which a private key file should not have.
	nonOwnerMode = 0o077
)

// BundleKeygenCmd generates a reviewer's key pair.
type BundleKeygenCmd struct {
	Out string `required:"" help:"File to write the private key to; an existing one is refused."`
}

// Run implements the command.
func (c *BundleKeygenCmd) Run(app *App) error {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return eris.Wrap(err, "ctl.keygen")
	}
	if err := writeKey(c.Out, private); err != nil {
		return err
	}
	return app.print(keyReport{
		KeyID: bundle.KeyID(public), PublicKey: base64.StdEncoding.EncodeToString(public), File: c.Out,
	})
}

// keyReport describes a key pair. It holds only what may be made public.
type keyReport struct {
	KeyID     string `json:"key_id"`
	PublicKey string `json:"public_key"`
	File      string `json:"file"`
}

// writeText prints the [[trust.reviewer]] table for the settings of burdock-sync.
func (k keyReport) writeText(w io.Writer) {
	_, _ = fmt.Fprintf(w, "[[trust.reviewer]]\nkey_id = %q\npublic_key = %q\n", k.KeyID, k.PublicKey)
}

// writeKey writes the private key to a new file that only its owner can access. It fails if the file exists.
func writeKey(file string, key ed25519.PrivateKey) error {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return eris.Wrap(err, "ctl.keygen: encode")
	}
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, keyFileMode)
	if err != nil {
		return eris.Wrap(err, "ctl.keygen")
	}
	if err := pem.Encode(f, &pem.Block{Type: pemType, Bytes: der}); err != nil {
		_ = f.Close()
		return eris.Wrap(err, "ctl.keygen: write")
	}
	return eris.Wrap(f.Close(), "ctl.keygen: write")
}

// readKey reads a private key. It writes a warning to w if others than the owner have access to the file.
func readKey(file string, w io.Writer) (ed25519.PrivateKey, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "ctl.sign: read key")
	}
	if info, err := os.Stat(file); err == nil && info.Mode().Perm()&nonOwnerMode != 0 {
		_, _ = fmt.Fprintf(w, "burdockctl: warning: others than its owner can use the key %s (mode %o)\n", file, info.Mode().Perm())
	}
	block, _ := pem.Decode(data)
	if block == nil || block.Type != pemType {
		return nil, usageErrorf("%s: not a private key in PEM", file)
	}
	key, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, usageErrorf("%s: %v", file, err)
	}
	private, ok := key.(ed25519.PrivateKey)
	if !ok {
		return nil, usageErrorf("%s: not an ed25519 key", file)
	}
	return private, nil
}
