// Package publish uploads the directory of a signed bundle to the stand-in platform in the order that an
// operator's publishing tool must keep: sections first, manifest last.
package publish

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	manifestFile = "manifest"
	sectionsDir  = "sections"
	// uploadTimeout bounds one upload.
	uploadTimeout = 10 * time.Second
)

// Client uploads to the control listener of a stand-in platform.
type Client struct {
	// Control is the IP:PORT of the control listener.
	Control string
	// HTTP sends the requests.
	HTTP *http.Client
}

// NewClient returns a client for the control listener at IP:PORT.
func NewClient(control string) *Client {
	return &Client{Control: control, HTTP: &http.Client{Timeout: uploadTimeout}}
}

// Bundle uploads DIR/sections/<hex> and then DIR/manifest. It stops at the first failure. The manifest
// goes last so that no reader finds a manifest whose sections are missing.
func (c *Client) Bundle(ctx context.Context, dir string) error {
	entries, err := os.ReadDir(filepath.Join(dir, sectionsDir))
	if err != nil {
		return eris.Wrap(err, "standin.publish: read sections")
	}
	for _, e := range entries {
		if err := c.file(ctx, "/keys/bundle/section/"+e.Name(), filepath.Join(dir, sectionsDir, e.Name())); err != nil {
			return err
		}
	}
	return c.file(ctx, "/keys/bundle/manifest", filepath.Join(dir, manifestFile))
}

// List uploads a JSON file as the list of VMs and leaves.
func (c *Client) List(ctx context.Context, file string) error { return c.file(ctx, "/list", file) }

func (c *Client) file(ctx context.Context, path, file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return eris.Wrap(err, "standin.publish: read file")
	}
	return c.put(ctx, path, data)
}

func (c *Client) put(ctx context.Context, path string, data []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+c.Control+path, bytes.NewReader(data))
	if err != nil {
		return eris.Wrap(err, "standin.publish: request")
	}
	res, err := c.HTTP.Do(req)
	if err != nil {
		return eris.Wrapf(err, "standin.publish: upload to %s", c.Control)
	}
	defer func() { _ = res.Body.Close() }()
	body, _ := io.ReadAll(io.LimitReader(res.Body, 1024))
	if res.StatusCode != http.StatusOK {
		return eris.Errorf("standin.publish: %s at %s: %s: %s", path, c.Control, res.Status, strings.TrimSpace(string(body)))
	}
	return nil
}
