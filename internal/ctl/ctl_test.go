package ctl

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/burdockplank/burdockplank/internal/settings"
)

// result is the exit code and the output of one command line.
type result struct {
	code        int
	out, errout string
}

// burdockctl runs a command line and logs its output.
func burdockctl(t *testing.T, args ...string) result {
	t.Helper()
	var out, errout bytes.Buffer
	app := NewApp(Streams{&out, &errout}, NewCallerClient(), NewOperatorClient(), Programs{
		"sync": func() settings.Checked { return &fakeSettings{Level: "info"} },
	})
	code := Main(t.Context(), app, args)
	t.Logf("%s: exit %d\n%s%s", strings.Join(args, " "), code, out.String(), errout.String())
	return result{code, out.String(), errout.String()}
}

type fakeSettings struct {
	Level string `toml:"level"`
}

func (f *fakeSettings) Check(c *settings.Checker) {
	c.Require(f.Level != "loud", "level", "too loud")
}

// serve serves h on loopback over HTTP/1.1 and HTTP/2 without TLS. It returns the address.
func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	s := httptest.NewUnstartedServer(h)
	s.Config.Protocols = new(http.Protocols)
	s.Config.Protocols.SetHTTP1(true)
	s.Config.Protocols.SetUnencryptedHTTP2(true)
	s.Start()
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// closedAddress returns an address whose listener is closed.
func closedAddress(t *testing.T) string {
	t.Helper()
	s := httptest.NewServer(nil)
	s.Close()
	return s.Listener.Addr().String()
}

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func TestSettingsCheck(t *testing.T) {
	tests := []struct {
		name, text, program string
		code                int
		wantOutput          string
	}{
		{"good", `level = "warn"`, "sync", ExitOK, "ok\n"},
		{"refused", "\nlevel = \"loud\"", "sync", ExitUsage, ":2: level: too loud\n"},
		{"unknown key", `volume = 1`, "sync", ExitUsage, ":1: volume: unknown key\n"},
		{"not in this build", "", "gather", ExitUsage, "can't check the settings of \"gather\""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := burdockctl(t, "settings", "check", writeFile(t, "s.toml", tt.text), "--program", tt.program)
			is.Equal(r.code, tt.code)
			is.True(strings.Contains(r.out+r.errout, tt.wantOutput))
		})
	}
}
