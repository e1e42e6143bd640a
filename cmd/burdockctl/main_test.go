package main

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"burdockctl": func() { os.Exit(run()) }})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			// The race detector waits at each exit, 1 s by default, which adds up over many commands.
			env.Setenv("GORACE", "atexit_sleep_ms=10")
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"exits":    exits,
			"key-id":   keyID,
			"sections": sections,
		},
	})
}

// exits runs a program and requires its exit code: exits CODE PROGRAM ARGS...
func exits(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	err = ts.Exec(args[1], args[2:]...)
	code := 0
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		code = exit.ExitCode()
	} else {
		ts.Check(err)
	}
	if code != want {
		ts.Fatalf("exit code %d, want %d", code, want)
	}
}

// keyID sets a variable to KEY_ID=PUBLIC_KEY from a file with the output of keygen: key-id VARIABLE FILE
func keyID(ts *testscript.TestScript, _ bool, args []string) {
	var parts []string
	for line := range strings.Lines(ts.ReadFile(args[1])) {
		if _, value, ok := strings.Cut(line, " = "); ok {
			parts = append(parts, strings.Trim(value, "\"\n"))
		}
	}
	ts.Setenv(args[0], strings.Join(parts, "="))
}

// sections requires the number of files in a directory: sections DIR N
func sections(ts *testscript.TestScript, _ bool, args []string) {
	files, err := filepath.Glob(filepath.Join(ts.MkAbs(args[0]), "*"))
	ts.Check(err)
	if strconv.Itoa(len(files)) != args[1] {
		ts.Fatalf("%d files, want %s", len(files), args[1])
	}
}
