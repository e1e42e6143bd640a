package launch

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/burdockplank/burdockplank/internal/settings"
)

type fakeSettings struct {
	Port int `toml:"port"`
}

func (f *fakeSettings) Check(c *settings.Checker) { settings.CheckPort(c, "port", f.Port) }

type fakeRunner struct{ err error }

func (r fakeRunner) Run(context.Context) error { return r.err }

func TestExitCodes(t *testing.T) {
	broken := errors.New("listen refused")
	for name, tt := range map[string]struct {
		text     string
		args     []string
		wire     error
		run      error
		code     int
		out, err string
	}{
		"ended in order":   {text: "port = 7\n", code: 0},
		"cancelled":        {text: "port = 7\n", run: context.Canceled, code: 0},
		"failed to wire":   {text: "port = 7\n", wire: broken, code: 1, err: "burdock-x: listen refused\n"},
		"failed to run":    {text: "port = 7\n", run: broken, code: 1, err: "burdock-x: listen refused\n"},
		"checked":          {text: "port = 7\n", args: []string{"--check"}, wire: broken, code: 0, out: "ok\n"},
		"refused settings": {text: "port = 0\n", code: 2, err: "burdock-x: FILE:1: port: want a port from 1 to 65535, got 0\n"},
		"refused usage":    {text: "port = 7\n", args: []string{"--colour"}, code: 2, err: "burdock-x: unknown flag --colour\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			file := filepath.Join(t.TempDir(), "x.toml")
			is.NoErr(os.WriteFile(file, []byte(tt.text), 0o600))
			var out, errs bytes.Buffer
			p := Program[*fakeSettings]{
				Name: "burdock-x", About: "A fake.", Out: &out, Err: &errs,
				Defaults: func() *fakeSettings { return &fakeSettings{} },
				Wire:     func(*fakeSettings) (Runner, error) { return fakeRunner{tt.run}, tt.wire },
			}
			is.Equal(p.Main(append([]string{"--settings", file}, tt.args...)), tt.code)
			is.Equal(out.String(), tt.out)
			is.Equal(string(bytes.ReplaceAll(errs.Bytes(), []byte(file), []byte("FILE"))), tt.err)
		})
	}
}
