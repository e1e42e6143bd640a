package catalog

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func TestLongestPrefixWins(t *testing.T) {
	is := is.New(t)
	c := New(1, []*Route{
		{Name: "short", Host: "h", Prefix: "/a/"}, {Name: "long", Host: "h", Prefix: "/a/b/"}, {Name: "other", Host: "g", Prefix: "/"},
	}, nil, Limits{})
	for path, want := range map[string]string{"/a/x": "short", "/a/b/x": "long", "/a/b": "short", "/a/bc/": "short", "/a/": "short"} {
		is.Equal(c.Match("h", path).Name, want)
	}
	is.True(c.Match("h", "/b/") == nil)
	is.True(c.Match("h", "/a") == nil)
	is.True(c.Match("nowhere", "/a/") == nil)
	is.Equal(c.Match("g", "/anything").Name, "other")
	is.Equal(c.Routes(), 3)
}

func TestRequiredShards(t *testing.T) {
	for _, tt := range []struct {
		shards int
		share  float64
		want   int
	}{
		{10, 0.89, 9}, {10, 0.9, 9}, {10, 0.75, 8}, {36, 0.95, 35}, {36, 0.85, 31}, {54, 0.95, 52}, {3, 0, 1}, {3, 1, 3}, {1, 0.5, 1},
		{10, 0.7, 7}, // 0.7 * 10 rounds to slightly above 7
	} {
		t.Run(fmt.Sprint(tt), func(t *testing.T) {
			is := is.New(t)
			r := &Route{Shards: make([]string, tt.shards), MinShare: tt.share}
			is.Equal(r.RequiredShards(), tt.want)
		})
	}
}

func TestUsedServices(t *testing.T) {
	is := is.New(t)
	c := New(1, []*Route{{Host: "h", Shards: []string{"s1", "s2"}}, {Host: "h", Split: []Weighted{{Service: "x"}}}}, nil, Limits{})
	single, shards := c.UsedServices()
	is.Equal(single, map[string]bool{"x": true})
	is.Equal(shards, map[string]bool{"s1": true, "s2": true})
}
