package bundle

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// sample is the text of a small valid bundle. Tests replace lines of it.
const sample = `version = 3
[limits]
max_query_bytes = 2048
max_top_k = 50
max_timeout = "5s"

[[caller]]
name = "booking-desk"
token_sha256 = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
services = ["teachers"]
rate = 20.5

[[caller]]
name = "portal"
token_sha256 = "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
services = ["teachers"]

[[service]]
name = "teachers"
[[service.kind]]
name = "dawn"
mode = "search"
timeout = "1s"
partial = "latency"
[[service.kind]]
name = "book"
mode = "order"
timeout = "2s"
weight = 5
[[service.leaf]]
id = "teachers-0-a"
zone = "az-1"
address = "127.0.2.1:9001"
slots = 3
connections = 30
[[service.leaf]]
id = "teachers-0-b"
zone = "az-2"
address = "127.0.2.2:9001"
slots = 3
connections = 30
[[service.snapshot]]
version = 1
[[service.snapshot.shard]]
id = 0
documents = 1000
leaves = ["teachers-0-a", "teachers-0-b"]
[[service.snapshot]]
version = 2
[[service.snapshot.shard]]
id = 0
documents = 600
leaves = ["teachers-0-a"]
[[service.snapshot.shard]]
id = 1
documents = 500
leaves = ["teachers-0-b"]
`

// edited returns the sample with the first occurrence of old replaced.
func edited(t *testing.T, old, text string) []byte {
	t.Helper()
	if !strings.Contains(sample, old) {
		t.Fatalf("the sample has no %q", old)
	}
	return []byte(strings.Replace(sample, old, text, 1))
}

func TestParseReadsAndFillsDefaults(t *testing.T) {
	is := is.New(t)
	b, err := Parse([]byte(sample))
	is.NoErr(err)
	is.Equal(b.Version, uint64(3))
	is.Equal(b.Limits, Limits{MaxQueryBytes: 2048, MaxTopK: 50, MaxTimeout: 5 * time.Second})
	desk := b.Callers["booking-desk"]
	is.Equal(desk.Burst, 21) // one second of its rate
	is.Equal(desk.Share, 1)
	is.Equal(b.CallerByToken(desk.TokenSHA256), desk)
	s := b.Services["teachers"]
	is.Equal(*s.Kinds["dawn"], Kind{
		Name: "dawn", Mode: ModeSearch, Weight: 1, Timeout: time.Second, TopK: 10, Partial: PartialLatency,
		EarlyCoverage: 0.9, EarlyAfter: 3, HedgeBudget: 0.05, RetryBudget: 0.10,
	})
	is.Equal(*s.Kinds["book"], Kind{Name: "book", Mode: ModeOrder, Weight: 5, Timeout: 2 * time.Second})
	is.Equal(s.Snapshots[0].Version, uint64(2)) // newest first
	is.Equal(s.Snapshots[0].Documents(), uint64(1100))
	is.Equal(s.Snapshots[1].Shards[0].Leaves, []string{"teachers-0-a", "teachers-0-b"})
}

func TestParseRefuses(t *testing.T) {
	tests := []struct {
		name       string
		old, text  string
		line       int
		key        string
		reason     string // a substring
		unworkable bool
	}{
		{"no TOML", "[limits]", "[limits", 2, "", "expected", false},
		{"unknown key", "rate = 20.5", "rat = 20.5", 11, "caller.rat", "unknown key", false},
		{"wrong type", "slots = 3", `slots = "3"`, 34, "service.leaf.slots", "", false},
		{"negative count", "documents = 1000", "documents = -1", 46, "", "", false},
		{"bad duration", `timeout = "1s"`, `timeout = "1 second"`, 23, "", "not a duration", false},
		{"duration as a number", `timeout = "1s"`, `timeout = 1`, 23, "service[0].kind[0].timeout", "in quotes", false},
		{"key twice in other case", "version = 3", "version = 3\nVERSION = 4", 2, "VERSION", "unknown key", false},
		{"table twice", "[[caller]]", "[limits]\n[[caller]]", 7, "", "", false},

		{"no version", "version = 3", "", 0, "version", "1 or more", true},
		{"no service", sample[strings.Index(sample, "[[service]]"):], "", 0, "service", "no service", true},
		{"absurd limit", "max_timeout = \"5s\"", "max_timeout = \"1h\"", 5, "limits.max_timeout", "10m", true},
		{"caller twice", `"portal"`, `"booking-desk"`, 14, "caller[1].name", "stands twice", true},
		{"caller without name", `name = "portal"`, "", 13, "caller[1].name", "want a name", true},
		{"token not hex", "aaaa", "zaaa", 9, "caller[0].token_sha256", "64 hex", true},
		{"token of another", strings.Repeat("b", 64), strings.Repeat("a", 64), 15, "caller[1].token_sha256", "another caller", true},
		{"empty token", strings.Repeat("b", 64), emptySHA256.String(), 15, "caller[1].token_sha256", "empty token", true},
		{"unknown service", `services = ["teachers"]`, `services = ["clips"]`, 10, "caller[0].services", `unknown service "clips"`, true},
		{"rate not a number", "rate = 20.5", "rate = nan", 11, "caller[0].rate", "NaN", true},
		{"no kind", `[[service.kind]]
name = "dawn"
mode = "search"
timeout = "1s"
partial = "latency"
[[service.kind]]
name = "book"
mode = "order"
timeout = "2s"
weight = 5
`, "", 18, "service[0].kind", "has no kind", true},
		{"kind without timeout", `timeout = "1s"`, "", 20, "service[0].kind[0].timeout", "has no timeout", true},
		{"timeout over the limit", `timeout = "1s"`, `timeout = "6s"`, 23, "service[0].kind[0].timeout", "5s", true},
		{"kind twice", `name = "book"`, `name = "dawn"`, 26, "service[0].kind[1].name", "stands twice", true},
		{"unknown mode", `mode = "order"`, `mode = "write"`, 27, "service[0].kind[1].mode", "search or order", true},
		{"unknown partial", `partial = "latency"`, `partial = "fast"`, 24, "service[0].kind[0].partial", "latency or coverage", true},
		{"hedged order", "weight = 5", "hedge_budget = 0.01", 29, "service[0].kind[1].hedge_budget", "never hedged", true},
		{"hedges over the bound", `partial = "latency"`, "hedge_budget = 0.06", 24, "service[0].kind[0].hedge_budget", "0.05", true},
		{"retries over the bound", `partial = "latency"`, "retry_budget = 0.11", 24, "service[0].kind[0].retry_budget", "0.1", true},
		{"early below least", `partial = "latency"`, "min_coverage = 0.8\nearly_coverage = 0.7", 25, "service[0].kind[0].early_coverage", "below min_coverage", true},
		{"top_k over the limit", `partial = "latency"`, "top_k = 51", 24, "service[0].kind[0].top_k", "50", true},
		{"leaf twice", `id = "teachers-0-b"`, `id = "teachers-0-a"`, 37, "service[0].leaf[1].id", "stands twice", true},
		{"address twice", "127.0.2.2:9001", "127.0.2.1:9001", 39, "service[0].leaf[1].address", "another leaf", true},
		{"address by name", "127.0.2.2:9001", "leaf.example:9001", 39, "service[0].leaf[1].address", "IP:PORT", true},
		{"no slots", "slots = 3", "slots = 0", 34, "service[0].leaf[0].slots", "no slots", true},
		{"no connections", "connections = 30", "", 30, "service[0].leaf[0].connections", "no connections", true},
		{"snapshot twice", "version = 2", "version = 1", 49, "service[0].snapshot[1].version", "stands twice", true},
		{"snapshot without shards", `[[service.snapshot.shard]]
id = 0
documents = 1000
leaves = ["teachers-0-a", "teachers-0-b"]
`, "", 42, "service[0].snapshot[0].shard", "has no shard", true},
		{"no documents at all", "documents = 1000", "documents = 0", 42, "service[0].snapshot[0].shard", "no document", true},
		{"shard without id", "id = 0\ndocuments = 1000", "documents = 1000", 44, "service[0].snapshot[0].shard[0].id", "without id", true},
		{"shard twice", "id = 1", "id = 0", 55, "service[0].snapshot[1].shard[1].id", "stands twice", true},
		{"shard without leaves", `leaves = ["teachers-0-b"]`, "leaves = []", 57, "service[0].snapshot[1].shard[1].leaves", "no leaf", true},
		{"unknown leaf", `leaves = ["teachers-0-b"]`, `leaves = ["teachers-9"]`, 57, "service[0].snapshot[1].shard[1].leaves", "unknown leaf", true},
		{"leaf twice in a shard", `["teachers-0-a", "teachers-0-b"]`, `["teachers-0-a", "teachers-0-a"]`, 47, "service[0].snapshot[0].shard[0].leaves", "twice", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse(edited(t, tt.old, tt.text))
			var pe *ParseError
			is.True(errors.As(err, &pe)) // refused with a ParseError
			t.Log(err)
			is.Equal(pe.Unworkable, tt.unworkable)
			is.True(strings.Contains(pe.Reason, tt.reason)) // reason
			is.Equal(pe.Line, tt.line)
			if tt.key != "" {
				is.Equal(pe.Key, tt.key)
			}
		})
	}
}

func TestSplitAtTableHeaders(t *testing.T) {
	is := is.New(t)
	var starts []string
	var joined []byte
	for _, s := range Split([]byte(sample)) {
		starts = append(starts, strings.SplitN(string(s), "\n", 2)[0])
		joined = append(joined, s...)
	}
	is.Equal(string(joined), sample)
	is.Equal(starts, []string{"version = 3", "[[caller]]", "[[service]]", "[[service.snapshot]]", "[[service.snapshot]]"})
}
