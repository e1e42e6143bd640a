package losses

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burdockplank/burdockplank/internal/story"
)

const log = `
{"time":"2026-01-27T11:00:01Z","vm":"a","msg":"request","id":"1","outcome":"served","reason":"partial","took":0.05,"target":0.08,"bad_calls":[{"what":"refused"},{"what":"no answer yet"}]}
{"time":"2026-01-27T11:00:02Z","vm":"a","msg":"request","id":"2","outcome":"served","reason":"partial","took":0.09,"target":0.08,"bad_calls":[{"what":"no answer yet"}]}
{"time":"2026-01-27T11:00:02Z","vm":"a","msg":"request","id":"3","outcome":"served","reason":"","took":0.09,"target":0.08}
{"time":"2026-01-27T11:00:02Z","vm":"a","msg":"request","id":"4","outcome":"served","reason":"","took":0.01,"target":0.08,"hedges":1}
{"time":"2026-01-27T11:00:03Z","vm":"a","msg":"request","id":"5","outcome":"not_run","reason":"busy_leaves","took":0,"target":0.08}
{"time":"2026-01-27T11:00:03Z","vm":"b","msg":"request","id":"5","outcome":"not_run","reason":"busy_leaves","gatherer":"a","took":0,"target":0.08}
{"time":"2026-01-27T11:00:04Z","vm":"a","msg":"request","id":"6","outcome":"unknown","reason":"","took":0,"target":0.08}
{"time":"2026-01-27T11:00:05Z","vm":"a","msg":"log lines left out","lines":7}
{"time":"2026-01-27T11:00:05Z","vm":"a","msg":"started"}`

func TestSummarize(t *testing.T) {
	is := is.New(t)
	read, err := story.Read("a", strings.NewReader(log))
	is.NoErr(err)
	summary := Summarize(read.Lines, time.Time{}, time.Time{})
	is.Equal(summary.Causes, []Cause{
		{Name: "partial: no answer yet", Requests: 2, Late: 1, IDs: []string{"1", "2"}},
		{Name: "not_run: busy_leaves", Requests: 1, IDs: []string{"5"}},
		{Name: "served late", Requests: 1, Late: 1, IDs: []string{"3"}},
		{Name: "unknown", Requests: 1, IDs: []string{"6"}},
	})
	is.Equal(summary.DroppedLines, int64(7))
	at := time.Date(2026, 1, 27, 11, 0, 2, 0, time.UTC)
	is.Equal(len(Summarize(read.Lines, at, at.Add(time.Second)).Causes), 2)
}
