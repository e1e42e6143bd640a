package story

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const vm1 = `{"level":"info","time":"2026-01-27T11:00:00.000Z","msg":"started","program":"burdock-node","vm":"vm-1"}
not a log line
{"level":"info","time":"2026-01-27T11:00:05.000Z","msg":"leaf gone","vm":"vm-1","leaf":"i-9","service":"other"}
{"level":"warn","time":"2026-01-27T11:00:09.000Z","msg":"store lost","vm":"vm-1","error":"silent"}
{"level":"info","time":"2026-01-27T11:00:10.000Z","msg":"request","vm":"vm-1","id":"r-1","outcome":"unknown","bad_calls":[{"service":"s","leaf":"i-7","what":"connection lost","after":0.1}]}
{"level":"info","time":"2026-01-27T11:00:10.100Z","msg":"request","vm":"vm-1","id":"r-2","outcome":"served"}
{"level":"info","time":"2026-01-27T11:02:00.000Z","msg":"stopped","vm":"vm-1"}
`

const vm2 = `  12.1 vm-2 {"level":"info","time":"2026-01-27T11:00:09.500Z","msg":"store regained","vm":"vm-2"}
  12.7 vm-2 {"level":"warn","time":"2026-01-27T11:00:09.800Z","msg":"leaf crashed with a request in flight","vm":"vm-2","leaf":"i-7"}
  12.9 vm-2 {"level":"info","time":"2026-01-27T11:00:10.200Z","msg":"request","vm":"vm-2","id":"r-1","outcome":"served"}
{"level":"info","time":"yesterday","msg":"request","vm":"vm-2","id":"r-1"}
`

func lines(t *testing.T) []Line {
	t.Helper()
	is := is.New(t)
	var all []Line
	for _, f := range []struct {
		name, text string
		skipped    int
	}{{"one", vm1, 1}, {"two", vm2, 1}} {
		log, err := Read(f.name, strings.NewReader(f.text))
		is.NoErr(err)
		is.Equal(log.Skipped, f.skipped)
		all = append(all, log.Lines...)
	}
	return all
}

func collected(t *testing.T, id string, margin time.Duration) string {
	t.Helper()
	story, err := Collect(lines(t), id, margin)
	is.New(t).NoErr(err)
	var out []string
	for _, l := range story {
		out = append(out, l.VM+" "+l.Msg)
	}
	return strings.Join(out, "; ")
}

func TestCollect(t *testing.T) {
	for name, tt := range map[string]struct {
		id     string
		margin time.Duration
		want   string
	}{
		"own lines of all VMs": {"r-1", 0, "vm-1 request; vm-2 request"},
		"its leaf and its VMs": {"r-1", 2 * time.Second, "vm-1 store lost; vm-2 store regained; vm-2 leaf crashed with a request in flight; vm-1 request; vm-2 request"},
		"further around":       {"r-1", time.Minute, "vm-1 started; vm-1 store lost; vm-2 store regained; vm-2 leaf crashed with a request in flight; vm-1 request; vm-2 request"},
		"a request of one VM":  {"r-2", 2 * time.Second, "vm-1 store lost; vm-1 request"},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(collected(t, tt.id, tt.margin), tt.want) })
	}
}

// A request was served by an older configuration because of what its VM had gone by for longer than the story looks back.
func TestStoryTellsWhatAVMWentBy(t *testing.T) {
	is := is.New(t)
	const log = `{"level":"info","time":"2026-01-27T11:00:00.000Z","msg":"configuration in force","vm":"vm-1","version":4}
{"level":"info","time":"2026-01-27T11:00:01.000Z","msg":"configuration in force","vm":"vm-1","version":5}
{"level":"warn","time":"2026-01-27T11:00:02.000Z","msg":"store came back from a copy","vm":"vm-1","era":2}
{"level":"warn","time":"2026-01-27T11:00:02.000Z","msg":"store came back from a copy","vm":"vm-2","era":2}
{"level":"info","time":"2026-01-27T11:00:30.000Z","msg":"request","vm":"vm-1","id":"r-1","config_version":5}
{"level":"info","time":"2026-01-27T11:00:31.000Z","msg":"configuration in force","vm":"vm-1","version":6}
`
	read, err := Read("one", strings.NewReader(log))
	is.NoErr(err)
	got, err := Collect(read.Lines, "r-1", 0)
	is.NoErr(err)
	var numbers []int
	for _, l := range got {
		numbers = append(numbers, l.Number)
	}
	is.Equal(numbers, []int{2, 3, 5})
}

// A request was refused because its text had ended leaves long before, at other VMs.
func TestStoryNamesTheLeavesThatATextEnded(t *testing.T) {
	is := is.New(t)
	const log = `{"level":"warn","time":"2026-01-27T11:00:00.000Z","msg":"leaf crashed with a request in flight","vm":"vm-2","leaf":"i-1","digest":12883418958872613223}
{"level":"warn","time":"2026-01-27T11:00:00.000Z","msg":"leaf crashed with a request in flight","vm":"vm-2","leaf":"i-1","digest":12883418958872613224}
{"level":"info","time":"2026-01-27T11:00:01.000Z","msg":"lost connection does not count against its request","vm":"vm-3","leaf":"i-2","digest":12883418958872613223}
{"level":"info","time":"2026-01-27T11:05:00.000Z","msg":"request","vm":"vm-1","id":"r-2","digest":0}
{"level":"info","time":"2026-01-27T11:05:00.000Z","msg":"request","vm":"vm-1","id":"r-1","reason":"crashed_leaves","digest":12883418958872613223}
{"level":"info","time":"2026-01-27T11:05:00.000Z","msg":"request","vm":"vm-1","id":"r-3","digest":12883418958872613223}
`
	read, err := Read("one", strings.NewReader(log))
	is.NoErr(err)
	got, err := Collect(read.Lines, "r-1", 0)
	is.NoErr(err)
	var numbers []int
	for _, l := range got {
		numbers = append(numbers, l.Number)
	}
	is.Equal(numbers, []int{1, 3, 5})
	got, err = Collect(read.Lines, "r-2", 0)
	is.NoErr(err)
	is.Equal(len(got), 1)
}

func TestUnknownRequest(t *testing.T) {
	is := is.New(t)
	_, err := Collect(lines(t), "r-3", time.Second)
	var unknown *UnknownError
	is.True(errors.As(err, &unknown))
	is.Equal(unknown.ID, "r-3")
}

func TestOverlongLine(t *testing.T) {
	_, err := Read("f", strings.NewReader(strings.Repeat("x", maxLineBytes+1)))
	is.New(t).True(err != nil)
}

func FuzzRead(f *testing.F) {
	f.Add(vm1)
	f.Add(vm2)
	f.Add(`{"time":"2026-01-27T11:00:09.800Z","msg":"request","id":3,"bad_calls":[1,{"leaf":2}]}`)
	f.Fuzz(func(t *testing.T, text string) {
		log, err := Read("f", strings.NewReader(text))
		if err != nil {
			return
		}
		for _, l := range log.Lines {
			if id := l.text("id"); id != "" {
				if _, err := Collect(log.Lines, id, time.Second); err != nil {
					t.Fatal(err)
				}
			}
		}
	})
}
