package publish

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/burdockplank/burdockplank/internal/standin/platform"
)

func TestManifestIsUploadedLastAndOnlyAfterAllSections(t *testing.T) {
	cases := []struct {
		name, refused string
		want          []string
	}{
		{"all accepted", "none", []string{"/keys/bundle/section/aa", "/keys/bundle/section/bb", "/keys/bundle/manifest"}},
		{"a section refused", "/keys/bundle/section/bb", []string{"/keys/bundle/section/aa"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			dir := t.TempDir()
			is.NoErr(os.Mkdir(filepath.Join(dir, "sections"), 0o755))
			for _, f := range []string{"manifest", "sections/aa", "sections/bb"} {
				is.NoErr(os.WriteFile(filepath.Join(dir, f), []byte(f), 0o644))
			}
			var accepted []string
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == c.refused {
					http.Error(w, "no", http.StatusRequestEntityTooLarge)
					return
				}
				accepted = append(accepted, r.URL.Path)
			}))
			defer s.Close()
			err := NewClient(strings.TrimPrefix(s.URL, "http://")).Bundle(t.Context(), dir)
			is.Equal(err != nil, c.refused != "none")
			is.Equal(accepted, c.want)
		})
	}
}

func TestPublishedBundleAndListAreServed(t *testing.T) {
	is := is.New(t)
	p, err := platform.New(platform.Options{Listen: "127.0.0.1:0", Control: "127.0.0.1:0"})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- p.Run(ctx) }()
	dir := t.TempDir()
	is.NoErr(os.Mkdir(filepath.Join(dir, "sections"), 0o755))
	is.NoErr(os.WriteFile(filepath.Join(dir, "manifest"), []byte{0, 0xff}, 0o644))
	is.NoErr(os.WriteFile(filepath.Join(dir, "list"), []byte(`{"leaves":[{"id":"a"}]}`), 0o644))
	client := NewClient(p.ControlAddr())
	is.NoErr(client.Bundle(ctx, dir))
	is.NoErr(client.List(ctx, filepath.Join(dir, "list")))
	for path, want := range map[string]string{"keys/bundle/manifest": "\x00\xff", "list": `"id": "a"`} {
		res, err := http.Get("http://" + p.Addr() + "/v1/" + path)
		is.NoErr(err)
		body, err := io.ReadAll(res.Body)
		is.NoErr(err)
		is.NoErr(res.Body.Close())
		is.True(strings.Contains(string(body), want))
	}
	cancel()
	is.NoErr(<-done)
}
