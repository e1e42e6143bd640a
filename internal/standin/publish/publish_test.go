package publish

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestManifestGoesLastAndOnlyAfterAllSections(t *testing.T) {
	cases := []struct {
		name, refused string
		want          []string
	}{
		{"all taken", "none", []string{"/keys/bundle/section/aa", "/keys/bundle/section/bb", "/keys/bundle/manifest"}},
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
			var taken []string
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == c.refused {
					http.Error(w, "no", http.StatusRequestEntityTooLarge)
					return
				}
				taken = append(taken, r.URL.Path)
			}))
			defer s.Close()
			err := NewClient(strings.TrimPrefix(s.URL, "http://")).Bundle(t.Context(), dir)
			is.Equal(err != nil, c.refused != "none")
			is.Equal(taken, c.want)
		})
	}
}
