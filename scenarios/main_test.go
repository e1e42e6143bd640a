// Package scenarios runs the scripts of testdata. Each starts stand-ins and the system as separate
// processes on its own loopback addresses, sends requests and injects faults with the verbs of README.md,
// and checks the replies to callers against the journals of the leaves.
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

// programs are the commands that TestMain builds once for all scenarios.
var programs = []string{"burdock-entry", "burdock-gather", "burdock-sync", "burdock-standin", "burdock-load"}

// binDir is the directory of the built programs. TestMain sets it before any scenario runs.
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

// misleadingCommand matches testscript's own commands that look like verbs of this package. stop and skip
// end the script as passed; kill and wait know only processes started by exec.
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
