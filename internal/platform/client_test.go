package platform

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
)

func TestWatchOutcomes(t *testing.T) {
	tests := []struct {
		name    string
		status  int
		header  string
		body    string
		want    Value
		wantErr string
	}{
		{"value", 200, "3", "text", Value{Revision: 3, Body: []byte("text"), Changed: true}, ""},
		{"empty value", 200, "3", "", Value{Revision: 3, Body: []byte{}, Changed: true}, ""},
		{"no change", 204, "3", "", Value{Revision: 3}, ""},
		{"unknown key", 404, "3", "", Value{Revision: 3}, "not found"},
		{"failure", 500, "3", "", Value{Revision: 3}, "unexpected status"},
		{"no revision", 200, "", "text", Value{}, "Platform-Revision"},
		{"too long", 200, "3", strings.Repeat("x", maxValueBytes+1), Value{}, "longer"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var method, url string
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				method, url = r.Method, r.URL.String()
				if tt.header != "" {
					w.Header().Set("Platform-Revision", tt.header)
				}
				w.WriteHeader(tt.status)
				_, _ = w.Write([]byte(tt.body))
			}))
			defer server.Close()
			reg := prometheus.NewRegistry()
			c := New(server.Listener.Addr().String(), "127.0.0.1", reg)
			v, err := c.Watch(context.Background(), "bundle/manifest", 2, 5*time.Second)
			is.Equal(method, http.MethodGet)
			is.Equal(url, "/v1/keys/bundle/manifest?after=2&wait=5s")
			if tt.wantErr == "" {
				is.NoErr(err)
				is.Equal(v, tt.want)
			} else {
				var read *Error
				is.True(errors.As(err, &read))
				is.Equal(read.Address, server.Listener.Addr().String())
				is.True(strings.Contains(err.Error(), tt.wantErr))
				is.Equal(v.Changed, false)
			}
			is.Equal(Answered(err), tt.status != 500 && tt.header != "" && tt.wantErr != "longer")
			is.Equal(testutil.CollectAndCount(reg, "burdock_platform_reads_total"), 1)
		})
	}
}

func TestReadURLs(t *testing.T) {
	is := is.New(t)
	var urls []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		urls = append(urls, r.URL.String())
		w.Header().Set("Platform-Revision", "1")
	}))
	defer server.Close()
	c := New(server.Listener.Addr().String(), "127.0.0.1", nil)
	_, err := c.List(context.Background())
	is.NoErr(err)
	_, err = c.Get(context.Background(), "bundle/section/ab")
	is.NoErr(err)
	_, err = c.WatchList(context.Background(), 4, time.Second)
	is.NoErr(err)
	is.Equal(urls, []string{"/v1/list", "/v1/keys/bundle/section/ab", "/v1/list?after=4&wait=1s"})
}

func TestBackoffGrowsToItsBound(t *testing.T) {
	is := is.New(t)
	var b Backoff
	top := backoffMin
	for range 12 {
		d := b.Next()
		is.True(d >= top/2 && d < top)
		top = min(2*top, backoffMax)
	}
	b.Reset()
	is.True(b.Next() < backoffMin)
}
