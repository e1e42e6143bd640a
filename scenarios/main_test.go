// Package scenarios runs the scripted scenarios of testdata: each starts stand-ins and the system
// as separate processes on loopback addresses of its own, drives and disturbs them by the verbs of
// README.md, and checks what callers and leaves saw.
package scenarios

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/testscript"
)

// programs are built once for all scenarios.
var programs = []string{"burdock-entry", "burdock-gather", "burdock-sync", "burdock-standin", "burdock-load"}

// binDir holds the built programs; set by TestMain before any scenario runs.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "burdock-scenarios-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	args := []string{"build", "-o", dir + string(filepath.Separator)}
	for _, p := range programs {
		args = append(args, "../cmd/"+p)
	}
	build := exec.Command("go", args...)
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "scenarios: build the programs:", err)
		return 1
	}
	binDir = dir
	return m.Run()
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                "testdata",
		Setup:              setUp,
		Cmds:               verbs(),
		RequireUniqueNames: true,
	})
}

// misleadingCommand are testscript's own commands that a script could take for verbs here: stop and skip
// end it as passed, kill knows only what exec started.
var misleadingCommand = regexp.MustCompile(`(?m)^\s*!?\s*(stop|skip|kill|wait)\b.*`)

func TestScriptsHoldNoMisleadingCommand(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("testdata/*.txtar")
	is.NoErr(err)
	is.True(len(files) > 0)
	for _, f := range files {
		text, err := os.ReadFile(f)
		is.NoErr(err)
		is.Equal(misleadingCommand.FindString(string(text)), "") // use shutdown, crash or reply
	}
}
