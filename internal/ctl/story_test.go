package ctl

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestStory(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	write := func(name, text string) string {
		f := filepath.Join(dir, name)
		is.NoErr(os.WriteFile(f, []byte(text), 0o600))
		return f
	}
	a := write("a", `{"level":"info","time":"2026-01-27T11:00:10.000Z","msg":"request","vm":"vm-1","id":"r-1","outcome":"not_run","missing":0,"digest":13747339570290540557,"bad_calls":[{"service":"s","leaf":"i-7","what":"refused"}]}`+"\n")
	b := write("b", `{"level":"info","time":"2026-01-27T11:00:09.000Z","msg":"leaf gone","vm":"vm-2","leaf":"i-7","service":"s"}`+"\n")

	got := burdockctl(t, "story", "r-1", a, b)
	is.Equal(got.code, ExitOK)
	lines := strings.Split(strings.TrimSpace(got.out), "\n")
	is.Equal(len(lines), 2)
	is.True(strings.Contains(lines[0], "-1.000s") && strings.Contains(lines[0], "leaf gone"))
	is.True(strings.HasPrefix(lines[1], ">") && strings.Contains(lines[1], `outcome="not_run"`))
	is.True(!strings.Contains(lines[1], "missing")) // fields that are 0 are omitted
	is.True(strings.Contains(lines[1], "digest=13747339570290540557"))

	got = burdockctl(t, "--json", "story", "r-1", b, a)
	var r storyReport
	is.NoErr(json.Unmarshal([]byte(got.out), &r))
	is.Equal(len(r.Lines), 2)
	is.Equal(r.Lines[0].AfterSeconds, -1.0)

	is.Equal(burdockctl(t, "story", "r-2", a, b).code, ExitUsage)
	is.Equal(burdockctl(t, "story", "r-1", filepath.Join(dir, "none")).code, ExitFailure)
	is.Equal(burdockctl(t, "story", "--around=-1s", "r-1", a).code, ExitUsage)
	is.Equal(burdockctl(t, "story", "r-1").code, ExitUsage)
}

// Operators could not see from a refusal by how much the leaves were too busy for which priority.
func TestStoryExplainsRefusal(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "a")
	text := `{"time":"2026-01-27T11:00:10.000Z","msg":"request","vm":"vm-1","id":"r-1","outcome":"not_run","reason":"busy_leaves","wait":0.084,"wait_limit":0.03,"demand":120.44,"priority":0}` + "\n"
	is.NoErr(os.WriteFile(file, []byte(text), 0o600))
	got := burdockctl(t, "story", "r-1", file)
	is.Equal(got.code, ExitOK)
	is.True(strings.Contains(got.out, "vm-1 refused the request: the leaves were too busy. The expected wait was 84 ms; "+
		"requests of priority 0 are admitted up to 30 ms. There were 120.4 of them per second."))
}

func TestLosses(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "a")
	text := `{"time":"2026-01-27T11:00:10.000Z","msg":"request","vm":"vm-1","id":"r-1","outcome":"not_run","reason":"busy_leaves","took":0,"target":0.08}` + "\n" +
		`{"time":"2026-01-27T11:00:11.000Z","msg":"log lines left out","vm":"vm-1","lines":3}` + "\n"
	is.NoErr(os.WriteFile(file, []byte(text), 0o600))

	got := burdockctl(t, "losses", file)
	is.Equal(got.code, ExitOK)
	is.True(strings.Contains(got.out, "not_run: busy_leaves") && strings.Contains(got.out, "r-1") && strings.Contains(got.out, "3 lines were left out"))

	got = burdockctl(t, "--json", "losses", "--from", "2026-01-27T11:00:11Z", file)
	var r lossesReport
	is.NoErr(json.Unmarshal([]byte(got.out), &r))
	is.Equal(len(r.Causes), 0)

	is.Equal(burdockctl(t, "losses", "--from", "2026-01-27T11:00:11Z", "--to", "2026-01-27T11:00:10Z", file).code, ExitUsage)
	is.Equal(burdockctl(t, "losses", "--from", "yesterday", file).code, ExitUsage)
	is.Equal(burdockctl(t, "losses", file+"-none").code, ExitFailure)
	is.Equal(burdockctl(t, "losses").code, ExitUsage)
}
