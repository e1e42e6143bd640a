package bundle

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestDiff(t *testing.T) {
	tests := []struct {
		name, old, text string
		want            []string
	}{
		{"a comment", "version = 3", "version = 4 # next", nil},
		{"a limit", "max_top_k = 50", "max_top_k = 60", []string{"limits changed: max_top_k 50 -> 60"}},
		{"a token", strings.Repeat("b", 64), strings.Repeat("c", 64), []string{`caller "portal" changed: token bbbbbbbb... -> cccccccc...`}},
		{"a rate", "rate = 20.5", "rate = 30", []string{`caller "booking-desk" changed: rate 20.5 -> 30, burst 21 -> 30`}},
		{"a kind", `timeout = "1s"`, "timeout = \"2s\"\nhedge_budget = 0.02", []string{
			`service "teachers": kind "dawn" changed: timeout 1s -> 2s, hedge_budget 0.05 -> 0.02`}},
		{"a kind renamed", `name = "book"`, `name = "reserve"`, []string{
			`service "teachers": kind "book" removed: mode order, weight 5, timeout 2s`,
			`service "teachers": kind "reserve" added: mode order, weight 5, timeout 2s`}},
		{"a mode", "mode = \"search\"\ntimeout = \"1s\"\npartial = \"latency\"", "mode = \"order\"\ntimeout = \"1s\"", []string{
			`service "teachers": kind "dawn" changed: mode search -> order, top_k 10 -> none, partial latency -> none, min_coverage 0 -> none, early_coverage 0.9 -> none, early_after 3 -> none, hedge_budget 0.05 -> none, retry_budget 0.1 -> none`}},
		{"a leaf moved", "127.0.2.2:9001", "127.0.2.3:9001", []string{
			`service "teachers": leaf "teachers-0-b" changed: address 127.0.2.2:9001 -> 127.0.2.3:9001`}},
		{"a replica lost", `["teachers-0-a", "teachers-0-b"]`, `["teachers-0-b"]`, []string{
			`service "teachers": snapshot 1 shard 0 changed: loses leaves teachers-0-a`}},
		{"a shard moved", `leaves = ["teachers-0-b"]`, `leaves = ["teachers-0-a"]`, []string{
			`service "teachers": snapshot 2 shard 1 changed: gains leaves teachers-0-a, loses leaves teachers-0-b`}},
		{"a snapshot replaced", "[[service.snapshot]]\nversion = 1", "[[service.snapshot]]\nversion = 3", []string{
			`service "teachers": snapshot 1 removed: 1 shards, 1000 documents, 2 to 2 replicas a shard`,
			`service "teachers": snapshot 3 added: 1 shards, 1000 documents, 2 to 2 replicas a shard`}},
		{"a shard renamed", "id = 1\n", "id = 2\n", []string{
			`service "teachers": snapshot 2 shard 1 removed: documents 500, leaves teachers-0-b`,
			`service "teachers": snapshot 2 shard 2 added: documents 500, leaves teachers-0-b`}},
	}
	a, err := Parse([]byte(sample))
	if err != nil {
		t.Fatal(err)
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b, err := Parse(edited(t, tt.old, tt.text))
			is.NoErr(err)
			var got []string
			for _, c := range Diff(a, b) {
				got = append(got, c.String())
			}
			is.Equal(got, tt.want)
		})
	}
}

func TestDiffOfServices(t *testing.T) {
	is := is.New(t)
	a, err := Parse([]byte(sample))
	is.NoErr(err)
	clips := strings.NewReplacer(`"teachers"`, `"clips"`, "teachers-0", "clips-0")
	b, err := Parse([]byte(clips.Replace(sample)))
	is.NoErr(err)
	var got []string
	for _, c := range Diff(a, b) {
		if c.Subject == "service" {
			got = append(got, c.String())
		}
	}
	is.Equal(got, []string{
		`service "clips": service added: 2 kinds, 2 leaves, 2 snapshots`,
		`service "teachers": service removed: 2 kinds, 2 leaves, 2 snapshots`,
	})
}
